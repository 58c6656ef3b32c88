package io.embernotch.reservation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.ReservationCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Machine;
import io.embernotch.scheduling.FleetView;
import io.embernotch.scheduling.ReservationAmounts;
import io.embernotch.scheduling.ReservationView;
import io.embernotch.scheduling.Resources;
import io.embernotch.scheduling.Scheduler;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Reservation;
import io.embernotch.shared.EffectiveConfiguration;
import io.embernotch.shared.SharedState;
import io.embernotch.state.ClusterState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps capacity reserved, for this leader and for the next one. Capacity that the store holds as
 * reserved is given to others only once the store is known to hold its release: what is stored
 * beyond what a plan wants stays reserved until the commit that releases it is answered. What a
 * plan wants beyond what is stored is reserved at once.
 *
 * <p>Not thread-safe: it belongs to the event loop of one leader.
 */
public final class ReservationManager {
  private static final Logger LOG = LoggerFactory.getLogger(ReservationManager.class);

  /** Name of the shared state entry with the reservations that are in force. */
  private static final String RESERVATIONS = "reserve";

  /**
   * Share by which what is wanted differs from what is stored, from which on it is written within a
   * heartbeat interval.
   */
  private static final double SIGNIFICANT_CHANGE = 0.05;

  /** Heartbeat intervals after which any difference is written. */
  private static final double MAX_WRITE_DELAY_INTERVALS = 4;

  private final ControllerContext context;
  private final ClusterState state;
  private final SharedState shared;
  private final EffectiveConfiguration<List<Reservation>> configuration;
  private final ReservationShards shards;
  private final ReservationUsage usage;

  /** Machines whose reserved amounts are set. */
  private final List<Machine> markedMachines = new ArrayList<>();

  private List<Reservation> reservations = List.of();

  /** What is reserved as the store is known to hold it, by machine name. */
  private Map<String, ReservationAmounts> stored = Map.of();

  /** What is to be reserved by the last plan, by machine name. */
  private Map<String, ReservationAmounts> wanted = Map.of();

  /** The demands of the last plan. */
  private List<ReservationView.ReservationDemand> demands = List.of();

  /** Seconds of the monotonic clock. */
  private double loadedAt;

  private double writtenAt;
  private double changedAt;

  /** What was last logged of a single reservation, as one number; below 0: nothing. */
  private long lastLogged = -1;

  /**
   * Creates the manager of one leader; {@link #load} comes before any other call.
   *
   * @param context clock, settings and the operators' settings
   * @param state the cluster, whose machines' reserved amounts are set
   * @param shared where reservations are stored
   */
  public ReservationManager(ControllerContext context, ClusterState state, SharedState shared) {
    this.context = context;
    this.state = state;
    this.shared = shared;
    this.shards = new ReservationShards(shared);
    this.usage = new ReservationUsage(state);
    OperatorSettings.Reserve own = context.operatorSettings().reserve();
    this.configuration =
        new EffectiveConfiguration<>(
            shared,
            RESERVATIONS,
            own.terms(),
            own.generation(),
            ReservationCodec.writeTerms(own.generation(), own.terms()),
            ReservationCodec::readTerms,
            this::use);
  }

  /** Takes over what is reserved, once the shared state has been read. */
  public void load() {
    configuration.load();
    use(configuration.value());
    wanted = stored;
    loadedAt = context.clock().now();
    changedAt = loadedAt;
    // Reservations on machines that have not reported yet are not released before they had time to.
    writtenAt = loadedAt;
    if (!stored.isEmpty()) {
      LOG.info(
          "reservations of generation {}: capacity reserved on {} machines",
          configuration.generation(),
          stored.size());
    }
  }

  private void use(List<Reservation> configured) {
    reservations =
        configured.isEmpty() && context.operatorSettings().reserve().live()
            ? List.of(context.operatorSettings().reserve().defaultReservation())
            : configured;
    usage.use(reservations);
    wanted = Map.of();
    stored = shards.stored(reservations);
    shards.clearOthers(reservations);
  }

  /**
   * The reservations for the next plan; sets what is reserved and free on each machine.
   *
   * @param headroom what each job class needs free
   * @return what is reserved, counting what the store may hold, and what each reservation wants
   */
  public ReservationView view(List<FleetView.Headroom> headroom) {
    if (reservations.isEmpty()) {
      return ReservationView.NONE;
    }
    Map<String, ReservationAmounts> reserved = new HashMap<>(wanted);
    shards
        .possiblyStored(reservations, configuration.generation())
        .forEach(
            (machine, amounts) -> {
              ReservationAmounts wantedThere = wanted.get(machine);
              reserved.put(machine, wantedThere == null ? amounts : amounts.max(wantedThere));
            });
    usage.dropRemovedMachines();
    markMachines(reserved);
    demands =
        reservations.stream()
            .map(
                reservation ->
                    new ReservationView.ReservationDemand(
                        reservation,
                        ReservationHeadroom.of(
                            reservation, headroom, state, context.operatorSettings())))
            .toList();
    return new ReservationView(demands, reserved, usage::of);
  }

