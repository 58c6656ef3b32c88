package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many short tasks may queue for the same capacity of a booting machine. If a task runs
 * for less time than a machine takes to boot, the next task waits about as long for the same
 * capacity as for another machine. Renting a machine for each of them would triple the fleet while
 * the first machines boot, and they would be returned right after.
 */
final class BootQueueing {
  /**
   * Most tasks that queue for the same capacity. Owners' estimates are often wrong by half, so the
   * depth is limited and computed from the mean of a job class.
   */
  private static final int MAX_QUEUE_DEPTH = 3;

  /** Sums over the jobs of a class. */
  private static final class ClassTotals {
    double expectedS;
    int jobs;
    int openAttempts;
    int pendingTasks;

    double meanExpectedS() {
      return expectedS / jobs;
    }
  }

  private final Map<String, ClassTotals> totalsByClass = new HashMap<>();
  private final Map<String, MachineType> types;

  BootQueueing(Collection<Job> jobs, Map<String, MachineType> types) {
    this.types = types;
    for (Job job : jobs) {
      if (job.blocked()) {
        continue;
      }
      ClassTotals totals =
          totalsByClass.computeIfAbsent(job.spec.jobClass(), jobClass -> new ClassTotals());
      totals.expectedS += job.spec.expectS();
      totals.jobs++;
      totals.openAttempts += job.openAttempts.size();
      totals.pendingTasks += job.pendingCount();
    }
  }

  /**
   * The job's requirements on a booting machine: the resources of a task, divided by the queue
   * depth.
   */
  JobSpec queuedSpec(JobSpec spec) {
    int depth = queueDepth(spec);
    return depth > 1 ? spec.withShare(1.0 / depth) : spec;
  }

  /**
   * Whether an ordinary machine is worth renting for spot work if there is no spot machine. It is
   * not if, before it has booted, as many tasks of the class end as are pending: it costs several
   * times as much, and would have nothing left to run.
   */
  boolean worthOrdinaryMachine(JobSpec spec) {
    ClassTotals totals = totalsByClass.get(spec.jobClass());
    if (!spec.spot() || !mayQueue(spec, totals)) {
      return true;
    }
    return totals.pendingTasks
        > totals.openAttempts * Math.min(1, shortestBootS(spec) / totals.meanExpectedS());
  }

  private int queueDepth(JobSpec spec) {
    ClassTotals totals = totalsByClass.get(spec.jobClass());
    if (!mayQueue(spec, totals)) {
      return 1;
    }
    return (int)
        Math.max(1, Math.min(MAX_QUEUE_DEPTH, 1 + shortestBootS(spec) / totals.meanExpectedS()));
  }

  private static boolean mayQueue(JobSpec spec, ClassTotals totals) {
    return spec.shape() == JobShape.ARRAY && totals != null && totals.expectedS > 0;
  }

  private double shortestBootS(JobSpec spec) {
    return MachineTypes.shortestBootS(types.values(), spec);
  }
}
