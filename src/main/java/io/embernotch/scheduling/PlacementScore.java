package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/** How well a machine suits a task: less is better. */
final class PlacementScore {
  /** How full a machine is counts for this many seconds of fetching. */
  static final double PACKING_WEIGHT_S = 8;

  private PlacementScore() {}

  /** Seconds of delay, with what else speaks against a machine put in seconds as well. */
  static double of(JobSpec spec, CandidateMachine candidate, ZoneConstraints zones) {
    double score = candidate.fetchS(spec) - PACKING_WEIGHT_S * candidate.utilization();
    if (spec.spot() && !candidate.spot) {
      // Room beside a service is paid for already, and not lost to a reclaim; any other ordinary
      // machine is dearer than spot.
      score += candidate.paidFor(spec) ? -PACKING_WEIGHT_S : PACKING_WEIGHT_S / 2;
    }
    if (spec.gpus() <= 0 && candidate.type.gpus() > 0) {
      // What needs no GPU goes where GPUs are taken, and leaves alone what they need to be of use.
      score +=
          PACKING_WEIGHT_S
              * (candidate.gpus / candidate.type.gpus() - (candidate.gpusTaken() ? 1 : 0));
    }
    if (spec.spread()) {
      score += PACKING_WEIGHT_S * zones.count(candidate.zone) / Math.max(1, spec.tasks());
    }
    if (candidate.machine != null && candidate.machine.errorStreak > 0) {
      score += 10 * PACKING_WEIGHT_S;
    }
    double performance = candidate.machine == null ? 0 : candidate.machine.performance();
    if (performance > 0 && performance < 1) {
      score += (1 / Math.max(0.1, performance) - 1) * spec.expectS() / 2;
    }
    return score;
  }
}
