package io.embernotch.reservation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.ReservationCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import io.embernotch.scheduling.FleetView;
import io.embernotch.scheduling.ReservationView;
import io.embernotch.scheduling.Resources;
import io.embernotch.scheduling.Scheduler;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Reservation;
import io.embernotch.shared.EffectiveConfiguration;
import io.embernotch.shared.SharedState;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What is held for reservations, by this leader and for the next one. Nothing that the store says
 * is held is given to others before the store says that it no longer is: what is more in the store
 * than a plan wants counts as held until the commit that gives it up is answered. What a plan wants
 * more counts at once.
 */
public final class ReservationManager {
  private static final Logger LOG = LoggerFactory.getLogger(ReservationManager.class);

  /**
   * Facts that what is held for one reservation is spread over, so that a change rewrites a part of
   * it.
   */
  private static final int SHARDS = 4;

  /**
   * So much less or more than the store says is written at once, as a share of it; the rest by and
   * by.
   */
  private static final double NOTABLE = 0.05;

  /** Report periods after which any difference is written. */
  private static final double PERIODS = 4;

  private static final String TERMS = "reserve";
  private static final String HELD = "held/";

  private record Used(int version, int terms, Resources[] amounts) {}

  private final ControllerContext context;
  private final ClusterState state;
  private final SharedState shared;
  private final Map<Machine, Used> usage = new HashMap<>();
  private final List<Machine> marked = new ArrayList<>();
  private List<Reservation> terms = List.of();
  private final EffectiveConfiguration<List<Reservation>> inForce;

  /** As the store is known to hold it, and as the last plan wants it. */
  private Map<String, Resources[]> kept = Map.of();

  private Map<String, Resources[]> wanted = Map.of();
  private Map<String, Resources[]> perhaps = Map.of();
  private long perhapsOf = -1;
  private long perhapsIn = -1;
  private List<ReservationView.ReservationDemand> lastTerms = List.of();
  private double loadedAt;
  private double writtenAt;
  private double changedAt;
  private long told = -1;

  public ReservationManager(ControllerContext context, ClusterState state, SharedState shared) {
    this.context = context;
    this.state = state;
    this.shared = shared;
    OperatorSettings.Reserve own = context.operator().reserve();
    this.inForce =
        new EffectiveConfiguration<>(
            shared,
            TERMS,
            own.terms(),
            own.generation(),
            ReservationCodec.writeTerms(own.generation(), own.terms()),
            ReservationCodec::readTerms,
            this::use);
  }

  /** The shared facts have been read. */
  public void load() {
    inForce.load();
    use(inForce.value());
    wanted = kept;
    loadedAt = context.clock().now();
    changedAt = loadedAt;
    // What of it is not seen yet is not to be given up before it had time to report.
    writtenAt = loadedAt;
    if (!kept.isEmpty()) {
      LOG.info(
          "reservations of generation {}: capacity reserved on {} machines",
          inForce.generation(),
          kept.size());
    }
  }

  private void use(List<Reservation> now) {
    terms =
        now.isEmpty() && context.operator().reserve().live()
            ? List.of(context.operator().reserve().byDefault())
            : now;
    usage.clear();
    wanted = Map.of();
    kept = stored();
    for (Map.Entry<String, ObjectNode> e : shared.all(HELD).entrySet()) {
      boolean inForce = terms.stream().anyMatch(r -> e.getKey().startsWith(HELD + r.name() + "/"));
      if (!inForce && !e.getValue().path("on").isEmpty()) {
        // Of a reservation that is no more.
        shared.put(e.getKey(), ReservationCodec.writeHeld(Map.of()), () -> {});
      }
    }
  }

  private Map<String, Resources[]> stored() {
    Map<String, Resources[]> out = new TreeMap<>();
    for (int i = 0; i < terms.size(); i++) {
      for (int k = 0; k < SHARDS; k++) {
        add(shared.get(shard(terms.get(i), k)), i, out);
      }
    }
    return out;
  }

  private void add(ObjectNode shard, int term, Map<String, Resources[]> to) {
    if (shard != null) {
      ReservationCodec.readHeld(shard)
          .forEach(
              (machine, a) -> {
                Resources[] there = to.computeIfAbsent(machine, x -> nothing());
                there[term] = there[term].max(new Resources(a[0], a[1], a[2]));
              });
    }
  }

  /** What the store holds or may hold: a commit whose answer is out may have been made. */
  private Map<String, Resources[]> perhapsStored() {
    if (perhapsOf == shared.edition() && perhapsIn == inForce.generation()) {
      return perhaps;
    }
    Map<String, Resources[]> out = stored();
    for (int i = 0; i < terms.size(); i++) {
      for (int k = 0; k < SHARDS; k++) {
        add(shared.underWay(shard(terms.get(i), k)), i, out);
      }
    }
    perhaps = out;
    perhapsOf = shared.edition();
    perhapsIn = inForce.generation();
    return out;
  }

