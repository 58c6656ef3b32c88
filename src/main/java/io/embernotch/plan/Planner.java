package io.embernotch.plan;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.model.Priority;
import io.embernotch.model.Shape;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides where tasks go, what makes room for them, and which machines are rented and returned. A
 * pure function of what it is given: it changes nothing but its own slots.
 *
 * <p>Jobs are taken in order. Each task takes room on a machine that is up; else it claims room that
 * is coming free, or a machine that is booting; else, if it may, it has others stopped; else a
 * machine is rented for it. What is claimed is not given to anybody behind.
 */
public final class Planner {
  /** A task is not weighed against more new machines than one request could rent. */
  private static final int MAX_NEW = 50;

  /** How full a machine is counts for this many seconds of fetching. */
  private static final double PACK_S = 8;

  private final Settings settings;
  private final OperatorSettings operator;

  private double now;
  private Map<String, MachineType> types;
  private Fleet.Pools pools;
  private Usage usage;
  private List<Slot> slots;
  private int bought;
  /** The job being placed, or null while room is kept free for jobs to come. */
  private Job placing;
  private Plan plan;

  public Planner(Settings settings, OperatorSettings operator) {
    this.settings = settings;
    this.operator = operator;
  }

  public Plan plan(
      double atTime,
      Collection<Job> jobs,
      Collection<Machine> machines,
      Map<String, MachineType> knownTypes,
      Fleet.Pools knownPools,
      Collection<Fleet.Expected> expected,
      Collection<Fleet.Headroom> headroom) {
    now = atTime;
    types = knownTypes;
    pools = knownPools;
    plan = new Plan();
    bought = 0;
    usage = new Usage(settings.teams(), jobs);
    usage.markGuaranteed(jobs);
    slots = slots(machines, expected);
    List<Job> order = inOrder(jobs);
    int live = 0;
    while (live < order.size() && order.get(live).spec.priority() == Priority.PRODUCTION) {
      place(order.get(live++));
    }
    // Room for the next live service goes before all other work, or that would fill it.
    placing = null;
    headroom.stream().filter(h -> h.like().priority() == Priority.PRODUCTION).forEach(this::keepFree);
    order.subList(live, order.size()).forEach(this::place);
    placing = null;
    headroom.stream().filter(h -> h.like().priority() != Priority.PRODUCTION).forEach(this::keepFree);
    collectBuys();
    collectReturns();
    return plan;
  }

  private void place(Job job) {
    placing = job;
    if (job.spec.shape() == Shape.GANG) {
      placeGang(job);
    } else {
      placeTasks(job);
    }
  }

  /** Live services first, then what is guaranteed, then by priority, then by age. */
  private static final Comparator<Job> ORDER =
      Comparator.comparing((Job j) -> j.spec.priority() != Priority.PRODUCTION)
          .thenComparing(j -> !j.guaranteed)
          .thenComparing(j -> j.spec.priority(), Comparator.reverseOrder())
          .thenComparingLong(j -> j.submittedMs)
          .thenComparing(j -> j.spec.ref());

  private static List<Job> inOrder(Collection<Job> jobs) {
    List<Job> order = new ArrayList<>();
    for (Job j : jobs) {
      if (j.end == null && j.pendingCount() > 0) {
        order.add(j);
      }
    }
    order.sort(ORDER);
    return order;
  }

  private List<Slot> slots(Collection<Machine> machines, Collection<Fleet.Expected> expected) {
    List<Slot> out = new ArrayList<>();
    for (Machine m : machines) {
      if (m.type == null || m.zone == null || m.deleting || m.failed || m.cordoned || m.recallAt >= 0) {
        continue;
      }
      if (!m.up()) {
        if (now < m.countUntil) {
          out.add(Slot.of(Slot.Kind.COMING, m));
        }
      } else if (usable(m)) {
        out.add(Slot.of(Slot.Kind.READY, m));
      }
    }
    for (Fleet.Expected e : expected) {
      MachineType t = types.get(e.type());
      for (int i = 0; t != null && i < e.number(); i++) {
        out.add(new Slot(Slot.Kind.COMING, null, t, e.zone(), e.spot()));
      }
    }
    return out;
  }

  private boolean usable(Machine m) {
    return m.avoidUntil <= now && now - m.heardAt < 2 * settings.workers().reportS();
  }

