package io.embernotch.fleet;

import io.embernotch.agents.AgentReconciler;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;
import java.util.List;
import java.util.function.Consumer;

/**
 * Machines whose heartbeats arrive, and which neither answers nor commands reach. What runs there
 * runs until its worker's lease ends, and may be done before; what has not begun there goes
 * elsewhere as soon as that is proven. Once nothing runs there any more the machine is returned,
 * which proves all else on it gone.
 */
final class OneWayPartitions {
  /**
   * From so large a share of the machines on it is rather we who are not heard: none is returned
   * for it.
   */
  private static final double OURS = 0.2;

  /** Share of a lease, counted from its last renewal, for which what runs there is waited for. */
  private static final double PATIENCE = 0.9;

  /**
   * Report periods from the last answer that was heard until a machine is taken for unreachable.
   */
  private static final double NOTICED_HEARTBEATS = 2;

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final FleetManager.Listener listener;
  private final Consumer<Machine> scaleIn;

  OneWayPartitions(
      ControllerContext context,
      ClusterState state,
      AgentReconciler agents,
      FleetManager.Listener listener,
      Consumer<Machine> scaleIn) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.listener = listener;
    this.scaleIn = scaleIn;
  }

  void watch(double now) {
    List<Machine> unreachable =
        state.machines.values().stream()
            .filter(machine -> machine.unreachableSince >= 0 && !machine.deleting)
            .toList();
    if (unreachable.isEmpty()) {
      return;
    }
    long up = state.machines.values().stream().filter(Machine::up).count();
    boolean ours = unreachable.size() >= 3 && unreachable.size() > OURS * up;
    for (Machine machine : unreachable) {
      agents.probe(machine);
      withdraw(machine);
      if (!ours
          && machine.probeFailedAt > machine.unreachableSince
          && !worthWaitingFor(machine, now)) {
        scaleIn.accept(machine);
      }
    }
  }

  private void withdraw(Machine machine) {
    for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
      boolean begun =
          attempt.launchState == Attempt.LaunchState.CONFIRMED
              || attempt.launchState == Attempt.LaunchState.SENDING;
      if (!begun && !attempt.stopping) {
        listener.startUnreachable(attempt);
      }
    }
  }

  private boolean worthWaitingFor(Machine machine, double now) {
    boolean runs =
        machine.openAttempts.values().stream()
            .anyMatch(
                attempt ->
                    attempt.launchState == Attempt.LaunchState.CONFIRMED && !attempt.stopping);
    double left =
        PATIENCE * context.settings().workers().leaseS()
            - NOTICED_HEARTBEATS * context.settings().workers().heartbeatIntervalS();
    return runs && now - machine.unreachableSince < left;
  }
}
