package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/** Rates how well a machine suits a task, in seconds; lower is better. */
final class PlacementScore {
  /**
   * Seconds of fetching accepted in exchange for placing a task on a full instead of an empty
   * machine.
   */
  static final double PACKING_WEIGHT_S = 8;

  /** Penalty for a machine on which tasks fail, in units of {@link #PACKING_WEIGHT_S}. */
  private static final double ERROR_PENALTY = 10;

  /** Lowest relative performance that the score takes into account. */
  private static final double MIN_PERFORMANCE = 0.1;

  private PlacementScore() {}

  /** Seconds of delay on the machine, with its other disadvantages converted to seconds. */
  static double of(JobSpec spec, CandidateMachine candidate, ZoneConstraints zones) {
    double score = candidate.fetchS(spec) - PACKING_WEIGHT_S * candidate.utilization();
    if (spec.spot() && !candidate.spot) {
      // An ordinary machine that runs a service is paid for already and is never reclaimed; any
      // other ordinary machine costs more than a spot machine.
      score += candidate.paidFor(spec) ? -PACKING_WEIGHT_S : PACKING_WEIGHT_S / 2;
    }
    if (spec.gpus() <= 0 && candidate.type.gpus() > 0) {
      // Work without GPUs prefers machines whose GPUs are taken: elsewhere it would use CPUs that
      // work on the free GPUs needs.
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
   * Rates a machine for headroom. The jobs that will use it, and so their images, are unknown:
   * machines with many images are kept, and recently rented ones are returned.
   */
  static double ofHeadroom(CandidateMachine candidate) {
    return -PACKING_WEIGHT_S * candidate.utilization()
        - (candidate.machine == null ? 0 : candidate.machine.images.size());
  }
}
