package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds a {@link SchedulingPlan}. */
final class SchedulingPlanBuilder {
  private final List<SchedulingPlan.Start> starts = new ArrayList<>();
  private final List<SchedulingPlan.Stop> stops = new ArrayList<>();
  private final List<SchedulingPlan.ScaleOutRequest> scaleOuts = new ArrayList<>();
  private final List<Machine> scaleIns = new ArrayList<>();
  private final Map<Job, SchedulingPlan.Failure> failures = new LinkedHashMap<>();
  private final WaitSummary waits = new WaitSummary();
  private Map<String, ReservationAmounts> reserved;

  /**
   * Runs a step of the plan for one job. If a step throws, the job is left out of the following
   * steps, so that it does not prevent the others from being planned.
   */
  void attempt(Job job, Runnable step) {
    if (failures.containsKey(job)) {
      return;
    }
    try {
      step.run();
    } catch (RuntimeException cause) {
      failures.put(job, new SchedulingPlan.Failure(job, cause));
    }
  }

  /**
   * Records that tasks of a job wait; {@code gang} is the gang that the team's quota is kept for,
   * or null.
   */
  void recordWait(Job job, int tasks, WaitReason reason, String gang) {
    if (tasks > 0) {
      waits.add(job, tasks, reason, gang);
    }
  }

  void teamGpus(Map<String, WaitSummary.TeamGpus> gpusByTeam) {
    waits.setGpusByTeam(gpusByTeam);
  }

  void start(SchedulingPlan.Start start) {
    starts.add(start);
  }

  void stop(SchedulingPlan.Stop stop) {
    stops.add(stop);
  }

  void scaleOut(SchedulingPlan.ScaleOutRequest request) {
    scaleOuts.add(request);
  }

  void scaleIn(Machine machine) {
    scaleIns.add(machine);
  }

  /** Sets the amounts to reserve; without this call the reservations stay unchanged. */
  void reserve(Map<String, ReservationAmounts> amounts) {
    reserved = amounts;
  }

  /** Returns the plan; the builder must not be used afterwards. */
  SchedulingPlan build() {
    return new SchedulingPlan(
        Collections.unmodifiableList(starts),
        Collections.unmodifiableList(stops),
        Collections.unmodifiableList(scaleOuts),
        Collections.unmodifiableList(scaleIns),
        reserved,
        List.copyOf(failures.values()),
        waits);
  }
}
