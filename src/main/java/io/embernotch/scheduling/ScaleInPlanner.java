package io.embernotch.scheduling;

/** Chooses the machines that are returned to the cloud. */
final class ScaleInPlanner {
  private ScaleInPlanner() {}

  /**
   * Adds to the plan the machines that run nothing, are not claimed, and have been idle for longer
   * than {@code keepIdleBoots} times their boot time.
   */
  static void addTo(
      SchedulingPlanBuilder plan, CandidateMachines candidates, double now, double keepIdleBoots) {
    for (CandidateMachine candidate : candidates.all()) {
      if (candidate.state == CandidateMachine.State.UP
          && !candidate.claimed()
          && candidate.machine.openAttempts.isEmpty()
          && now - candidate.machine.idleSince > keepIdleBoots * candidate.type.bootS()) {
        plan.scaleIn(candidate.machine);
      }
    }
  }
}
