package io.embernotch.fleet;

import io.embernotch.actor.Clock;
import io.embernotch.agents.AgentReconciler;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import io.embernotch.scheduling.FailureRisk;
import io.embernotch.scheduling.FleetView;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents, lists and returns machines, and gives up those that never come up or become unresponsive.
 */
public final class FleetManager {
  private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);

  /** Boot times after which a machine that has not come up is returned. */
  private static final double BOOT_TIMEOUT_BOOTS = 2.5;

  /** Boot times for which a machine is expected to come up; then another is rented in its place. */
  static final double EXPECTED_BOOTS = 1.6;

  /** Heartbeat intervals between two requests for the machine types. */
  private static final double TYPES_INTERVAL_HEARTBEATS = 20;

  /** Receives changes of the fleet; called on the leader's event loop. */
  public interface Listener {
    /** Called when the machine is deleted, and all tasks on it have ended. */
    void machineDeleted(Machine machine);

    /**
     * Called when machines were added or failed, or a rental was refused, so that a new plan may
     * differ.
     */
    void clusterChanged();

    /**
     * Returns the names of the controllers that have sent messages recently, including this one.
     */
    Set<String> liveControllers();

    /** Called when the start command of the attempt can't reach its machine. */
    void startUndeliverable(Attempt attempt);

    /**
     * Called when so many machines are unresponsive at once that this controller must be the
     * partitioned one.
     */
    void controllerPartitioned();
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final ScaleOut scaleOut;
  private final CloudInventory inventory;
  private final FailureDetector failureDetector;
  private final FailureRates rates;
  private final OneWayPartitions oneWayPartitions;
  private final ScaleIn scaleIn;
  private final double startedAt;
  private double typesRequestedAt = Clock.NEVER;

  /**
   * @param epoch epoch of this leader, unique to its term
   * @param listener receives changes of the fleet
   */
  public FleetManager(
      ControllerContext context,
      ClusterState state,
      AgentReconciler agents,
      long epoch,
      Listener listener) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.scaleOut =
        new ScaleOut(context, state, agents.tokenBase(), epoch, listener::clusterChanged);
    this.scaleIn = new ScaleIn(context, state, listener::machineDeleted);
    this.rates = new FailureRates(context.settings());
    this.inventory =
        new CloudInventory(
            context, state, agents, rates, listener::clusterChanged, scaleIn::returnMachine);
    this.failureDetector =
        new FailureDetector(context, state, agents, listener, scaleIn::returnMachine, rates);
    this.oneWayPartitions =
        new OneWayPartitions(context, state, agents, listener, scaleIn::returnMachine);
    this.startedAt = context.clock().now();
  }

  /** Whether this leader has received the cloud's machine list at least once. */
  public boolean hasReceivedMachineList() {
    return inventory.hasReceivedMachineList();
  }

  /**
   * Whether the cloud answers. While it does not, idle machines are kept: they can be neither
   * returned nor replaced, and a deletion that was requested may be executed at any later time.
   */
  public boolean isCloudReachable() {
    return inventory.isCloudReachable();
  }

  /** The machines that are being rented. */
  public List<FleetView.Expected> pendingRentals() {
    return scaleOut.pendingRentals();
  }

  /** Returns the estimated failure rates of machines and zones. */
  public FailureRisk failureRisk() {
    return rates.risk();
  }

  /**
   * Whether nothing can be rented in a pool at present: it is exhausted, or its zone partitioned.
   */
  public boolean isExhausted(String type, String zone, boolean spot) {
    return failureDetector.isPartitioned(zone) || scaleOut.isExhausted(type, zone, spot);
  }

  /** Rents machines as described in {@link ScaleOut#rent}. */
  public void rent(SchedulingPlan.ScaleOutRequest request) {
    scaleOut.rent(request);
  }

  /**
   * Runs all periodic checks and requests that are due; called several times a heartbeat interval.
   */
  public void tick() {
    double now = context.clock().now();
    inventory.tick(now);
    refreshTypes(now);
    rates.tick(state, now);
    returnMachinesThatDidNotBoot(now);
    failureDetector.check(now);
    oneWayPartitions.check(now);
    scaleIn.sendNextDeletion(now);
  }

  private void refreshTypes(double now) {
    double intervalS =
        TYPES_INTERVAL_HEARTBEATS * context.settings().workers().heartbeatIntervalS();
    if (now - typesRequestedAt > intervalS) {
      typesRequestedAt = now;
      context
          .cloud()
          .types()
          .onSuccess(types -> types.forEach(type -> state.types.put(type.name(), type)));
    }
  }

  private void returnMachinesThatDidNotBoot(double now) {
    for (Machine machine : state.machines.values()) {
      if (machine.up() || machine.deleting || machine.type == null) {
        continue;
      }
      // Machines that were up under an earlier leader need time to find this one.
      double since = Math.max(machine.rentedAt, startedAt - machine.type.bootS());
      double timeoutS =
          BOOT_TIMEOUT_BOOTS * machine.type.bootS()
              + context.settings().workers().heartbeatIntervalS();
      if (now - since > timeoutS && now - startedAt > context.settings().workers().leaseS() / 2) {
        LOG.info("machine {} did not boot in time", machine.name);
        scaleIn(machine);
      }
    }
  }

  /** Returns a machine to the cloud. No more tasks are placed on it, and its tasks end with it. */
  public void scaleIn(Machine machine) {
    scaleIn.returnMachine(machine);
  }

  /**
   * Returns the attempts on machines whose worker's lease must have expired: these attempts have
   * ended, whether or not the machine is deleted.
   */
  public List<Attempt> attemptsWithExpiredLease() {
    List<Attempt> expired = new ArrayList<>();
    double now = context.clock().now();
    for (Machine machine : state.machines.values()) {
      if (machine.openAttempts.isEmpty()
          || (machine.up()
              && now - machine.lastHeartbeatAt < context.settings().workers().leaseS())) {
        continue;
      }
      if (agents.leaseExpired(machine)) {
        expired.addAll(machine.openAttempts.values());
      }
    }
    return expired;
  }
}
