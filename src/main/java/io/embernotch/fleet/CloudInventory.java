package io.embernotch.fleet;

import io.embernotch.actor.Clock;
import io.embernotch.agents.AgentReconciler;
import io.embernotch.codec.CloudCodec.ListedMachine;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Polls the cloud's machine list, and adds new machines and their details to the cluster state. */
final class CloudInventory {
  /** Logs under the fleet manager's name, which operators search for. */
  private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final FailureRates rates;
  private final Runnable clusterChanged;
  private final Consumer<Machine> scaleIn;
  private final double startedAt;
  private double requestedAt = Clock.NEVER;
  private boolean requestPending;
  private boolean hasReceivedMachineList;
  private boolean isCloudReachable;

  /**
   * @param clusterChanged called after the first list, and after each that contains a new machine
   *     or a failure
   * @param scaleIn returns a machine
   */
  CloudInventory(
      ControllerContext context,
      ClusterState state,
      AgentReconciler agents,
      FailureRates rates,
      Runnable clusterChanged,
      Consumer<Machine> scaleIn) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.rates = rates;
    this.clusterChanged = clusterChanged;
    this.scaleIn = scaleIn;
    this.startedAt = context.clock().now();
  }

  /** Whether a list has been received. */
  boolean hasReceivedMachineList() {
    return hasReceivedMachineList;
  }

  /** Whether the most recent completed list request succeeded. */
  boolean isCloudReachable() {
    return isCloudReachable;
  }

  /** Requests the list if a request is due. */
  void tick(double now) {
    if (!requestPending && now - requestedAt > listIntervalS()) {
      request();
    }
  }

  private double listIntervalS() {
    return Math.max(
        context.settings().cloudLimits().listLagS(),
        context.settings().workers().heartbeatIntervalS());
  }

  private void request() {
    requestPending = true;
    requestedAt = context.clock().now();
    context
        .cloud()
        .list()
        .onComplete(
            result -> {
              requestPending = false;
              if (result.succeeded()) {
                apply(result.result());
              } else {
                isCloudReachable = false;
                LOG.debug("machine list request failed: {}", result.cause().getMessage());
              }
            });
  }

  /**
   * Adds the new information of a list. A machine that is missing from a list may be newer than the
   * list, so no machine is given up for that. A machine is given up when it is unresponsive, and is
   * proven gone by the response to its deletion.
   */
  private void apply(List<ListedMachine> list) {
    double now = context.clock().now();
    boolean changed = !hasReceivedMachineList;
    hasReceivedMachineList = true;
    isCloudReachable = true;
    for (ListedMachine listed : list) {
      Machine machine = state.machines.get(listed.name());
      if (machine == null) {
        if (agents.wasDeleted(listed.name())) {
          continue;
        }
        machine = state.machine(listed.name(), agents.tokenBase());
        changed = true;
      }
      if (!machine.up()) {
        setDetails(machine, listed, now);
      }
      if (listed.running()) {
        machine.listedUpAt = machine.listedUpAt < 0 ? now : machine.listedUpAt;
        // Contacts a machine that ran under an earlier leader at once: until its worker finds this
        // leader by itself, nothing can be started on it.
        agents.discover(machine);
      }
      if (listed.failed() && !machine.failed) {
        LOG.info("machine {} has failed", machine.name);
        machine.failed = true;
        rates.recordMachineFailure();
        scaleIn.accept(machine);
        changed = true;
      }
    }
    if (changed) {
      clusterChanged.run();
    }
  }

  /** Sets the details of a machine whose worker has not reported yet from the list. */
  private void setDetails(Machine machine, ListedMachine listed, double now) {
    machine.type = state.types.getOrDefault(listed.type(), machine.type);
    machine.zone = listed.zone();
    machine.spot = listed.spot();
    machine.address = listed.address() == null ? machine.address : listed.address();
    machine.rentedAt =
        Math.min(machine.rentedAt == 0 ? now : machine.rentedAt, now - listed.ageS());
    // A machine that ran under an earlier leader is given time to find this leader.
    double findsLeaderBy =
        listed.running() ? startedAt + context.settings().workers().leaseS() / 2 : 0;
    double bootS = machine.type == null ? 0 : FleetManager.EXPECTED_BOOTS * machine.type.bootS();
    machine.expectedUntil =
        Math.max(machine.expectedUntil, Math.max(findsLeaderBy, machine.rentedAt + bootS));
  }
}
