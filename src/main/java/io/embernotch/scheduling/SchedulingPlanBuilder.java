package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A plan while it is being made. */
final class SchedulingPlanBuilder {
  private final List<SchedulingPlan.Start> starts = new ArrayList<>();
  private final List<SchedulingPlan.Stop> stops = new ArrayList<>();
  private final List<SchedulingPlan.ScaleOutRequest> scaleOuts = new ArrayList<>();
  private final List<Machine> scaleIns = new ArrayList<>();
  private final Map<Job, SchedulingPlan.Failure> failures = new LinkedHashMap<>();
  private final WaitSummary waits = new WaitSummary();
  private Map<String, ReservationAmounts> reserved;

  /**
   * Runs a step of the plan for one job. A job that a step fails on is left out of the steps that
   * follow, so that it does not keep the others from being planned.
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

  /** Notes that tasks of a job wait; {@code gang}: what it waits behind, or null. */
  void waits(Job job, int tasks, WaitReason reason, String gang) {
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

  /** Sets what is to be reserved; without this call it stays as it is. */
  void reserve(Map<String, ReservationAmounts> amounts) {
    reserved = amounts;
  }

  /** The plan; the builder must not be used after this. */
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
