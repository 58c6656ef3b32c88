package io.embernotch.leader;

import io.embernotch.actor.Clock;
import io.embernotch.actor.LatencyRecorder;
import io.embernotch.context.ControllerContext;
import io.embernotch.fleet.FleetManager;
import io.embernotch.jobs.DependencyGraph;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.Scheduler;
import io.embernotch.scheduling.SchedulingInput;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.scheduling.WaitSummary;
import io.embernotch.state.ClusterState;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides when the scheduler runs, and runs it. */
final class SchedulingLoop {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  /** Runs in a heartbeat interval, at most and, while nothing is known to change, at least. */
  private static final int MAX_RUNS_PER_HEARTBEAT_INTERVAL = 60;

  private static final int MIN_RUNS_PER_HEARTBEAT_INTERVAL = 3;

  /** The pause after a run, as a multiple of the run's duration. */
  private static final double PAUSE_FACTOR = 4;

  /** The same while heartbeats are queued, divided by this process's share of the processor. */
  private static final double PAUSE_FACTOR_UNDER_PRESSURE = 3;

  private final ControllerContext context;
  private final ClusterState state;
  private final DependencyGraph dependencyGraph;
  private final FleetManager fleetManager;
  private final SharedStateServices sharedState;
  private final SchedulingInputs inputs;
  private final PlanExecutor executor;
  private final double acquiredAt;
  private final BooleanSupplier isLeading;
  private final BooleanSupplier isUnderPressure;
  private final Runnable requestRun;
  private final double heartbeatIntervalS;
  private final Scheduler scheduler;
  private final LatencyRecorder latencies = new LatencyRecorder();
  private boolean loaded;
  private double loadedAt;
  private boolean closed;

  /** A run is scheduled at the pace that runs are allowed. */
  private boolean scheduledSoon;

  /** A run is requested for this iteration of the loop, since a job was released. */
  private boolean scheduledNow;

  private double lastRunAt = Clock.NEVER;
  private double lastRunTookS;
  private long runCount;
  private long failureCount;
  private WaitSummary waits = new WaitSummary();

  /** Ids of the jobs whose failure has been logged. */
  private final Set<String> failedJobs = new HashSet<>();

  /**
   * @param acquiredAt when the term began, by the steady clock
   * @param isLeading whether anything may be started
   * @param isUnderPressure whether agents' heartbeats are queued
   * @param requestRun has {@link #runScheduler} called by a message of its own
   */
  SchedulingLoop(
      ControllerContext context,
      ClusterState state,
      DependencyGraph dependencyGraph,
      FleetManager fleetManager,
      SharedStateServices sharedState,
      SchedulingInputs inputs,
      PlanExecutor executor,
      double acquiredAt,
      BooleanSupplier isLeading,
      BooleanSupplier isUnderPressure,
      Runnable requestRun) {
    this.context = context;
    this.state = state;
    this.dependencyGraph = dependencyGraph;
    this.fleetManager = fleetManager;
    this.sharedState = sharedState;
    this.inputs = inputs;
    this.executor = executor;
    this.acquiredAt = acquiredAt;
    this.isLeading = isLeading;
    this.isUnderPressure = isUnderPressure;
    this.requestRun = requestRun;
    this.heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
    this.scheduler = new Scheduler(context.settings(), context.operator());
  }

  /** The store is loaded: from now on the scheduler runs. */
  void begin() {
    loaded = true;
    loadedAt = context.clock().now();
    context.timers().after(liveServicesFirstS(), this::scheduleSoon);
  }

  /** No run is scheduled any more. */
  void close() {
    closed = true;
  }

  /** How often a job was left out of a plan, since planning it failed. */
  long failureCount() {
    return failureCount;
  }

  /** What the last whole plan left waiting, and why. */
  WaitSummary waits() {
    return waits;
  }

  /** How often the scheduler ran. */
  long runCount() {
    return runCount;
  }

  /** Durations of the runs since the last call; null if there was none. */
  String statusLine() {
    return latencies.line();
  }

  /** Time has passed: a run is due now and then even if nothing is known to have changed. */
  void tick(double now) {
    if (now - lastRunAt > heartbeatIntervalS / MIN_RUNS_PER_HEARTBEAT_INTERVAL) {
      scheduleSoon();
    }
  }

  /** Requests a run regardless of the pace: few jobs are released in a second. */
  void scheduleNow() {
    if (!scheduledNow) {
      scheduledNow = true;
      requestRun.run();
    }
  }

  /** Schedules a run at the pace that runs are allowed. */
  void scheduleSoon() {
    if (!scheduledSoon && loaded && !closed) {
      scheduledSoon = true;
      double spacingS = Math.max(heartbeatIntervalS / MAX_RUNS_PER_HEARTBEAT_INTERVAL, pauseS());
      double waitS =
          Math.max(Timing.NEXT_ITERATION_S, lastRunAt + spacingS - context.clock().now());
      context.timers().after(waitS, requestRun);
    }
  }

  /**
   * However long a run lasts, most of the time is left to heartbeats. While these are queued, that
   * is measured by this process's share of the processor: after a failover, a pause of four times
   * the last run's duration would leave half of that share to the scheduler.
   */
  private double pauseS() {
    return isUnderPressure.getAsBoolean()
        ? PAUSE_FACTOR_UNDER_PRESSURE * lastRunTookS / context.settings().quota().cpuShare()
        : PAUSE_FACTOR * lastRunTookS;
  }

  /** Makes a plan and has it carried out, if this leader may act and knows the fleet. */
  void runScheduler() {
    scheduledSoon = false;
    scheduledNow = false;
    double now = context.clock().now();
    if (!isLeading.getAsBoolean() || fleetUnknown(now)) {
      return;
    }
    lastRunAt = now;
    runCount++;
    dependencyGraph.propagateUrgency();
    boolean liveServicesOnly = liveServicesWait(now);
    SchedulingInput input = inputs.gather(now);
    SchedulingPlan plan = liveServicesOnly ? scheduler.liveOnly(input) : scheduler.plan(input);
    plan.failures().forEach(this::reportFailure);
    if (!liveServicesOnly) {
      waits = plan.waits();
    }
    sharedState.reservations().planned(plan.reserved());
    lastRunTookS = context.clock().now() - now;
    latencies.record(liveServicesOnly ? "live plan" : "plan", lastRunTookS);
    executor.execute(plan, now);
  }

  private void reportFailure(SchedulingPlan.Failure failure) {
    failureCount++;
    if (failedJobs.add(failure.job().spec.ref())) {
      LOG.error(
          "job {} can't be planned, the others are", failure.job().spec.ref(), failure.cause());
    }
  }

  /** True for a new leader that knows no machine yet and has no list from the cloud. */
  private boolean fleetUnknown(double now) {
    return !fleetManager.listedOnce()
        && now - acquiredAt < heartbeatIntervalS
        && state.machines.isEmpty();
  }

  /**
   * Right after a failover live services are scheduled by themselves. The first run for all jobs
   * takes some 0.4 s on a starved core, knows few machines yet, and keeps the next one waiting for
   * four times that.
   */
  private boolean liveServicesWait(double now) {
    return now - loadedAt < liveServicesFirstS()
        && state.jobs.values().stream()
            .anyMatch(job -> job.spec.priority() == Priority.PRODUCTION && job.pendingCount() > 0);
  }

  /** Seconds after a failover for which live services come before everything else. */
  private double liveServicesFirstS() {
    return heartbeatIntervalS / 2;
  }
}
