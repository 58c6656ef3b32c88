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

  /** Maximum number of scheduling runs in a heartbeat interval. */
  private static final int MAX_RUNS_PER_HEARTBEAT_INTERVAL = 60;

  /** Minimum number of scheduling runs in a heartbeat interval, even if nothing has changed. */
  private static final int MIN_RUNS_PER_HEARTBEAT_INTERVAL = 3;

  /** Pause after a run, as a multiple of the duration of the run. */
  private static final double PAUSE_FACTOR = 4;

  /**
   * The same while heartbeats are queued. The pause is then also divided by this process's share of
   * a processor.
   */
  private static final double PAUSE_FACTOR_UNDER_PRESSURE = 3;

  private final ControllerContext context;
  private final ClusterState state;
  private final DependencyGraph dependencyGraph;
  private final FleetManager fleetManager;
  private final SharedStateServices sharedState;
  private final SchedulingInputCollector inputCollector;
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

  /** Whether a rate-limited run is scheduled. */
  private boolean runScheduled;

  /** Whether a run is requested for this iteration of the loop, because a job was released. */
  private boolean immediateRunRequested;

  private double lastRunAt = Clock.NEVER;
  private double lastRunTookS;
  private long runCount;
  private long failureCount;
  private WaitSummary waits = new WaitSummary();

  /** Ids of the jobs whose planning failure was logged. */
  private final Set<String> failedJobs = new HashSet<>();

  /**
   * @param acquiredAt when the term began, in seconds of the monotonic clock
   * @param isLeading whether this leader may start tasks and rent machines
   * @param isUnderPressure whether agents' heartbeats have been queued for long
   * @param requestRun sends the leader a message upon which it calls {@link #runScheduler}
   */
  SchedulingLoop(
      ControllerContext context,
      ClusterState state,
      DependencyGraph dependencyGraph,
      FleetManager fleetManager,
      SharedStateServices sharedState,
      SchedulingInputCollector inputCollector,
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
    this.inputCollector = inputCollector;
    this.executor = executor;
    this.acquiredAt = acquiredAt;
    this.isLeading = isLeading;
    this.isUnderPressure = isUnderPressure;
    this.requestRun = requestRun;
    this.heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
    this.scheduler = new Scheduler(context.settings(), context.operatorSettings());
  }

  /** Starts scheduling, once the store is loaded. */
  void begin() {
    loaded = true;
    loadedAt = context.clock().now();
    context.timers().after(liveServicesFirstPeriodS(), this::scheduleSoon);
  }

  /** Schedules no more runs. */
  void close() {
    closed = true;
  }

  /** Number of times that a job was left out of a plan because planning it failed. */
  long failureCount() {
    return failureCount;
  }

  /** What the last plan for all jobs left waiting, by reason. */
  WaitSummary waits() {
    return waits;
  }

  /** Number of scheduling runs. */
  long runCount() {
    return runCount;
  }

  /** Latencies of the runs since the last call; null if there was none. */
  String statusLine() {
    return latencies.line();
  }

  /**
   * Schedules a run if the last one was too long ago, even if nothing is known to have changed.
   *
   * @param now seconds of the monotonic clock
   */
  void tick(double now) {
    if (now - lastRunAt > heartbeatIntervalS / MIN_RUNS_PER_HEARTBEAT_INTERVAL) {
      scheduleSoon();
    }
  }

  /** Requests a run without rate limit: only a few jobs are released per second. */
  void scheduleNow() {
    if (!immediateRunRequested) {
      immediateRunRequested = true;
      requestRun.run();
    }
  }

  /** Schedules a run within the rate limit, unless one is scheduled already. */
  void scheduleSoon() {
    if (!runScheduled && loaded && !closed) {
      runScheduled = true;
      double intervalS = Math.max(heartbeatIntervalS / MAX_RUNS_PER_HEARTBEAT_INTERVAL, pauseS());
      double delayS =
          Math.max(TimerDelays.NEXT_ITERATION_S, lastRunAt + intervalS - context.clock().now());
      context.timers().after(delayS, requestRun);
    }
  }

  /**
   * Seconds to pause after the last run, so that most of the time is left to heartbeats however
   * long a run takes. While heartbeats are queued, the pause takes this process's share of a
   * processor into account: after a failover, a pause of four times the last run's duration would
   * leave half of that share to the scheduler.
   */
  private double pauseS() {
    return isUnderPressure.getAsBoolean()
        ? PAUSE_FACTOR_UNDER_PRESSURE * lastRunTookS / context.settings().quota().cpuShare()
        : PAUSE_FACTOR * lastRunTookS;
  }

  /** Makes a plan and executes it, if this leader may act and knows the fleet. */
  void runScheduler() {
    runScheduled = false;
    immediateRunRequested = false;
    double now = context.clock().now();
    if (!isLeading.getAsBoolean() || isFleetUnknown(now)) {
      return;
    }
    lastRunAt = now;
    runCount++;
    dependencyGraph.propagateUrgency();
    boolean liveServicesOnly = shouldPlanLiveServicesOnly(now);
    SchedulingInput input = inputCollector.collect(now);
    SchedulingPlan plan =
        liveServicesOnly ? scheduler.planProduction(input) : scheduler.plan(input);
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
          "job {} cannot be planned and is left out of the plan",
          failure.job().spec.ref(),
          failure.cause());
    }
  }

  /**
   * True for a new leader that knows no machine and has not received the machine list of the cloud.
   */
  private boolean isFleetUnknown(double now) {
    return !fleetManager.hasReceivedMachineList()
        && now - acquiredAt < heartbeatIntervalS
        && state.machines.isEmpty();
  }

  /**
   * Whether to plan live services only, as is done right after a failover while any of their tasks
   * is pending. The first run for all jobs takes about 0.4 s on a throttled processor, knows few
   * machines yet, and delays the next run by four times its duration.
   */
  private boolean shouldPlanLiveServicesOnly(double now) {
    return now - loadedAt < liveServicesFirstPeriodS()
        && state.jobs.values().stream()
            .anyMatch(job -> job.spec.priority() == Priority.PRODUCTION && job.pendingCount() > 0);
  }

  /** Seconds after a failover during which live services take precedence over all other jobs. */
  private double liveServicesFirstPeriodS() {
    return heartbeatIntervalS / 2;
  }
}
