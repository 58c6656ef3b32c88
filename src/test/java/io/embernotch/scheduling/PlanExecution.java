package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;

/** Applies plans to the model without a cluster. */
final class PlanExecution {
  private PlanExecution() {}

  /** Starts one task of a plan; its launch is confirmed at once. */
  static Attempt start(SchedulingPlan.Start start, SchedulingPlan.Placement placement) {
    Machine machine = placement.machine();
    int task = placement.task();
    Attempt attempt = new Attempt(start.job(), task, 1, machine.name, machine.zone, 0);
    attempt.launchState = Attempt.LaunchState.CONFIRMED;
    start.job().openAttempts.put(task, attempt);
    machine.openAttempts.put(Machine.taskKey(start.job().spec.ref(), task), attempt);
    machine.attemptsChanged();
    return attempt;
  }
}
