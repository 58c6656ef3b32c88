package io.embernotch.fleet;

import io.embernotch.agents.AgentReconciler;
import io.embernotch.codec.CloudCodec.ListedMachine;
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

/** Rents, lists and returns machines, and gives up on those that never come up or fall silent. */
public final class FleetManager {
  private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);

  /** Boot times after which a machine that has not come up is given back. */
  private static final double HOPELESS_BOOTS = 2.5;

  /** Boot times for which a machine is counted on; then another is rented in its place. */
  static final double COUNTED_BOOTS = 1.6;

  /** What is told of the fleet. */
  public interface Listener {
    /** The machine and all that was on it are gone. */
    void machineGone(Machine machine);

    void clusterChanged();

    /** Controllers that have been heard from lately, this one included. */
    Set<String> controllers();

    /** The attempt's start does not reach its machine. */
    void startUnreachable(Attempt attempt);

    /** So many machines are silent at once that it is rather we who are partitioned. */
    void controllerPartitioned();
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final Listener listener;
  private final ScaleOut scaleOut;
  private final FailureDetector failureDetector;
  private final FailureRates rates;
  private final OneWayPartitions oneWayPartitions;
  private final ScaleIn scaleIn;
  private final double startedAt;
  private double listedAt = -1e9;
  private boolean answering;
  private boolean listing;
  private boolean listedOnce;
  private double typesAt = -1e9;

  public FleetManager(
      ControllerContext context,
      ClusterState state,
      AgentReconciler agents,
      long epoch,
      Listener listener) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.listener = listener;
    this.scaleOut = new ScaleOut(context, state, agents, epoch, listener::clusterChanged);
    this.scaleIn = new ScaleIn(context, state, listener::machineGone);
    this.rates = new FailureRates(context.settings());
    this.failureDetector =
        new FailureDetector(context, state, agents, listener, scaleIn::release, rates);
    this.oneWayPartitions =
        new OneWayPartitions(context, state, agents, listener, scaleIn::release);
    this.startedAt = context.clock().now();
  }

  public boolean listedOnce() {
    return listedOnce;
  }

  /**
   * True while the cloud answers. What is idle when it does not is kept: it could not be returned
   * now, nor replaced, and a deletion that was tried may be carried out at any later time.
   */
  public boolean cloudAnswers() {
    return answering;
  }

  private double listEveryS() {
    return Math.max(
        context.settings().cloudLimits().listLagS(),
        context.settings().workers().heartbeatIntervalS());
  }

  /** What is being rented. */
  public List<FleetView.Expected> expected() {
    return scaleOut.expected();
  }

  /** How often machines and zones fail, as far as is known. */
  public FailureRisk risk() {
    return rates.risk();
  }

  public boolean exhausted(String type, String zone, boolean spot) {
    return failureDetector.isPartitioned(zone) || scaleOut.full(type, zone, spot);
  }

  /** See {@link ScaleOut#rent}. */
  public void rent(SchedulingPlan.ScaleOutRequest request) {
    scaleOut.rent(request);
  }

  public void tick() {
    double now = context.clock().now();
    if (!listing && now - listedAt > listEveryS()) {
      list();
    }
    if (now - typesAt > 20 * context.settings().workers().heartbeatIntervalS()) {
      typesAt = now;
      context
          .cloud()
          .types()
          .onSuccess(list -> list.forEach(type -> state.types.put(type.name(), type)));
    }
    rates.tick(state, now);
    watchBoots(now);
    failureDetector.watch(now);
    oneWayPartitions.watch(now);
    scaleIn.send(now);
  }

  private void list() {
    listing = true;
    listedAt = context.clock().now();
    context
        .cloud()
        .list()
        .onComplete(
            r -> {
              listing = false;
              if (r.succeeded()) {
                listed(r.result());
              } else {
                answering = false;
                LOG.debug("machine list: {}", r.cause().getMessage());
              }
            });
  }

  /**
   * Takes what a list adds. A machine that a list lacks may be too new, or the list too old: lists
   * never end anything here. Silence does, followed by a deletion whose answer is proof.
   */
  private void listed(List<ListedMachine> list) {
    double now = context.clock().now();
    boolean changed = !listedOnce;
    listedOnce = true;
    answering = true;
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
        machine.type = state.types.getOrDefault(listed.type(), machine.type);
        machine.zone = listed.zone();
        machine.spot = listed.spot();
        machine.address = listed.address() == null ? machine.address : listed.address();
        machine.rentedAt =
            Math.min(machine.rentedAt == 0 ? now : machine.rentedAt, now - listed.ageS());
        // One that ran under an earlier leader is given time to find us.
        double findUs =
            listed.phase().equals("running")
                ? startedAt + context.settings().workers().leaseS() / 2
                : 0;
        double boot = machine.type == null ? 0 : COUNTED_BOOTS * machine.type.bootS();
        machine.expectedUntil =
            Math.max(machine.expectedUntil, Math.max(findUs, machine.rentedAt + boot));
      }
      if (listed.phase().equals("running")) {
        machine.listedUpAt = machine.listedUpAt < 0 ? now : machine.listedUpAt;
        find(machine);
      }
      if (listed.phase().equals("failed") && !machine.failed) {
        LOG.info("machine {} has failed", machine.name);
        machine.failed = true;
        rates.machineFailed();
        scaleIn(machine);
        changed = true;
      }
    }
    if (changed) {
      listener.clusterChanged();
    }
  }

  /**
   * Machines that ran under an earlier leader are asked at once: until their workers find us by
   * themselves, nothing could be started on them.
   */
  private void find(Machine machine) {
    agents.find(machine);
  }

  private void watchBoots(double now) {
    for (Machine machine : state.machines.values()) {
      if (machine.up() || machine.deleting || machine.type == null) {
        continue;
      }
      // Machines that were up under an earlier leader need time to find us.
      double since = Math.max(machine.rentedAt, startedAt - machine.type.bootS());
      if (now - since
              > HOPELESS_BOOTS * machine.type.bootS()
                  + context.settings().workers().heartbeatIntervalS()
          && now - startedAt > context.settings().workers().leaseS() / 2) {
        LOG.info("machine {} did not boot in time", machine.name);
        scaleIn(machine);
      }
    }
  }

  /** Returns a machine. Nothing more is placed on it, and what is on it ends with it. */
  public void scaleIn(Machine machine) {
    scaleIn.release(machine);
  }

  /** Tasks on machines whose worker's lease must have run out are gone, deleted or not. */
  public List<Attempt> attemptsWithExpiredLease() {
    List<Attempt> out = new ArrayList<>();
    double now = context.clock().now();
    for (Machine machine : state.machines.values()) {
      if (machine.openAttempts.isEmpty()
          || (machine.up()
              && now - machine.lastHeartbeatAt < context.settings().workers().leaseS())) {
        continue;
      }
      if (agents.leaseExpired(machine)) {
        for (Attempt attempt : machine.openAttempts.values()) {
          if (attempt.launchState != Attempt.LaunchState.SENDING) {
            out.add(attempt);
          }
        }
      }
    }
    return out;
  }
}