  private Resources[] nothing() {
    Resources[] out = new Resources[terms.size()];
    Arrays.fill(out, Resources.ZERO);
    return out;
  }

  private static String shard(Reservation r, int k) {
    return HELD + r.name() + "/" + k;
  }

  /** For the next plan; {@code headroom} is what each class needs free. */
  public ReservationView holds(List<FleetView.Headroom> headroom) {
    if (terms.isEmpty()) {
      return ReservationView.NONE;
    }
    Map<String, Resources[]> held = new HashMap<>(wanted);
    perhapsStored()
        .forEach(
            (machine, there) -> {
              Resources[] w = wanted.get(machine);
              held.put(machine, w == null ? there : max(there, w));
            });
    usage.keySet().removeIf(machine -> state.machines.get(machine.name) != machine);
    mark(held);
    lastTerms =
        terms.stream()
            .map(
                r ->
                    new ReservationView.ReservationDemand(
                        r, ReservationHeadroom.of(r, headroom, state, context.operator())))
            .toList();
    return new ReservationView(lastTerms, held, this::used);
  }

  /** Restarts keep off what is held free. */
  private void mark(Map<String, Resources[]> held) {
    marked.forEach(machine -> keep(machine, Resources.ZERO));
    marked.clear();
    held.forEach(
        (name, amounts) -> {
          Machine machine = state.machines.get(name);
          if (machine != null) {
            Resources[] u = used(machine);
            Resources free = Resources.ZERO;
            for (int i = 0; i < amounts.length; i++) {
              free = free.plus(u == null ? amounts[i] : amounts[i].minus(u[i]), 1);
            }
            keep(machine, free);
            marked.add(machine);
          }
        });
  }

  private static void keep(Machine machine, Resources free) {
    machine.reservedCpus = free.cpus();
    machine.reservedGpus = free.gpus();
    machine.reservedMemGb = free.memGb();
  }

  private static Resources[] max(Resources[] a, Resources[] b) {
    Resources[] out = new Resources[a.length];
    for (int i = 0; i < out.length; i++) {
      out[i] = a[i].max(b[i]);
    }
    return out;
  }

  /**
   * What the work of each reservation takes of a machine; null if nothing. Summed up anew only when
   * that has changed.
   */
  private Resources[] used(Machine machine) {
    Used u = usage.get(machine);
    if (u == null || u.version != machine.version || u.terms != terms.size()) {
      u = new Used(machine.version, terms.size(), sum(machine));
      usage.put(machine, u);
    }
    return u.amounts;
  }

  private Resources[] sum(Machine machine) {
    Resources[] out = null;
    for (Attempt attempt : machine.openAttempts.values()) {
      for (int i = 0; i < terms.size(); i++) {
        if (terms.get(i).serves(attempt.job.spec)) {
          out = out == null ? nothing() : out;
          out[i] = out[i].plus(Resources.of(attempt.job.spec), 1);
        }
      }
    }
    return out;
  }

  /** A plan has been made with {@link #holds}; {@code held} is what is to be held after it. */
  public void planned(Map<String, Resources[]> held) {
    if (terms.isEmpty() || held == null) {
      return;
    }
    double now = context.clock().now();
    Map<String, Resources[]> next = new TreeMap<>(held);
    wanted.forEach(
        (name, a) -> {
          if (!next.containsKey(name)
              && a.length == terms.size()
              && mayComeBack(state.machines.get(name), now)) {
            next.put(name, a);
          }
        });
    wanted = next;
    write(now);
  }

  /**
   * Nothing is known against the machine, it just can't be planned with; or, right after a
   * takeover, it has not been heard yet. What is held on such machines was once given up by each
   * new leader, and lent when they reported.
   */
  private boolean mayComeBack(Machine machine, double now) {
    if (machine == null) {
      return now - loadedAt < context.settings().workers().leaseS();
    }
    return !machine.deleting
        && !machine.failed
        && !machine.cordoned
        && machine.reclaimAt < 0
        && !Scheduler.usable(machine, now, context.settings());
  }

