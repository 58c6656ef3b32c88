package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/** How well a machine suits a task: less is better. */
final class PlacementScore {
  /** How full a machine is counts for this many seconds of fetching. */
  static final double PACK_S = 8;

  private PlacementScore() {}

  /** Seconds of delay, with what else speaks against a machine put in seconds as well. */
  static double of(JobSpec spec, CandidateMachine s, ZoneConstraints zones) {
    double score = s.fetchS(spec) - PACK_S * s.used();
    if (spec.spot() && !s.spot) {
      // Room beside a service is paid for already, and not lost to a reclaim; any other ordinary
      // machine is dearer than spot.
      score += s.paidFor(spec) ? -PACK_S : PACK_S / 2;
    }
    if (spec.gpus() <= 0 && s.type.gpus() > 0) {
      // What needs no GPU goes where GPUs are taken, and leaves alone what they need to be of use.
      score += PACK_S * (s.gpus / s.type.gpus() - (s.gpusTaken() ? 1 : 0));
    }
    if (spec.spread()) {
      score += PACK_S * zones.in(s.zone) / Math.max(1, spec.tasks());
    }
    if (s.machine != null && s.machine.errorStreak > 0) {
      score += 10 * PACK_S;
    }
    double performance = s.machine == null ? 0 : s.machine.performance();
    if (performance > 0 && performance < 1) {
      score += (1 / Math.max(0.1, performance) - 1) * spec.expectS() / 2;
    }
    return score;
  }
}
