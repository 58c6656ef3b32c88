package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/** How well a machine suits a task, in seconds: less is better. */
final class PlacementScore {
  /** Seconds of fetching that a full machine is worth against an empty one. */
  static final double PACKING_WEIGHT_S = 8;

  /** Penalty of a machine on which tasks fail, in units of {@link #PACKING_WEIGHT_S}. */
  private static final double ERROR_PENALTY = 10;

  /** Performance below which a machine is not counted as any slower. */
  private static final double MIN_PERFORMANCE = 0.1;

  private PlacementScore() {}

  /** Seconds of delay on the machine, with everything else against it converted to seconds. */
  static double of(JobSpec spec, CandidateMachine candidate, ZoneConstraints zones) {
    double score = candidate.fetchS(spec) - PACKING_WEIGHT_S * candidate.utilization();
    if (spec.spot() && !candidate.spot) {
      // Capacity beside a service is paid for already, and not lost to a spot reclaim; any other
      // ordinary machine is dearer than spot.
      score += candidate.paidFor(spec) ? -PACKING_WEIGHT_S : PACKING_WEIGHT_S / 2;
    }
    if (spec.gpus() <= 0 && candidate.type.gpus() > 0) {
      // Work without GPUs goes where GPUs are taken, and leaves the CPUs beside free GPUs alone.
      score += PACKING_WEIGHT_S * (candidate.freeGpuShare() - (candidate.gpusTaken() ? 1 : 0));
    }
    if (spec.spread()) {
      score += PACKING_WEIGHT_S * zones.count(candidate.zone) / Math.max(1, spec.tasks());
    }
    if (candidate.machine != null && candidate.machine.errorStreak > 0) {
      score += ERROR_PENALTY * PACKING_WEIGHT_S;
    }
    double performance = candidate.machine == null ? 0 : candidate.machine.performance();
    if (performance > 0 && performance < 1) {
      score += (1 / Math.max(MIN_PERFORMANCE, performance) - 1) * spec.expectS() / 2;
    }
    return score;
  }

  /**
   * The score for capacity that is kept free for jobs that are not known yet: since their images
   * are unknown, machines with many images are kept, and young machines returned.
   */
  static double ofHeadroom(CandidateMachine candidate) {
    return -PACKING_WEIGHT_S * candidate.utilization()
        - (candidate.machine == null ? 0 : candidate.machine.images.size());
  }
}
