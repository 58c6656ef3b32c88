package io.embernotch.leader;

import io.embernotch.actor.LatencyRecorder;
import io.embernotch.context.ControllerContext;
import io.embernotch.fleet.FleetManager;
import io.embernotch.jobs.DependencyGraph;
import io.embernotch.state.DemandForecast;
import io.embernotch.state.ClusterState;
import io.embernotch.agents.TaskLauncher;
import io.embernotch.agents.TaskStopper;
import io.embernotch.model.Machine;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.FleetView;
import io.embernotch.scheduling.ReservationView;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.scheduling.Scheduler;
import io.embernotch.scheduling.SchedulingInput;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** When plans are made, and by whom each of their parts is carried out. */
final class SchedulingLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  /** So much more room is kept for live services of a release that is near. */
  private static final double NEAR = 1.5;

  private final ControllerContext env;
  private final ClusterState ledger;
  private final DependencyGraph chains;
  private final DemandForecast demand;
  private final FleetManager fleet;
  private final TaskLauncher starts;
  private final TaskStopper stops;
  private final SharedStateServices facts;
  private final double acquiredAt;
  private final BooleanSupplier live;
  private final BooleanSupplier pressed;
  private final Runnable ask;
  private final Scheduler planner;
  private final LatencyRecorder plans = new LatencyRecorder();
  private double loadedAt = -1;
  private boolean closed;
  private boolean armed;

  /** A job has been let go, and a plan is to be made in this turn. */
  private boolean asked;

  private double plannedAt = -1e9;
  private double tookS;
  private long planned;

  /**
   * {@code pressed}: workers' reports wait; {@code ask} has {@link #make} called in a turn of the
   * leader's own.
   */
  SchedulingLoop(
      ControllerContext env,
      ClusterState ledger,
      DependencyGraph chains,
      DemandForecast demand,
      FleetManager fleet,
      TaskLauncher starts,
      TaskStopper stops,
      SharedStateServices facts,
      double acquiredAt,
      BooleanSupplier live,
      BooleanSupplier pressed,
      Runnable ask) {
    this.env = env;
    this.ledger = ledger;
    this.chains = chains;
    this.demand = demand;
    this.fleet = fleet;
    this.starts = starts;
    this.stops = stops;
    this.facts = facts;
    this.acquiredAt = acquiredAt;
    this.live = live;
    this.pressed = pressed;
    this.ask = ask;
    this.planner = new Scheduler(env.settings(), env.operator());
  }

  /** The store is read: from now on plans are made. */
  void begin() {
    loadedAt = env.clock().now();
    env.timers().after(firstS(), this::soon);
  }

  void close() {
    closed = true;
  }

  /** How many plans were made. */
  long made() {
    return planned;
  }

  /** How long plans took since the last line; null if none was made. */
  String line() {
    return plans.line();
  }

  /** Time goes by: a plan is due now and then even if nothing is known to have changed. */
  void tick(double now) {
    if (now - plannedAt > env.settings().workers().reportS() / 3) {
      soon();
    }
  }

  /** A plan in a turn of its own, whatever the pace of plans: few jobs are let go in a second. */
  void now() {
    if (!asked) {
      asked = true;
      ask.run();
    }
  }

  /** A plan is made in a moment, at the pace that plans allow. */
  void soon() {
    if (!armed && loadedAt >= 0 && !closed) {
      armed = true;
      // However long a plan takes, most of the time stays for reports. While these wait for their
      // turn that is measured
      // by our share of the processor: four times as long as the last one took left plans half of
      // it after a takeover.
      double pause =
          pressed.getAsBoolean() ? 3 * tookS / env.settings().quota().cpuShare() : 4 * tookS;
      double spacing = Math.max(env.settings().workers().reportS() / 60, pause);
      double wait = Math.max(0.001, plannedAt + spacing - env.clock().now());
      env.timers().after(wait, ask);
    }
  }

  /** Makes a plan, and has it carried out. */
  void make() {
    armed = false;
    asked = false;
    double now = env.clock().now();
    if (!live.getAsBoolean()
        || (!fleet.listedOnce()
            && now - acquiredAt < env.settings().workers().reportS()
            && ledger.machines.isEmpty())) {
      return;
    }
    plannedAt = now;
    planned++;
    chains.inherit();
    boolean liveFirst = liveWaits(now);
    long wallMs = env.clock().wallMs();
    facts.calendar().apply(wallMs);
    List<FleetView.Headroom> room =
        demand.headroom(env.operator(), ledger.types.values(), ledger.jobs.values(), now).stream()
            .map(
                h ->
                    facts.calendar().near(h.like(), wallMs)
                        ? new FleetView.Headroom(h.like(), (int) Math.ceil(NEAR * h.count()))
                        : h)
            .toList();
    ReservationView held = facts.holds().holds(room);
    SchedulingInput at =
        new SchedulingInput(
            now,
            wallMs,
            ledger.jobs.values(),
            ledger.machines.values(),
            ledger.types,
            fleet::exhausted,
            fleet.expected(),
            room,
            held,
            fleet.risk());
    SchedulingPlan plan = liveFirst ? planner.liveOnly(at) : planner.plan(at);
    facts.holds().planned(plan.held);
    tookS = env.clock().now() - now;
    plans.record(liveFirst ? "live plan" : "plan", tookS);
    for (SchedulingPlan.Stop s : plan.stops) {
      LOG.info("stopping {}: {}", s.attempt(), s.why());
      stops.one(s.attempt(), s.graceS());
    }
    for (SchedulingPlan.Start s : plan.starts) {
      starts.begin(s, now);
    }
    if (fleet.listedOnce()) {
      plan.buys.forEach(fleet::rent);
    }
    if (fleet.answers()) {
      for (Machine m : plan.returns) {
        LOG.debug("machine {} is idle", m.name);
        fleet.giveBack(m);
      }
    }
  }

  /**
   * Right after a takeover live services have plans of their own. The first whole plan takes some
   * 0.4 s on a starved core, knows few machines yet, and keeps the next one waiting for four times
   * that.
   */
  private boolean liveWaits(double now) {
    return now - loadedAt < firstS()
        && ledger.jobs.values().stream()
            .anyMatch(j -> j.spec.priority() == Priority.PRODUCTION && j.pendingCount() > 0);
  }

  /** So long after a takeover live services come before what else there is to do. */
  private double firstS() {
    return env.settings().workers().reportS() / 2;
  }
}
