package io.embernotch.fleet;

import io.embernotch.agents.AgentReconciler;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;
import java.util.List;
import java.util.function.Consumer;

/**
 * Machines behind a one-way partition: their heartbeats arrive, but neither responses nor commands
 * reach them. Tasks that run on such a machine continue until its worker's lease expires, and may
 * be done before. Tasks that have not started there are moved elsewhere as soon as it is proven
 * that they have not. Once no task runs there any more the machine is returned, which proves that
 * everything else on it has ended.
 */
final class OneWayPartitions {
  /**
   * If more than this share of the machines is unreachable, this controller's own messages are
   * probably lost, so no machine is returned.
   */
  private static final double CONTROLLER_UNREACHABLE_SHARE = 0.2;

  /** With fewer unreachable machines than this, this controller is never taken for unreachable. */
  private static final int CONTROLLER_UNREACHABLE_MIN_MACHINES = 3;

  /**
   * Share of a lease, counted from its last renewal, for which the end of running tasks is awaited.
   */
  private static final double WAIT_LEASE_SHARE = 0.9;

  /**
   * Heartbeat intervals from the last response that a machine received until it counts as
   * unreachable.
   */
  private static final double DETECTION_HEARTBEATS = 2;

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final FleetManager.Listener listener;
  private final Consumer<Machine> scaleIn;

  /**
   * @param scaleIn returns a machine
   */
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

  /**
   * Probes unreachable machines, withdraws attempts that have not started there, and returns
   * machines that are not worth waiting for.
   */
  void check(double now) {
    List<Machine> unreachable =
        state.machines.values().stream()
            .filter(machine -> machine.unreachableSince >= 0 && !machine.deleting)
            .toList();
    if (unreachable.isEmpty()) {
      return;
    }
    long up = state.machines.values().stream().filter(Machine::up).count();
    boolean controllerUnreachable =
        unreachable.size() >= CONTROLLER_UNREACHABLE_MIN_MACHINES
            && unreachable.size() > CONTROLLER_UNREACHABLE_SHARE * up;
    for (Machine machine : unreachable) {
      agents.probe(machine);
      withdrawUnstartedAttempts(machine);
      if (!controllerUnreachable
          && machine.probeFailedAt > machine.unreachableSince
          && !shouldWaitFor(machine, now)) {
        scaleIn.accept(machine);
      }
    }
  }

  private void withdrawUnstartedAttempts(Machine machine) {
    for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
      if (attempt.launchState != Attempt.LaunchState.CONFIRMED && !attempt.stopping) {
        listener.startUndeliverable(attempt);
      }
    }
  }

  private boolean shouldWaitFor(Machine machine, double now) {
    boolean hasRunningTasks =
        machine.openAttempts.values().stream()
            .anyMatch(
                attempt ->
                    attempt.launchState == Attempt.LaunchState.CONFIRMED && !attempt.stopping);
    double maxWaitS =
        WAIT_LEASE_SHARE * context.settings().workers().leaseS()
            - DETECTION_HEARTBEATS * context.settings().workers().heartbeatIntervalS();
    return hasRunningTasks && now - machine.unreachableSince < maxWaitS;
  }
}
