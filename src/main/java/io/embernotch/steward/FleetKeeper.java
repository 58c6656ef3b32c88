package io.embernotch.steward;

import io.embernotch.cloud.CloudClient.Rented;
import io.embernotch.codec.CloudCodec.Listed;
import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.plan.Fleet;
import io.embernotch.plan.Plan;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents, lists and returns machines, and gives up on those that never come up or fall silent. */
final class FleetKeeper {
  private static final Logger LOG = LoggerFactory.getLogger(FleetKeeper.class);

  /** Boot times after which a machine that has not come up is given back. */
  private static final double HOPELESS_BOOTS = 2.5;

  /** Boot times for which a machine is counted on; then another is rented in its place. */
  private static final double COUNTED_BOOTS = 1.6;

  /** Reports come a quarter late at most: after so many periods a machine is asked itself. */
  private static final double PROBE_REPORTS = 1.5;

  /** Report periods of silence after which a machine that did not answer a probe is given up. */
  private static final double SILENT_REPORTS = 2.2;

  /**
   * So large a share of the machines must be silent for us to be the ones who are cut off. A zone can
   * hold more than half of them: at half, stewards that heard the rest well gave leadership to each
   * other, and none of them started anything.
   */
  private static final double DEAF_SHARE = 0.8;

  /** Share of a worker's lease for which a silent machine with live services is waited for. */
  private static final double PATIENCE = 0.9;

  /** What is told of the fleet. */
  interface Outcome {
    /** The machine and all that was on it are gone. */
    void machineGone(Machine m);

    void changed();

    /** Controllers that have been heard from lately, this one included. */
    Set<String> controllers();

    /** So many machines are silent at once that it is rather we who are cut off. */
    void deaf();
  }

  private record Booking(String name, String type, String zone, boolean spot, int number) {}

  private final Env env;
  private final Ledger ledger;
  private final Workers workers;
  private final Outcome outcome;
  private final String bookingPrefix;
  private final double startedAt;
  private final Map<String, Booking> open = new LinkedHashMap<>();
  private final Map<String, Double> fullUntil = new HashMap<>();
  private int bookings;
  private double listedAt = -1e9;
  private boolean answering;
  private boolean listing;
  private boolean listedOnce;
  private final Set<Machine> leaving = new LinkedHashSet<>();
  private boolean urgentDelete;
  private boolean idleDelete;
  private double typesAt = -1e9;
  private Set<String> cutZones = Set.of();
  /** When zones were last back from a cut. */
  private final Map<String, Double> backAt = new HashMap<>();

  FleetKeeper(Env env, Ledger ledger, Workers workers, long epoch, Outcome outcome) {
    this.env = env;
    this.ledger = ledger;
    this.workers = workers;
    this.outcome = outcome;
    // The epoch is new with each stewardship, so no booking name is ever used twice.
    this.bookingPrefix = "r-" + epoch + "-";
    this.startedAt = env.clock().now();
  }

  boolean listedOnce() {
    return listedOnce;
  }

  /**
   * True while the cloud answers. What is idle when it does not is kept: it could not be returned
   * now, nor replaced, and a deletion that was tried may be carried out at any later time.
   */
  boolean answers() {
    return answering;
  }

  private double listEveryS() {
    return Math.max(env.settings().cloudLimits().listLagS(), env.settings().workers().reportS());
  }

  List<Fleet.Expected> expected() {
    List<Fleet.Expected> out = new ArrayList<>();
    for (Booking b : open.values()) {
      out.add(new Fleet.Expected(b.type, b.zone, b.spot, b.number));
    }
    return out;
  }

  boolean exhausted(String type, String zone, boolean spot) {
    return cutZones.contains(zone) || fullUntil.getOrDefault(pool(type, zone, spot), -1.0) > env.clock().now();
  }

  private static String pool(String type, String zone, boolean spot) {
    return type + "|" + zone + "|" + spot;
  }

  /**
   * Rents in as few calls as may be: while one is under way for a pool, what more is wanted there
   * waits and comes with the next plan, unless it fills a call. A call for each plan's few machines
   * used to take up all that the cloud allows.
   */
  void rent(Plan.Buy buy) {
    int left = buy.number();
    boolean underWay = open.values().stream().anyMatch(b -> samePool(b, buy));
    while (left > 0 && open.size() < env.settings().cloudLimits().rps()) {
      if (underWay && left < Settings.Cloud.MAX_RENT) {
        return;
      }
      int n = Math.min(left, Settings.Cloud.MAX_RENT);
      Booking b = new Booking(bookingPrefix + ++bookings, buy.type(), buy.zone(), buy.spot(), n);
      open.put(b.name, b);
      LOG.info("renting {} {} in {}{}", n, b.type, b.zone, b.spot ? " (spot)" : "");
      book(b);
      left -= n;
    }
  }

