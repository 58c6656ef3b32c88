package io.embernotch.fleet;

import io.embernotch.codec.CloudCodec.Listed;
import io.embernotch.context.ControllerContext;
import io.embernotch.state.ClusterState;
import io.embernotch.agents.AgentReconciler;
import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import io.embernotch.scheduling.FleetView;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.scheduling.FailureRisk;
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
    void machineGone(Machine m);

    void clusterChanged();

    /** Controllers that have been heard from lately, this one included. */
    Set<String> controllers();

    /** The attempt's start does not reach its machine. */
    void startUnreachable(Attempt a);

    /** So many machines are silent at once that it is rather we who are cut off. */
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

  public FleetManager(ControllerContext context, ClusterState state, AgentReconciler agents, long epoch, Listener listener) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.listener = listener;
    this.scaleOut = new ScaleOut(context, state, agents, epoch, listener::clusterChanged);
    this.scaleIn = new ScaleIn(context, state, listener::machineGone);
    this.rates = new FailureRates(context.settings());
    this.failureDetector = new FailureDetector(context, state, agents, listener, scaleIn::release, rates);
    this.oneWayPartitions = new OneWayPartitions(context, state, agents, listener, scaleIn::release);
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
    return Math.max(context.settings().cloudLimits().listLagS(), context.settings().workers().heartbeatIntervalS());
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
  public void rent(SchedulingPlan.ScaleOutRequest buy) {
    scaleOut.rent(buy);
  }

  public void tick() {
    double now = context.clock().now();
    if (!listing && now - listedAt > listEveryS()) {
      list();
    }
    if (now - typesAt > 20 * context.settings().workers().heartbeatIntervalS()) {
      typesAt = now;
      context.cloud().types().onSuccess(list -> list.forEach(t -> state.types.put(t.name(), t)));
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
    context.cloud()
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
  private void listed(List<Listed> list) {
    double now = context.clock().now();
    boolean news = !listedOnce;
    listedOnce = true;
    answering = true;
    for (Listed l : list) {
      Machine m = state.machines.get(l.name());
      if (m == null) {
        if (agents.wasDeleted(l.name())) {
          continue;
        }
        m = state.machine(l.name(), agents.tokenBase());
        news = true;
      }
      if (!m.up()) {
        m.type = state.types.getOrDefault(l.type(), m.type);
        m.zone = l.zone();
        m.spot = l.spot();
        m.address = l.address() == null ? m.address : l.address();
        m.rentedAt = Math.min(m.rentedAt == 0 ? now : m.rentedAt, now - l.ageS());
        // One that ran under an earlier leader is given time to find us.
        double findUs =
            l.phase().equals("running") ? startedAt + context.settings().workers().leaseS() / 2 : 0;
        double boot = m.type == null ? 0 : COUNTED_BOOTS * m.type.bootS();
        m.expectedUntil = Math.max(m.expectedUntil, Math.max(findUs, m.rentedAt + boot));
      }
      if (l.phase().equals("running")) {
        m.listedUpAt = m.listedUpAt < 0 ? now : m.listedUpAt;
        find(m);
      }
      if (l.phase().equals("failed") && !m.failed) {
        LOG.info("machine {} has failed", m.name);
        m.failed = true;
        rates.machineFailed();
        scaleIn(m);
        news = true;
      }
    }
    if (news) {
      listener.clusterChanged();
    }
  }

  /**
   * Machines that ran under an earlier leader are asked at once: until their workers find us by
   * themselves, nothing could be started on them.
   */
  private void find(Machine m) {
    agents.find(m);
  }

  private void watchBoots(double now) {
    for (Machine m : state.machines.values()) {
      if (m.up() || m.deleting || m.type == null) {
        continue;
      }
      // Machines that were up under an earlier leader need time to find us.
      double since = Math.max(m.rentedAt, startedAt - m.type.bootS());
      if (now - since > HOPELESS_BOOTS * m.type.bootS() + context.settings().workers().heartbeatIntervalS()
          && now - startedAt > context.settings().workers().leaseS() / 2) {
        LOG.info("machine {} has not come up", m.name);
        scaleIn(m);
      }
    }
  }

  /** Returns a machine. Nothing more is placed on it, and what is on it ends with it. */
  public void scaleIn(Machine m) {
    scaleIn.release(m);
  }

  /** Tasks on machines whose worker's lease must have run out are gone, deleted or not. */
  public List<Attempt> attemptsWithExpiredLease() {
    List<Attempt> out = new ArrayList<>();
    double now = context.clock().now();
    for (Machine m : state.machines.values()) {
      if (m.openAttempts.isEmpty() || (m.up() && now - m.lastHeartbeatAt < context.settings().workers().leaseS())) {
        continue;
      }
      if (agents.leaseExpired(m)) {
        for (Attempt a : m.openAttempts.values()) {
          if (a.launchState != Attempt.LaunchState.SENDING) {
            out.add(a);
          }
        }
      }
    }
    return out;
  }
}
