package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.state.ClusterState;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.JobShape;
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
      ControllerContext context, ClusterState state, AgentReconciler agents, Consumer<Attempt> close, BooleanSupplier mayOrder) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.close = close;
    this.mayOrder = mayOrder;
  }

  /** Wants an attempt to end. One whose start has not left ends here and now. */
  public void requestStop(Attempt a, double graceS) {
    if (a.launchState == Attempt.LaunchState.UNCOMMITTED || a.launchState == Attempt.LaunchState.READY) {
      close.accept(a);
      return;
    }
    if (!a.stopping || graceS < a.stopGraceS) {
      a.stopping = true;
      a.stopGraceS = graceS;
      a.stopRequestedAt = context.clock().now();
      a.stopSentAt = -1e9;
    }
    Machine m = state.machines.get(a.machine);
    if (m != null && mayOrder.getAsBoolean()) {
      m.attemptsChanged();
      agents.sendDueCommands(m);
    }
  }

  /** Stops what is left of a gang's attempt; the next one starts when all of it has ended. */
  public void stopGang(Job job, double graceS) {
    for (Attempt a : List.copyOf(job.openAttempts.values())) {
      if (!a.stopping) {
        requestStop(a, graceS);
      }
    }
  }

  /** Stops an attempt, and with it the rest of its gang. */
  public void stopWithGang(Attempt a, double graceS) {
    if (a.job.spec.shape() == JobShape.GANG) {
      stopGang(a.job, graceS);
    } else {
      requestStop(a, graceS);
    }
  }

  /**
   * Empties a machine that the cloud takes back; true once one that is to hold nothing more is
   * empty.
   */
  public boolean drained(Machine m) {
    if (m.reclaimAt >= 0) {
      for (Attempt a : List.copyOf(m.openAttempts.values())) {
        if (!a.stopping && a.job.finalPhase == null) {
          stopWithGang(a, a.job.spec.checkpointS() > 0 ? a.job.spec.saveS() : 0);
        }
      }
    }
    return (m.reclaimAt >= 0 || m.cordoned) && m.openAttempts.isEmpty() && m.up();
  }
}