  private static boolean samePool(Booking b, Plan.Buy buy) {
    return b.type.equals(buy.type()) && b.zone.equals(buy.zone()) && b.spot == buy.spot();
  }

  private void book(Booking b) {
    env.cloud()
        .rent(b.name, b.type, b.zone, b.spot, b.number)
        .onSuccess(r -> booked(b, r))
        .onFailure(
            e -> {
              // Perhaps it was executed: the same name gives the same answer and rents nothing.
              LOG.debug("booking {}: {}", b.name, e.getMessage());
              env.timers().after(env.settings().workers().reportS() / 3, () -> book(b));
            });
  }

  private void booked(Booking b, Rented r) {
    open.remove(b.name);
    double now = env.clock().now();
    MachineType type = ledger.types.get(b.type);
    for (String name : r.machines()) {
      Machine m = ledger.machine(name, baseToken());
      if (!m.up()) {
        m.type = type;
        m.zone = b.zone;
        m.spot = b.spot;
        m.bornAt = now;
        m.countUntil = now + COUNTED_BOOTS * type.bootS();
      }
    }
    if (r.refused() || r.machines().size() < b.number) {
      LOG.info("no more {} in {}{}: got {} of {}", b.type, b.zone, b.spot ? " (spot)" : "", r.machines().size(), b.number);
      fullUntil.put(pool(b.type, b.zone, b.spot), now + 5 * env.settings().workers().reportS());
    }
    outcome.changed();
  }

  private long baseToken() {
    return workers.base();
  }