  private void placeTasks(Job job) {
    JobSpec spec = job.spec;
    if (job.backoffUntil > now) {
      return;
    }
    int most = Math.min(job.pendingCount(), usage.room(spec));
    Map<String, Integer> perZone = zonesOf(job);
    String fixed = spec.oneZone() && !perZone.isEmpty() ? perZone.keySet().iterator().next() : null;
    if (spec.oneZone() && fixed == null) {
      fixed = bestZone(spec, most);
    }
    List<Plan.Placement> placements = new ArrayList<>();
    for (int task : job.pending(most)) {
      String wish = job.wishes.get(task);
      Slot s = choose(spec, Slot.Kind.READY, fixed, perZone, wish, false);
      if (s != null) {
        s.take(spec);
        s.fetching.add(spec.image());
        s.claimed = true;
        placements.add(new Plan.Placement(task, s.machine));
      } else {
        s = claimLater(spec, fixed, perZone);
        if (s == null) {
          break;
        }
      }
      perZone.merge(s.zone, 1, Integer::sum);
      usage.take(spec, 1);
      if (spec.oneZone()) {
        fixed = s.zone;
      }
    }
    if (!placements.isEmpty()) {
      plan.starts.add(new Plan.Start(job, placements));
    }
  }

  /** Claims room that will be there: freed, booting, made by stopping others, or rented. */
  private Slot claimLater(JobSpec spec, String zone, Map<String, Integer> perZone) {
    Slot s = choose(spec, Slot.Kind.READY, zone, perZone, null, true);
    if (s == null && placing != null && spec.priority() == Priority.PRODUCTION) {
      s = preempt(spec, zone, perZone);
    }
    if (s == null) {
      s = choose(spec, Slot.Kind.COMING, zone, perZone, null, false);
    }
    if (s == null) {
      s = choose(spec, Slot.Kind.NEW, zone, perZone, null, false);
    }
    if (s == null) {
      s = buy(spec, zone, perZone);
    }
    if (s != null) {
      s.take(spec);
      s.claimed = true;
    }
    return s;
  }

