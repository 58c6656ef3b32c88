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
  public interface Outcome {
    /** The machine and all that was on it are gone. */
    void machineGone(Machine m);

    void changed();

    /** Controllers that have been heard from lately, this one included. */
    Set<String> controllers();

    /** The attempt's start does not reach its machine. */
    void unreachable(Attempt a);

    /** So many machines are silent at once that it is rather we who are cut off. */
    void deaf();
  }

  private final ControllerContext env;
  private final ClusterState ledger;
  private final AgentReconciler workers;
  private final Outcome outcome;
  private final ScaleOut rentals;
  private final FailureDetector silence;
  private final FailureRates rates;
  private final OneWayPartitions unreached;
  private final ScaleIn returns;
  private final double startedAt;
  private double listedAt = -1e9;
  private boolean answering;
  private boolean listing;
  private boolean listedOnce;
  private double typesAt = -1e9;

  public FleetManager(ControllerContext env, ClusterState ledger, AgentReconciler workers, long epoch, Outcome outcome) {
    this.env = env;
    this.ledger = ledger;
    this.workers = workers;
    this.outcome = outcome;
    this.rentals = new ScaleOut(env, ledger, workers, epoch, outcome::changed);
    this.returns = new ScaleIn(env, ledger, outcome::machineGone);
    this.rates = new FailureRates(env.settings());
    this.silence = new FailureDetector(env, ledger, workers, outcome, returns::giveBack, rates);
    this.unreached = new OneWayPartitions(env, ledger, workers, outcome, returns::giveBack);
    this.startedAt = env.clock().now();
  }

  public boolean listedOnce() {
    return listedOnce;
  }

  /**
   * True while the cloud answers. What is idle when it does not is kept: it could not be returned
   * now, nor replaced, and a deletion that was tried may be carried out at any later time.
   */
  public boolean answers() {
    return answering;
  }

  private double listEveryS() {
    return Math.max(env.settings().cloudLimits().listLagS(), env.settings().workers().reportS());
  }

  /** What is being rented. */
  public List<FleetView.Expected> expected() {
    return rentals.expected();
  }

  /** How often machines and zones fail, as far as is known. */
  public FailureRisk risk() {
    return rates.risk();
  }

  public boolean exhausted(String type, String zone, boolean spot) {
    return silence.isCut(zone) || rentals.full(type, zone, spot);
  }

  /** See {@link ScaleOut#rent}. */
  public void rent(SchedulingPlan.Buy buy) {
    rentals.rent(buy);
  }

  public void tick() {
    double now = env.clock().now();
    if (!listing && now - listedAt > listEveryS()) {
      list();
    }
    if (now - typesAt > 20 * env.settings().workers().reportS()) {
      typesAt = now;
      env.cloud().types().onSuccess(list -> list.forEach(t -> ledger.types.put(t.name(), t)));
    }
    rates.tick(ledger, now);
    watchBoots(now);
    silence.watch(now);
    unreached.watch(now);
    returns.send(now);
  }

  private void list() {
    listing = true;
    listedAt = env.clock().now();
    env.cloud()
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
    double now = env.clock().now();
    boolean news = !listedOnce;
    listedOnce = true;
    answering = true;
    for (Listed l : list) {
      Machine m = ledger.machines.get(l.name());
      if (m == null) {
        if (workers.wasDeleted(l.name())) {
          continue;
        }
        m = ledger.machine(l.name(), workers.base());
        news = true;
      }
      if (!m.up()) {
        m.type = ledger.types.getOrDefault(l.type(), m.type);
        m.zone = l.zone();
        m.spot = l.spot();
        m.address = l.address() == null ? m.address : l.address();
        m.bornAt = Math.min(m.bornAt == 0 ? now : m.bornAt, now - l.ageS());
        // One that ran under an earlier leader is given time to find us.
        double findUs =
            l.phase().equals("running") ? startedAt + env.settings().workers().leaseS() / 2 : 0;
        double boot = m.type == null ? 0 : COUNTED_BOOTS * m.type.bootS();
        m.countUntil = Math.max(m.countUntil, Math.max(findUs, m.bornAt + boot));
      }
      if (l.phase().equals("running")) {
        m.listedUpAt = m.listedUpAt < 0 ? now : m.listedUpAt;
        find(m);
      }
      if (l.phase().equals("failed") && !m.failed) {
        LOG.info("machine {} has failed", m.name);
        m.failed = true;
        rates.machineFailed();
        giveBack(m);
        news = true;
      }
    }
    if (news) {
      outcome.changed();
    }
  }

  /**
   * Machines that ran under an earlier leader are asked at once: until their workers find us by
   * themselves, nothing could be started on them.
   */
  private void find(Machine m) {
    workers.find(m);
  }

  private void watchBoots(double now) {
    for (Machine m : ledger.machines.values()) {
      if (m.up() || m.deleting || m.type == null) {
        continue;
      }
      // Machines that were up under an earlier leader need time to find us.
      double since = Math.max(m.bornAt, startedAt - m.type.bootS());
      if (now - since > HOPELESS_BOOTS * m.type.bootS() + env.settings().workers().reportS()
          && now - startedAt > env.settings().workers().leaseS() / 2) {
        LOG.info("machine {} has not come up", m.name);
        giveBack(m);
      }
    }
  }

  /** Returns a machine. Nothing more is placed on it, and what is on it ends with it. */
  public void giveBack(Machine m) {
    returns.giveBack(m);
  }

  /** Tasks on machines whose worker's lease must have run out are gone, deleted or not. */
  public List<Attempt> expired() {
    List<Attempt> out = new ArrayList<>();
    double now = env.clock().now();
    for (Machine m : ledger.machines.values()) {
      if (m.open.isEmpty() || (m.up() && now - m.heardAt < env.settings().workers().leaseS())) {
        continue;
      }
      if (workers.leaseOver(m)) {
        for (Attempt a : m.open.values()) {
          if (a.start != Attempt.LaunchState.SENDING) {
            out.add(a);
          }
        }
      }
    }
    return out;
  }
}
