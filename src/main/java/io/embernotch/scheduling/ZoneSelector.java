package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.scheduling.CandidateMachines.Capacity;

/** Chooses the zone of a job whose tasks must all run in one zone. */
final class ZoneSelector {
  /** Score, in tasks, of a machine on which capacity is still being freed. */
  private static final double FREEING_MACHINE_WEIGHT = 0.9;

  /** Number of tasks on booting machines that score as much as one task that can start at once. */
  private static final double BOOTING_TASKS_PER_TASK = 4;

  /** Upper bound, in tasks, of the score of all booting machines. */
  private static final double MAX_BOOTING_WEIGHT = 0.5;

  /** Score, in tasks, if a machine can be rented. */
  private static final double SCALE_OUT_WEIGHT = 0.1;

  private final SchedulingCycle cycle;

  ZoneSelector(SchedulingCycle cycle) {
    this.cycle = cycle;
  }

  /**
   * The zone where most tasks can start at once, or, among equal ones, most can start later; null
   * if the job requires a zone that the cluster does not have.
   */
  String bestZone(JobSpec spec, int wanted) {
    String best = null;
    double bestScore = -1;
    for (String zone : cycle.settings().zones()) {
      if (spec.zone() != null && !spec.zone().equals(zone)) {
        continue;
      }
      double score = score(spec, wanted, zone);
      if (score > bestScore) {
        bestScore = score;
        best = zone;
      }
    }
    return best;
  }

  private double score(JobSpec spec, int wanted, String zone) {
    double ready = 0;
    double booting = 0;
    ZoneConstraints constraints = new ZoneConstraints(spec, zone);
    for (CandidateMachine candidate : candidates(Capacity.FREEING, spec, constraints)) {
      int tasks = candidate.taskCapacity(spec, false);
      // Capacity being freed must decide the zone. Otherwise the next plan may choose another zone
      // and free capacity there too.
      ready += tasks > 0 ? tasks : FREEING_MACHINE_WEIGHT;
    }
    for (CandidateMachine candidate : candidates(Capacity.BOOTING, spec, constraints)) {
      booting += candidate.taskCapacity(spec, false);
    }
    return Math.min(ready, wanted)
        + Math.min(MAX_BOOTING_WEIGHT, booting / BOOTING_TASKS_PER_TASK)
        + (cycle.scaleOutPlanner().available(spec, zone) ? SCALE_OUT_WEIGHT : 0);
  }

  private Iterable<CandidateMachine> candidates(
      Capacity capacity, JobSpec spec, ZoneConstraints constraints) {
    return cycle
        .candidates()
        .ranked(
            capacity, spec, candidate -> constraints.remaining(candidate.zone) > 0, candidate -> 0);
  }
}
