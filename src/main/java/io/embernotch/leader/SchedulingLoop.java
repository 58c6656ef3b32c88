package io.embernotch.leader;

import io.embernotch.actor.LatencyRecorder;
import io.embernotch.agents.TaskLauncher;
import io.embernotch.agents.TaskStopper;
import io.embernotch.context.ControllerContext;
import io.embernotch.fleet.FleetManager;
import io.embernotch.jobs.DependencyGraph;
import io.embernotch.model.Machine;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.FleetView;
import io.embernotch.scheduling.ReservationView;
import io.embernotch.scheduling.Scheduler;
import io.embernotch.scheduling.SchedulingInput;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.state.ClusterState;
import io.embernotch.state.DemandForecast;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** When plans are made, and by whom each of their parts is carried out. */
final class SchedulingLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  /** So much more room is kept for live services of a release that is near. */
  private static final double NEAR = 1.5;

  private final ControllerContext context;
  private final ClusterState state;
  private final DependencyGraph dependencyGraph;
  private final DemandForecast demandForecast;
  private final FleetManager fleetManager;
  private final TaskLauncher launcher;
  private final TaskStopper stopper;
  private final SharedStateServices sharedState;
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
   * {@code pressed}: workers' heartbeats wait; {@code ask} has {@link #make} called in a turn of
   * the leader's own.
   */
  SchedulingLoop(
      ControllerContext context,
      ClusterState state,
      DependencyGraph dependencyGraph,
      DemandForecast demandForecast,
      FleetManager fleetManager,
      TaskLauncher launcher,
      TaskStopper stopper,
      SharedStateServices sharedState,
      double acquiredAt,
      BooleanSupplier live,
      BooleanSupplier pressed,
      Runnable ask) {
    this.context = context;
    this.state = state;
    this.dependencyGraph = dependencyGraph;
    this.demandForecast = demandForecast;
    this.fleetManager = fleetManager;
    this.launcher = launcher;
    this.stopper = stopper;
    this.sharedState = sharedState;
    this.acquiredAt = acquiredAt;
    this.live = live;
    this.pressed = pressed;
    this.ask = ask;
    this.planner = new Scheduler(context.settings(), context.operator());
  }

  /** The store is read: from now on plans are made. */
  void begin() {
    loadedAt = context.clock().now();
    context.timers().after(firstS(), this::scheduleSoon);
  }

  void close() {
    closed = true;
  }

  /** How many plans were made. */
  long planCount() {
    return planned;
  }

  /** How long plans took since the last line; null if none was made. */
  String statusLine() {
    return plans.line();
  }

  /** Time goes by: a plan is due now and then even if nothing is known to have changed. */
  void tick(double now) {
    if (now - plannedAt > context.settings().workers().heartbeatIntervalS() / 3) {
      scheduleSoon();
    }
  }

  /** A plan in a turn of its own, whatever the pace of plans: few jobs are let go in a second. */
  void scheduleNow() {
    if (!asked) {
      asked = true;
      ask.run();
    }
  }

  /** A plan is made in a moment, at the pace that plans allow. */
  void scheduleSoon() {
    if (!armed && loadedAt >= 0 && !closed) {
      armed = true;
      // However long a plan takes, most of the time stays for reports. While these wait for their
      // turn that is measured
      // by our share of the processor: four times as long as the last one took left plans half of
      // it after a takeover.
      double pause =
          pressed.getAsBoolean() ? 3 * tookS / context.settings().quota().cpuShare() : 4 * tookS;
      double spacing = Math.max(context.settings().workers().heartbeatIntervalS() / 60, pause);
      double wait = Math.max(0.001, plannedAt + spacing - context.clock().now());
      context.timers().after(wait, ask);
    }
  }

  /** Makes a plan, and has it carried out. */
  void runScheduler() {
    armed = false;
    asked = false;
    double now = context.clock().now();
    if (!live.getAsBoolean()
        || (!fleetManager.listedOnce()
            && now - acquiredAt < context.settings().workers().heartbeatIntervalS()
            && state.machines.isEmpty())) {
      return;
    }
    plannedAt = now;
    planned++;
    dependencyGraph.propagateUrgency();
    boolean liveFirst = liveWaits(now);
    long wallMs = context.clock().wallMs();
    sharedState.calendar().apply(wallMs);
    List<FleetView.Headroom> room =
        demandForecast
            .headroom(context.operator(), state.types.values(), state.jobs.values(), now)
            .stream()
            .map(
                h ->
                    sharedState.calendar().near(h.sample(), wallMs)
                        ? new FleetView.Headroom(h.sample(), (int) Math.ceil(NEAR * h.count()))
                        : h)
            .toList();
    ReservationView held = sharedState.holds().view(room);
    SchedulingInput at =
        new SchedulingInput(
            now,
            wallMs,
            state.jobs.values(),
            state.machines.values(),
            state.types,
            fleetManager::exhausted,
            fleetManager.expected(),
            room,
            held,
            fleetManager.risk());
    SchedulingPlan plan = liveFirst ? planner.liveOnly(at) : planner.plan(at);
    sharedState.holds().planned(plan.reserved());
    tookS = context.clock().now() - now;
    plans.record(liveFirst ? "live plan" : "plan", tookS);
    for (SchedulingPlan.Stop s : plan.stops()) {
      LOG.info("stopping {}: {}", s.attempt(), s.reason());
      stopper.stopWithGang(s.attempt(), s.graceS());
    }
    for (SchedulingPlan.Start s : plan.starts()) {
      launcher.launch(s, now);
    }
    if (fleetManager.listedOnce()) {
      plan.scaleOuts().forEach(fleetManager::rent);
    }
    if (fleetManager.cloudAnswers()) {
      for (Machine machine : plan.scaleIns()) {
        LOG.debug("machine {} is idle", machine.name);
        fleetManager.scaleIn(machine);
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
        && state.jobs.values().stream()
            .anyMatch(job -> job.spec.priority() == Priority.PRODUCTION && job.pendingCount() > 0);
  }

  /** So long after a takeover live services come before what else there is to do. */
  private double firstS() {
    return context.settings().workers().heartbeatIntervalS() / 2;
  }
}