  /** Sets what is reserved and free on machines, so that restarts keep off it. */
  private void markMachines(Map<String, ReservationAmounts> reserved) {
    markedMachines.forEach(machine -> setReserved(machine, Resources.ZERO));
    markedMachines.clear();
    reserved.forEach(
        (name, amounts) -> {
          Machine machine = state.machines.get(name);
          if (machine != null) {
            setReserved(machine, usage.of(machine).map(amounts::minus).orElse(amounts).total());
            markedMachines.add(machine);
          }
        });
  }

  private static void setReserved(Machine machine, Resources free) {
    machine.reservedCpus = free.cpus();
    machine.reservedGpus = free.gpus();
    machine.reservedMemGb = free.memGb();
  }

  /**
   * Takes over the result of a plan that was made with {@link #view}, and has it written.
   *
   * @param reserved what is to be reserved after the plan, by machine name; null: unchanged
   */
  public void planned(Map<String, ReservationAmounts> reserved) {
    if (reservations.isEmpty() || reserved == null) {
      return;
    }
    double now = context.clock().now();
    Map<String, ReservationAmounts> next = new TreeMap<>(reserved);
    wanted.forEach(
        (name, amounts) -> {
          if (!next.containsKey(name)
              && amounts.size() == reservations.size()
              && mayReturn(state.machines.get(name), now)) {
            next.put(name, amounts);
          }
        });
    wanted = next;
    writeIfDue(now);
  }

  /**
   * Whether a machine that was not part of the plan may take tasks again: nothing is known against
   * it, or, right after a failover, it has not reported yet. Otherwise each new leader would
   * release what is reserved on such machines, and others would get it once they report.
   */
  private boolean mayReturn(Machine machine, double now) {
    if (machine == null) {
      return now - loadedAt < context.settings().workers().leaseS();
    }
    return !machine.deleting
        && !machine.failed
        && !machine.cordoned
        && machine.reclaimAt < 0
        && !Scheduler.usable(machine, now, context.settings());
  }

  private void writeIfDue(double now) {
    double intervalS = context.settings().workers().heartbeatIntervalS();
    ReservationDifference difference =
        ReservationDifference.between(stored, wanted, reservations.size());
    double delayS =
        difference.exceeds(SIGNIFICANT_CHANGE) ? intervalS : MAX_WRITE_DELAY_INTERVALS * intervalS;
    if (difference.isNone() || now - writtenAt <= delayS) {
      return;
    }
    writtenAt = now;
    double valueKb = context.settings().minStoreLimits().valueKb();
    long generation = configuration.generation();
    for (int i = 0; i < reservations.size(); i++) {
      shards.write(reservations.get(i), i, wanted, valueKb, () -> written(generation));
    }
  }

  /** The store holds another entry, which was written for these reservations. */
  private void written(long generation) {
    if (generation == configuration.generation()) {
      stored = shards.stored(reservations);
      changedAt = context.clock().now();
      logStored();
    }
  }

  private void logStored() {
    for (int i = 0; i < reservations.size(); i++) {
      ReservationStatus status = status(i);
      long current = Math.round(status.reserved().gpus() * 1000 + status.reserved().cpus());
      if (reservations.size() > 1 || current != lastLogged) {
        lastLogged = current;
        LOG.info(
            "reservation {}: {} GPUs and {} CPUs reserved on {} machines, {} and {} of it in use",
            reservations.get(i).name(),
            status.reserved().gpus(),
            status.reserved().cpus(),
            status.machines(),
            status.used().gpus(),
            status.used().cpus());
      }
    }
  }

  private ReservationStatus status(int index) {
    return ReservationStatus.of(index, stored, state, usage);
  }

  /** Adds what each reservation has, wants and costs, for operators. */
  public void overview(ObjectNode into) {
    into.put("generation", configuration.generation()).put("changes", shared.committedChanges());
    ArrayNode list = into.putArray("reservations");
    double now = context.clock().now();
    for (int i = 0; i < reservations.size(); i++) {
      ReservationStatus status = status(i);
      ObjectNode entry =
          list.addObject()
              .put("name", reservations.get(i).name())
              .put("machines", status.machines());
      putAmounts(entry.putObject("held"), status.reserved());
      putAmounts(entry.putObject("filled"), status.used());
      putAmounts(entry.putObject("wanted"), status.used().plus(wantedFree(i), 1));
      entry
          .put("since_s", Math.round(now - changedAt))
          .put("idle_cost_per_hour", Math.round(status.idleCostPerHour() * 100) / 100.0);
    }
  }

  private Resources wantedFree(int index) {
    Resources free = Resources.ZERO;
    if (index < demands.size()) {
      for (FleetView.Headroom headroom : demands.get(index).headroom()) {
        free = free.plus(Resources.of(headroom.sample()), headroom.count());
      }
    }
    return free;
  }

  private static void putAmounts(ObjectNode into, Resources amounts) {
    into.put("cpus", amounts.cpus()).put("gpus", amounts.gpus()).put("mem_gb", amounts.memGb());
  }
}