  private Slot choose(
      JobSpec spec, Slot.Kind kind, String zone, Map<String, Integer> perZone, String wish, boolean later) {
    Slot best = null;
    double bestScore = 0;
    for (Slot s : slots) {
      if (s.kind != kind || !s.allows(spec) || !(later ? s.fitsLater(spec) : s.fits(spec))) {
        continue;
      }
      if (!zoneOk(spec, s.zone, zone, perZone) || tooDear(spec, s)) {
        continue;
      }
      if (wish != null && s.machine != null && s.machine.name.equals(wish)) {
        return s;
      }
      double score = score(spec, s, perZone);
      if (best == null || score < bestScore) {
        best = s;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * Work that may run on spot machines keeps off ordinary ones while spot machines are to be had,
   * unless a service holds the machine anyway: it would only keep it from being returned.
   */
  private boolean tooDear(JobSpec spec, Slot s) {
    return spec.spot() && spec.shape() == Shape.ARRAY && !s.spot && !s.pinned && spotToBeHad(spec);
  }

  private boolean spotToBeHad(JobSpec spec) {
    for (MachineType t : types.values()) {
      if (t.fits(spec) && t.spotPrice() < t.price()) {
        for (String zone : t.zones()) {
          if (spec.allows(t.name(), zone, true) && !pools.exhausted(t.name(), zone, true)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  private static boolean zoneOk(JobSpec spec, String zone, String fixed, Map<String, Integer> perZone) {
    if (fixed != null && !fixed.equals(zone)) {
      return false;
    }
    return !spec.spread() || perZone.getOrDefault(zone, 0) < spec.zoneCap();
  }

  /** Seconds of delay, with what else speaks against a machine put in seconds as well. */
  private double score(JobSpec spec, Slot s, Map<String, Integer> perZone) {
    double score = s.fetchS(spec) - PACK_S * s.used();
    if (spec.spot() && !s.spot) {
      // Room beside a service is paid for already; any other ordinary machine is dearer than spot.
      score += s.pinned ? -PACK_S : PACK_S / 2;
    }
    if (spec.spread()) {
      score += PACK_S * perZone.getOrDefault(s.zone, 0) / Math.max(1, spec.tasks());
    }
    if (s.machine != null && s.machine.errorStreak > 0) {
      score += 10 * PACK_S;
    }
    double performance = s.machine == null ? 0 : s.machine.performance();
    if (performance > 0 && performance < 1) {
      score += (1 / Math.max(0.1, performance) - 1) * spec.expectS() / 2;
    }
    return score;
  }

  private static Map<String, Integer> zonesOf(Job job) {
    Map<String, Integer> out = new HashMap<>();
    for (Attempt a : job.open.values()) {
      out.merge(a.zone, 1, Integer::sum);
    }
    return out;
  }

  /** The zone where most tasks could start at once, then where most could start later. */
  private String bestZone(JobSpec spec, int wanted) {
    String best = null;
    double bestScore = -1;
    for (String zone : settings.zones()) {
      if (spec.zone() != null && !spec.zone().equals(zone)) {
        continue;
      }
      double ready = 0;
      double coming = 0;
      for (Slot s : slots) {
        if (!s.zone.equals(zone) || !s.allows(spec)) {
          continue;
        }
        if (s.kind != Slot.Kind.READY) {
          coming += count(spec, s);
        } else if (s.fits(spec)) {
          ready += count(spec, s);
        } else if (s.fitsLater(spec)) {
          // Room that is being made must decide the zone, or the next plan makes room in another.
          ready += 0.9;
        }
      }
      double score = Math.min(ready, wanted) + Math.min(0.5, coming / 4) + (canBuy(spec, zone) ? 0.1 : 0);
      if (score > bestScore) {
        bestScore = score;
        best = zone;
      }
    }
    return best;
  }

  private static int count(JobSpec spec, Slot s) {
    double n = Integer.MAX_VALUE;
    if (spec.cpus() > 0) {
      n = Math.min(n, s.cpus / spec.cpus());
    }
    if (spec.gpus() > 0) {
      n = Math.min(n, s.gpus / spec.gpus());
    }
    if (spec.memGb() > 0) {
      n = Math.min(n, s.mem / spec.memGb());
    }
    return (int) Math.min(10_000, Math.floor(n + 1e-6));
  }

  /** All tasks start or none: what can't start now holds its claims until the rest is there. */
  private void placeGang(Job job) {
    JobSpec spec = job.spec;
    if (!job.open.isEmpty() || job.backoffUntil > now || usage.room(spec) < spec.tasks()) {
      return;
    }
    List<Slot> found = null;
    if (spec.oneZone()) {
      List<String> zones = new ArrayList<>(settings.zones());
      String first = bestZone(spec, spec.tasks());
      zones.remove(first);
      zones.add(0, first);
      for (String zone : zones) {
        if (zone != null && (spec.zone() == null || spec.zone().equals(zone))) {
          found = gangReady(spec, zone);
          if (found != null) {
            break;
          }
        }
      }
      if (found == null && first != null) {
        claimGang(spec, first);
      }
    } else {
      found = gangReady(spec, null);
      if (found == null) {
        claimGang(spec, null);
      }
    }
    usage.take(spec, spec.tasks());
    if (found != null) {
      List<Plan.Placement> placements = new ArrayList<>();
      for (int t = 0; t < found.size(); t++) {
        placements.add(new Plan.Placement(t, found.get(t).machine));
      }
      plan.starts.add(new Plan.Start(job, placements));
    }
  }

  private List<Slot> gangReady(JobSpec spec, String zone) {
    List<Slot> found = new ArrayList<>();
    Map<String, Integer> perZone = new HashMap<>();
    for (int t = 0; t < spec.tasks(); t++) {
      Slot s = choose(spec, Slot.Kind.READY, zone, perZone, null, false);
      if (s == null) {
        found.forEach(f -> f.give(spec));
        return null;
      }
      s.take(spec);
      perZone.merge(s.zone, 1, Integer::sum);
      found.add(s);
    }
    found.forEach(s -> s.claimed = true);
    return found;
  }

  private void claimGang(JobSpec spec, String zone) {
    Map<String, Integer> perZone = new HashMap<>();
    for (int t = 0; t < spec.tasks(); t++) {
      Slot s = choose(spec, Slot.Kind.READY, zone, perZone, null, false);
      if (s != null) {
        s.take(spec);
        s.claimed = true;
      } else {
        s = claimLater(spec, zone, perZone);
      }
      if (s == null) {
        return;
      }
      perZone.merge(s.zone, 1, Integer::sum);
    }
  }

  /**
   * For live services only. Gangs of high priority once had arrays stopped as well, but guaranteed
   * arrays come before them in the order and took the room back, twenty times a second.
   *
   * <p>Stops work of lower priority on the machine where that destroys least.
   */
  private Slot preempt(JobSpec spec, String zone, Map<String, Integer> perZone) {
    Slot best = null;
    List<Attempt> bestVictims = null;
    double bestCost = Double.MAX_VALUE;
    for (Slot s : slots) {
      if (s.kind != Slot.Kind.READY || !s.allows(spec) || !zoneOk(spec, s.zone, zone, perZone)) {
        continue;
      }
      List<Attempt> victims = victims(spec, s);
      if (victims == null) {
        continue;
      }
      double cost = s.fetchS(spec);
      for (Attempt a : victims) {
        cost += lost(a) / victims.size();
      }
      if (cost < bestCost) {
        best = s;
        bestVictims = victims;
        bestCost = cost;
      }
    }
    if (best == null) {
      return null;
    }
    for (Attempt a : bestVictims) {
      best.willFree(a.job.spec);
      // A live service does not wait for others to save; they fall back to their last checkpoint.
      plan.stops.add(new Plan.Stop(a, 0, "room for " + spec.ref()));
    }
    return best;
  }

  /** Seconds of progress that stopping this attempt loses or delays. */
  private double lost(Attempt a) {
    double ran = a.runningAt < 0 ? 0 : now - a.runningAt;
    return a.job.spec.checkpointS() > 0 ? Math.min(ran, a.job.spec.checkpointS() / 2) : ran;
  }

  private List<Attempt> victims(JobSpec spec, Slot s) {
    List<Attempt> lower = new ArrayList<>();
    for (Attempt a : s.machine.open.values()) {
      boolean planned = plan.stops.stream().anyMatch(p -> p.attempt() == a);
      if (!a.stopping && !planned && a.job.spec.priority().compareTo(spec.priority()) < 0) {
        lower.add(a);
      }
    }
    lower.sort(
        Comparator.comparing((Attempt a) -> a.job.spec.priority())
            .thenComparing(a -> a.job.spec.shape() == Shape.GANG)
            .thenComparingDouble(this::lost));
    double cpus = s.cpus + s.freeingCpus;
    double gpus = s.gpus + s.freeingGpus;
    double mem = s.mem + s.freeingMem;
    List<Attempt> out = new ArrayList<>();
    for (Attempt a : lower) {
      if (cpus >= spec.cpus() && gpus >= spec.gpus() && mem >= spec.memGb()) {
        break;
      }
      out.add(a);
      cpus += a.job.spec.cpus();
      gpus += a.job.spec.gpus();
      mem += a.job.spec.memGb();
    }
    return cpus >= spec.cpus() && gpus >= spec.gpus() && mem >= spec.memGb() ? out : null;
  }

  private boolean canBuy(JobSpec spec, String zone) {
    for (MachineType t : types.values()) {
      if (t.fits(spec) && t.zones().contains(zone)) {
        for (boolean spot : new boolean[] {true, false}) {
          if (spec.allows(t.name(), zone, spot) && !pools.exhausted(t.name(), zone, spot)) {
            return true;
          }
        }
      }
    }
    return false;
  }

  /** Rents the machine with the lowest price for a task of this size; zones are filled evenly. */
  private Slot buy(JobSpec spec, String fixed, Map<String, Integer> perZone) {
    if (bought >= MAX_NEW) {
      return null;
    }
    Slot best = null;
    double bestScore = Double.MAX_VALUE;
    for (MachineType t : types.values()) {
      if (!t.fits(spec)) {
        continue;
      }
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          if (!spec.allows(t.name(), zone, spot)
              || spot && spec.shape() != Shape.ARRAY
              || !zoneOk(spec, zone, fixed, perZone)
              || pools.exhausted(t.name(), zone, spot)) {
            continue;
          }
          Slot s = new Slot(Slot.Kind.NEW, null, t, zone, spot);
          double price = (spot ? t.spotPrice() : t.price()) / Math.max(1, count(spec, s));
          double score = price * (1 + 0.001 * inZone(zone));
          if (score < bestScore) {
            best = s;
            bestScore = score;
          }
        }
      }
    }
    if (best != null) {
      bought++;
      slots.add(best);
    }
    return best;
  }

  private int inZone(String zone) {
    int n = 0;
    for (Slot s : slots) {
      if (s.zone.equals(zone)) {
        n++;
      }
    }
    return n;
  }

  /** Holds room for what may come, renting if there is too little. */
  private void keepFree(Fleet.Headroom h) {
    for (int i = 0; i < h.count(); i++) {
      if (h.like().shape() == Shape.GANG) {
        claimGang(h.like(), h.like().oneZone() ? bestZone(h.like(), h.like().tasks()) : null);
        continue;
      }
      Map<String, Integer> perZone = new HashMap<>();
      Slot s = choose(h.like(), Slot.Kind.READY, null, perZone, null, false);
      for (Slot.Kind kind : new Slot.Kind[] {Slot.Kind.COMING, Slot.Kind.NEW}) {
        s = s != null ? s : choose(h.like(), kind, null, perZone, null, false);
      }
      s = s != null ? s : buy(h.like(), null, perZone);
      if (s == null) {
        return;
      }
      s.take(h.like());
      s.claimed = true;
    }
  }

  private void collectBuys() {
    Map<Plan.Buy, Integer> counts = new LinkedHashMap<>();
    for (Slot s : slots) {
      if (s.kind == Slot.Kind.NEW) {
        counts.merge(new Plan.Buy(s.type.name(), s.zone, s.spot, 0), 1, Integer::sum);
      }
    }
    counts.forEach((b, n) -> plan.buys.add(new Plan.Buy(b.type(), b.zone(), b.spot(), n)));
  }

  private void collectReturns() {
    for (Slot s : slots) {
      if (s.kind == Slot.Kind.READY
          && !s.claimed
          && s.machine.open.isEmpty()
          && now - s.machine.idleSince > operator.keepIdleBoots() * s.type.bootS()) {
        plan.returns.add(s.machine);
      }
    }
  }
}
