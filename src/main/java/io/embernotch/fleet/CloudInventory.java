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

/** Polls the cloud's machine list, and takes over what it adds to the cluster state. */
final class CloudInventory {
  /** Operators know these lines under the fleet manager's name. */
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
  private boolean listedOnce;
  private boolean cloudAnswers;

  /**
   * @param clusterChanged called after a list that brought something new
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
  boolean listedOnce() {
    return listedOnce;
  }

  /** Whether the last list that was asked for, if it is decided, was received. */
  boolean cloudAnswers() {
    return cloudAnswers;
  }

  /** Asks for the list when that is due. */
  void tick(double now) {
    if (!requestPending && now - requestedAt > intervalS()) {
      request();
    }
  }

  private double intervalS() {
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
                cloudAnswers = false;
                LOG.debug("machine list: {}", result.cause().getMessage());
              }
            });
  }

  /**
   * Takes over what a list adds. A machine that a list lacks may be too new, or the list too old:
   * lists never end anything here. Unresponsiveness does, followed by a deletion whose answer is
   * proof.
   */
  private void apply(List<ListedMachine> list) {
    double now = context.clock().now();
    boolean changed = !listedOnce;
    listedOnce = true;
    cloudAnswers = true;
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
        describe(machine, listed, now);
      }
      if (listed.running()) {
        machine.listedUpAt = machine.listedUpAt < 0 ? now : machine.listedUpAt;
        // A machine that ran under an earlier leader is asked at once: until its worker finds this
        // leader by itself, nothing could be started on it.
        agents.find(machine);
      }
      if (listed.failed() && !machine.failed) {
        LOG.info("machine {} has failed", machine.name);
        machine.failed = true;
        rates.machineFailed();
        scaleIn.accept(machine);
        changed = true;
      }
    }
    if (changed) {
      clusterChanged.run();
    }
  }

  /** Until its worker reports, a machine is known from the list alone. */
  private void describe(Machine machine, ListedMachine listed, double now) {
    machine.type = state.types.getOrDefault(listed.type(), machine.type);
    machine.zone = listed.zone();
    machine.spot = listed.spot();
    machine.address = listed.address() == null ? machine.address : listed.address();
    machine.rentedAt =
        Math.min(machine.rentedAt == 0 ? now : machine.rentedAt, now - listed.ageS());
    // One that ran under an earlier leader is given time to find this one.
    double findsLeaderBy =
        listed.running() ? startedAt + context.settings().workers().leaseS() / 2 : 0;
    double bootS = machine.type == null ? 0 : FleetManager.EXPECTED_BOOTS * machine.type.bootS();
    machine.expectedUntil =
        Math.max(machine.expectedUntil, Math.max(findsLeaderBy, machine.rentedAt + bootS));
  }
}
