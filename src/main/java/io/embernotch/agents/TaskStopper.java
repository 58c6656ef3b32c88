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
  private final ControllerContext env;
  private final ClusterState ledger;
  private final AgentReconciler workers;
  private final Consumer<Attempt> close;

  /** Before the store is read, orders wait. */
  private final BooleanSupplier mayOrder;

  public TaskStopper(
      ControllerContext env, ClusterState ledger, AgentReconciler workers, Consumer<Attempt> close, BooleanSupplier mayOrder) {
    this.env = env;
    this.ledger = ledger;
    this.workers = workers;
    this.close = close;
    this.mayOrder = mayOrder;
  }

  /** Wants an attempt to end. One whose start has not left ends here and now. */
  public void want(Attempt a, double graceS) {
    if (a.start == Attempt.LaunchState.UNCOMMITTED || a.start == Attempt.LaunchState.READY) {
      close.accept(a);
      return;
    }
    if (!a.stopping || graceS < a.stopGraceS) {
      a.stopping = true;
      a.stopGraceS = graceS;
      a.stopAskedAt = env.clock().now();
      a.stopSentAt = -1e9;
    }
    Machine m = ledger.machines.get(a.machine);
    if (m != null && mayOrder.getAsBoolean()) {
      m.touched();
      workers.flush(m);
    }
  }

  /** Stops what is left of a gang's attempt; the next one starts when all of it has ended. */
  public void breakGang(Job job, double graceS) {
    for (Attempt a : List.copyOf(job.open.values())) {
      if (!a.stopping) {
        want(a, graceS);
      }
    }
  }

  /** Stops an attempt, and with it the rest of its gang. */
  public void one(Attempt a, double graceS) {
    if (a.job.spec.shape() == JobShape.GANG) {
      breakGang(a.job, graceS);
    } else {
      want(a, graceS);
    }
  }

  /**
   * Empties a machine that the cloud takes back; true once one that is to hold nothing more is
   * empty.
   */
  public boolean drained(Machine m) {
    if (m.recallAt >= 0) {
      for (Attempt a : List.copyOf(m.open.values())) {
        if (!a.stopping && a.job.end == null) {
          one(a, a.job.spec.checkpointS() > 0 ? a.job.spec.saveS() : 0);
        }
      }
    }
    return (m.recallAt >= 0 || m.cordoned) && m.open.isEmpty() && m.up();
  }
}