  void tick() {
    double now = env.clock().now();
    if (!listing && now - listedAt > listEveryS()) {
      list();
    }
    if (now - typesAt > 20 * env.settings().workers().reportS()) {
      typesAt = now;
      env.cloud().types().onSuccess(list -> list.forEach(t -> ledger.types.put(t.name(), t)));
    }
    watchBoots(now);
    watchSilence(now);
    sendDeletes(now);
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
        m = ledger.machine(l.name(), baseToken());
        news = true;
      }
      if (!m.up()) {
        m.type = ledger.types.getOrDefault(l.type(), m.type);
        m.zone = l.zone();
        m.spot = l.spot();
        m.address = l.address() == null ? m.address : l.address();
        m.bornAt = Math.min(m.bornAt == 0 ? now : m.bornAt, now - l.ageS());
        // One that ran under an earlier steward is given time to find us.
        double findUs = l.phase().equals("running") ? startedAt + env.settings().workers().leaseS() / 2 : 0;
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
        giveBack(m);
        news = true;
      }
    }
    if (news) {
      outcome.changed();
    }
  }

  /**
   * Machines that ran under an earlier steward are asked at once: until their workers find us by
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
      // Machines that were up under an earlier steward need time to find us.
      double since = Math.max(m.bornAt, startedAt - m.type.bootS());
      if (now - since > HOPELESS_BOOTS * m.type.bootS() + env.settings().workers().reportS()
          && now - startedAt > env.settings().workers().leaseS() / 2) {
        LOG.info("machine {} has not come up", m.name);
        giveBack(m);
      }
    }
  }

  /**
   * When the machine last gave a sign of life. One that ran under an earlier steward is given a
   * report's time-out longer to find us; before, such a machine was taken for a booting one, and
   * its services stayed down until its lease and the old steward's hold were over. One that has only
   * just come up is given the same time: it was once returned in the second before its first report.
   * So is one whose zone is back from a cut: 238 were once returned as the first controller was back.
   */
  private double lastSign(Machine m) {
    double report = env.settings().workers().reportS();
    double back = backAt.getOrDefault(m.zone, -1e9) + report;
    return Math.max(back, m.up() ? m.heardAt : Math.max(startedAt, m.listedUpAt) + report);
  }

  /**
   * Silent machines are probed, then deleted: the answer to the deletion proves their tasks gone.
   * Two reports that did not come and a probe without an answer are enough; one alone may be ours.
   */
  private void watchSilence(double now) {
    double report = env.settings().workers().reportS();
    double quiet = PROBE_REPORTS * report;
    List<Machine> silent = new ArrayList<>();
    int up = 0;
    for (Machine m : ledger.machines.values()) {
      if (!mayBeUp(m)) {
        continue;
      }
      up++;
      if (now - lastSign(m) > quiet) {
        silent.add(m);
      }
    }
    if (silent.size() >= 3 && silent.size() > DEAF_SHARE * up) {
      if (now - startedAt > 4 * report) {
        outcome.deaf();
      }
      return;
    }
    cutZones = cutZones(silent);
    for (Machine m : silent) {
      workers.probe(m);
      double limit = m.probeFailedAt > lastSign(m) ? SILENT_REPORTS : SILENT_REPORTS + 1;
      if (now - lastSign(m) > limit * report && !worthWaitingFor(m, now)) {
        LOG.info(
            "machine {} has been silent for {} s with {} tasks, {}", m.name, Math.round(now - lastSign(m)), m.open.size(),
            m.probeConnected ? "takes connections" : "takes no connection");
        giveBack(m);
      }
    }
  }

  private static boolean mayBeUp(Machine m) {
    return !m.deleting && (m.up() || m.listedUpAt >= 0 || !m.open.isEmpty());
  }

  /**
   * Zones that are cut off: a controller there is silent, and more than half of the machines. It renews
   * their workers for as long as it may, so what runs there is let run, and nothing new is rented.
   */
  private Set<String> cutZones(List<Machine> silent) {
    Set<String> live = outcome.controllers();
    Set<String> out = new HashSet<>();
    for (Settings.Member c : env.settings().members()) {
      if (live.contains(c.node()) || out.contains(c.location())) {
        continue;
      }
      long gone = silent.stream().filter(m -> c.location().equals(m.zone)).count();
      long there = ledger.machines.values().stream().filter(m -> c.location().equals(m.zone) && mayBeUp(m)).count();
      if (gone * 2 > there) {
        out.add(c.location());
      }
    }
    if (!out.equals(cutZones)) {
      LOG.info("zones that are cut off: {}", out);
      cutZones.stream().filter(z -> !out.contains(z)).forEach(z -> backAt.put(z, env.clock().now()));
    }
    return out;
  }

  /**
   * A live service on a machine that only lost the network runs on until its lease is over, and
   * would have to start anew elsewhere if the machine were returned before. One that takes a connection
   * and does not answer is not cut off: it hangs, and so does the service.
   */
  private boolean worthWaitingFor(Machine m, double now) {
    if (m.probeConnected && m.probeFailedAt > lastSign(m)) {
      return false;
    }
    if (cutZones.contains(m.zone)) {
      return now - lastSign(m) < env.settings().holdS() + PATIENCE * env.settings().workers().leaseS();
    }
    return m.load().pinned && m.up() && now - m.renewedAt < PATIENCE * env.settings().workers().leaseS();
  }

  /** Returns a machine. Nothing more is placed on it, and what is on it ends with it. */
  void giveBack(Machine m) {
    if (!m.deleting) {
      m.deleting = true;
      m.deleteRetryAt = 0;
      leaving.add(m);
      if (!m.open.isEmpty()) {
        sendDeletes(env.clock().now());
      }
    }
  }

  private void sendDeletes(double now) {
    boolean urgent = leaving.stream().anyMatch(m -> !m.open.isEmpty() && m.deleteRetryAt <= now);
    // Proofs that tasks wait for are never behind a call that only saves money.
    if (urgent ? urgentDelete : urgentDelete || idleDelete) {
      return;
    }
    List<Machine> batch = new ArrayList<>();
    List<String> names = new ArrayList<>();
    leaving.removeIf(m -> ledger.machines.get(m.name) != m);
    for (Machine m : leaving) {
      if (m.deleteRetryAt <= now && batch.size() < Settings.Cloud.MAX_DELETE && !m.doInFlight) {
        batch.add(m);
        names.add(m.name);
        m.deleteRetryAt = Double.MAX_VALUE;
      }
    }
    if (batch.isEmpty()) {
      return;
    }
    deleteBusy(urgent, true);
    env.cloud()
        .delete(names, urgent)
        .onComplete(
            r -> {
              deleteBusy(urgent, false);
              if (r.succeeded()) {
                LOG.info("returned {}", names);
                leaving.removeAll(new HashSet<>(batch));
                batch.forEach(outcome::machineGone);
              } else {
                LOG.debug("could not return {}: {}", names, r.cause().getMessage());
                batch.forEach(m -> m.deleteRetryAt = env.clock().now() + env.settings().workers().reportS() / 3);
              }
            });
  }

  private void deleteBusy(boolean urgent, boolean busy) {
    if (urgent) {
      urgentDelete = busy;
    } else {
      idleDelete = busy;
    }
  }

  /** Tasks on machines whose worker's lease must have run out are gone, deleted or not. */
  List<Attempt> expired() {
    List<Attempt> out = new ArrayList<>();
    double now = env.clock().now();
    for (Machine m : ledger.machines.values()) {
      if (m.open.isEmpty() || (m.up() && now - m.heardAt < env.settings().workers().leaseS())) {
        continue;
      }
      if (workers.leaseOver(m)) {
        for (Attempt a : m.open.values()) {
          if (a.start != Attempt.Start.SENDING) {
            out.add(a);
          }
        }
      }
    }
    return out;
  }
}
