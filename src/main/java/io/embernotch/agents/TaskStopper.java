package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Has attempts end: one, a whole gang, or all that is on a machine. */
public final class TaskStopper {
  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final Consumer<Attempt> close;

  /** Before the store is read, orders wait. */
  private final BooleanSupplier mayOrder;

  public TaskStopper(
      ControllerContext context,
      ClusterState state,
      AgentReconciler agents,
      Consumer<Attempt> close,
      BooleanSupplier mayOrder) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.close = close;
    this.mayOrder = mayOrder;
  }

  /** Wants an attempt to end. One whose start has not left ends here and now. */
  public void requestStop(Attempt attempt, double graceS) {
    if (attempt.launchState == Attempt.LaunchState.UNCOMMITTED
        || attempt.launchState == Attempt.LaunchState.READY) {
      close.accept(attempt);
      return;
    }
    if (!attempt.stopping || graceS < attempt.stopGraceS) {
      attempt.stopping = true;
      attempt.stopGraceS = graceS;
      attempt.stopRequestedAt = context.clock().now();
      attempt.stopSentAt = -1e9;
    }
    Machine machine = state.machines.get(attempt.machine);
    if (machine != null && mayOrder.getAsBoolean()) {
      machine.attemptsChanged();
      agents.sendDueCommands(machine);
    }
  }

  /** Stops what is left of a gang's attempt; the next one starts when all of it has ended. */
  public void stopGang(Job job, double graceS) {
    for (Attempt attempt : List.copyOf(job.openAttempts.values())) {
      if (!attempt.stopping) {
        requestStop(attempt, graceS);
      }
    }
  }

  /** Stops an attempt, and with it the rest of its gang. */
  public void stopWithGang(Attempt attempt, double graceS) {
    if (attempt.job.spec.shape() == JobShape.GANG) {
      stopGang(attempt.job, graceS);
    } else {
      requestStop(attempt, graceS);
    }
  }

  /**
   * Empties a machine that the cloud takes back; true once one that is to hold nothing more is
   * empty.
   */
  public boolean drained(Machine machine) {
    if (machine.reclaimAt >= 0) {
      for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
        if (!attempt.stopping && attempt.job.finalPhase == null) {
          stopWithGang(attempt, attempt.job.spec.checkpointS() > 0 ? attempt.job.spec.saveS() : 0);
        }
      }
    }
    return (machine.reclaimAt >= 0 || machine.cordoned)
        && machine.openAttempts.isEmpty()
        && machine.up();
  }
}
