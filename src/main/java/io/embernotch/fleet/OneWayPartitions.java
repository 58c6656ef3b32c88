package io.embernotch.fleet;

import io.embernotch.context.ControllerContext;
import io.embernotch.state.ClusterState;
import io.embernotch.agents.AgentReconciler;
import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import java.util.List;
import java.util.function.Consumer;

/**
 * Machines whose reports arrive, and which neither answers nor commands reach. What runs there runs
 * until its worker's lease ends, and may be done before; what has not begun there goes elsewhere as
 * soon as that is proven. Once nothing runs there any more the machine is returned, which proves
 * all else on it gone.
 */
final class OneWayPartitions {
  /**
   * From so large a share of the machines on it is rather we who are not heard: none is returned
   * for it.
   */
  private static final double OURS = 0.2;

  /** Share of a lease, counted from its last renewal, for which what runs there is waited for. */
  private static final double PATIENCE = 0.9;

  /** Report periods from the last answer that was heard until a machine is taken for deaf. */
  private static final double NOTICED_REPORTS = 2;

  private final ControllerContext env;
  private final ClusterState ledger;
  private final AgentReconciler workers;
  private final FleetManager.Outcome outcome;
  private final Consumer<Machine> giveBack;

  OneWayPartitions(
      ControllerContext env,
      ClusterState ledger,
      AgentReconciler workers,
      FleetManager.Outcome outcome,
      Consumer<Machine> giveBack) {
    this.env = env;
    this.ledger = ledger;
    this.workers = workers;
    this.outcome = outcome;
    this.giveBack = giveBack;
  }

  void watch(double now) {
    List<Machine> deaf =
        ledger.machines.values().stream().filter(m -> m.deafSince >= 0 && !m.deleting).toList();
    if (deaf.isEmpty()) {
      return;
    }
    long up = ledger.machines.values().stream().filter(Machine::up).count();
    boolean ours = deaf.size() >= 3 && deaf.size() > OURS * up;
    for (Machine m : deaf) {
      workers.probe(m);
      withdraw(m);
      if (!ours && m.probeFailedAt > m.deafSince && !worthWaitingFor(m, now)) {
        giveBack.accept(m);
      }
    }
  }

  private void withdraw(Machine m) {
    for (Attempt a : List.copyOf(m.open.values())) {
      boolean begun = a.start == Attempt.LaunchState.HELD || a.start == Attempt.LaunchState.SENDING;
      if (!begun && !a.stopping) {
        outcome.unreachable(a);
      }
    }
  }

  private boolean worthWaitingFor(Machine m, double now) {
    boolean runs =
        m.open.values().stream().anyMatch(a -> a.start == Attempt.LaunchState.HELD && !a.stopping);
    double left =
        PATIENCE * env.settings().workers().leaseS()
            - NOTICED_REPORTS * env.settings().workers().reportS();
    return runs && now - m.deafSince < left;
  }
}