  private void write(double now) {
    double heartbeat = context.settings().workers().heartbeatIntervalS();
    double difference = 0;
    double size = 0;
    for (Map.Entry<String, Resources[]> e : wanted.entrySet()) {
      Resources[] there = kept.get(e.getKey());
      for (int i = 0; i < terms.size(); i++) {
        size += weight(e.getValue()[i]);
        difference += Math.abs(weight(e.getValue()[i]) - (there == null ? 0 : weight(there[i])));
      }
    }
    for (Map.Entry<String, Resources[]> e : kept.entrySet()) {
      if (!wanted.containsKey(e.getKey())) {
        difference += Arrays.stream(e.getValue()).mapToDouble(ReservationManager::weight).sum();
      }
    }
    boolean due =
        difference > NOTABLE * size
            ? now - writtenAt > heartbeat
            : now - writtenAt > PERIODS * heartbeat;
    if (difference <= 0 || !due) {
      return;
    }
    writtenAt = now;
    for (int i = 0; i < terms.size(); i++) {
      for (int k = 0; k < SHARDS; k++) {
        writePiece(i, k);
      }
    }
  }

  private static double weight(Resources a) {
    return a.cpus() + a.gpus() + a.memGb();
  }

  private void writePiece(int term, int k) {
    Map<String, double[]> held = new TreeMap<>();
    int most = (int) (context.settings().minStoreLimits().valueKb() * 1024 / BYTES_PER_MACHINE);
    wanted.forEach(
        (name, a) -> {
          if (Math.floorMod(name.hashCode(), SHARDS) == k
              && !a[term].isZero()
              && held.size() < most) {
            held.put(name, new double[] {a[term].cpus(), a[term].gpus(), a[term].memGb()});
          }
        });
    String name = shard(terms.get(term), k);
    ObjectNode value = ReservationCodec.writeHeld(held);
    ObjectNode there = shared.get(name);
    boolean same = there == null ? held.isEmpty() : there.path("on").equals(value.path("on"));
    if (!same && !shared.pending(name)) {
      long of = inForce.generation();
      shared.put(
          name,
          value,
          () -> {
            if (of == inForce.generation()) {
              kept = stored();
              changedAt = context.clock().now();
              say();
            }
          });
    }
  }

  /** A name, three amounts in thousandths, and quotes. */
  private static final int BYTES_PER_MACHINE = 56;

  private void say() {
    for (int i = 0; i < terms.size(); i++) {
      Seen s = seen(i);
      long now = Math.round(s.held.gpus() * 1000 + s.held.cpus());
      if (terms.size() > 1 || now != told) {
        told = now;
        LOG.info(
            "reservation {}: {} GPUs and {} CPUs reserved on {} machines, {} and {} of it in use",
            terms.get(i).name(),
            s.held.gpus(),
            s.held.cpus(),
            s.machines,
            s.filled.gpus(),
            s.filled.cpus());
      }
    }
  }

  private record Seen(Resources held, Resources filled, int machines, double idlePerHour) {}

  private Seen seen(int term) {
    Resources held = Resources.ZERO;
    Resources filled = Resources.ZERO;
    int machines = 0;
    double idle = 0;
    for (Map.Entry<String, Resources[]> e : kept.entrySet()) {
      Machine machine = state.machines.get(e.getKey());
      if (machine == null || machine.type == null || e.getValue()[term].isZero()) {
        continue;
      }
      Resources[] u = used(machine);
      Resources used = u == null ? Resources.ZERO : u[term];
      held = held.plus(e.getValue()[term], 1);
      filled = filled.plus(used, 1);
      machines++;
      Resources free = e.getValue()[term].minus(used);
      double share =
          Math.max(
              free.cpus() / Math.max(1, machine.type.cpus()),
              machine.type.gpus() > 0 ? free.gpus() / machine.type.gpus() : 0);
      idle += machine.type.price() * Math.min(1, share);
    }
    return new Seen(held, filled, machines, idle);
  }

  /** For operators: what each reservation holds, wants and costs. */
  public void overview(ObjectNode into) {
    into.put("generation", inForce.generation()).put("changes", shared.changes());
    ArrayNode list = into.putArray("reservations");
    double now = context.clock().now();
    for (int i = 0; i < terms.size(); i++) {
      Seen s = seen(i);
      ObjectNode o = list.addObject().put("name", terms.get(i).name()).put("machines", s.machines);
      amount(o.putObject("held"), s.held);
      amount(o.putObject("filled"), s.filled);
      Resources free = Resources.ZERO;
      if (i < lastTerms.size()) {
        for (FleetView.Headroom h : lastTerms.get(i).headroom()) {
          free = free.plus(Resources.of(h.like()), h.count());
        }
      }
      amount(o.putObject("wanted"), s.filled.plus(free, 1));
      o.put("since_s", Math.round(now - changedAt))
          .put("idle_cost_per_hour", Math.round(s.idlePerHour * 100) / 100.0);
    }
  }

  private static void amount(ObjectNode o, Resources a) {
    o.put("cpus", a.cpus()).put("gpus", a.gpus()).put("mem_gb", a.memGb());
  }
}
