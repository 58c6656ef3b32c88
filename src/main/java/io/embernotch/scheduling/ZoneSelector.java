package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.scheduling.CandidateMachines.Capacity;

/** Chooses the zone of a job whose tasks must all be in one. */
final class ZoneSelector {
  /** What a machine counts, in tasks, on which capacity is still being freed. */
  private static final double FREEING_MACHINE_WEIGHT = 0.9;

  /** Tasks that have to wait for booting machines and count as one that can start at once. */
  private static final double BOOTING_TASKS_PER_TASK = 4;

  /** Most that booting machines count, in tasks, whatever their number. */
  private static final double MAX_BOOTING_WEIGHT = 0.5;

  /** What the possibility to rent a machine counts, in tasks. */
  private static final double SCALE_OUT_WEIGHT = 0.1;

  private final SchedulingCycle cycle;

  ZoneSelector(SchedulingCycle cycle) {
    this.cycle = cycle;
  }

  /**
   * The zone where most tasks could start at once, then where most could start later; null if the
   * job's own zone is none of the cluster's.
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
      // Capacity that is being freed must decide the zone, or the next plan frees some in another.
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
