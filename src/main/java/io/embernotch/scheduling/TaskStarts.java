package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.PrimitiveIterator;

/** The tasks of one job that a plan starts, each with its machine. */
final class TaskStarts implements AllocationListener {
  private final Job job;

  /** Iterated only as far as needed: a job may have 100,000 tasks and capacity for a few. */
  private final PrimitiveIterator.OfInt pending;

  /** Tasks that were placed on their preferred machines. */
  private final BitSet onPreferred = new BitSet();

  private final List<SchedulingPlan.Placement> placements = new ArrayList<>();

  TaskStarts(Job job) {
    this.job = job;
    this.pending = job.pending();
  }

  /** Starts a task on its preferred machine. */
  void startOnPreferred(int task, Machine machine) {
    onPreferred.set(task);
    placements.add(new SchedulingPlan.Placement(task, machine));
  }

  /**
   * Starts the next pending tasks on a machine, and records that the machine fetches their image.
   */
  @Override
  public void allocated(CandidateMachine candidate, int tasks) {
    candidate.addFetchingImage(job.spec.image());
    for (int i = 0; i < tasks; i++) {
      placements.add(new SchedulingPlan.Placement(nextTask(), candidate.machine));
    }
  }

  private int nextTask() {
    int task = pending.nextInt();
    while (onPreferred.get(task)) {
      task = pending.nextInt();
    }
    return task;
  }

  int count() {
    return placements.size();
  }

  List<SchedulingPlan.Placement> placements() {
    return placements;
  }
}
