package io.embernotch.leader;

import io.embernotch.agents.AgentReconciler;
import io.embernotch.agents.RenewalDelegations;
import io.embernotch.agents.TaskLauncher;
import io.embernotch.agents.TaskStopper;
import io.embernotch.context.ControllerContext;
import io.embernotch.fleet.FleetManager;
import io.embernotch.jobs.AttemptOutcomes;
import io.embernotch.jobs.Cancellations;
import io.embernotch.jobs.DependencyGraph;
import io.embernotch.jobs.FailoverRecovery;
import io.embernotch.jobs.JobCompletions;
import io.embernotch.jobs.JobRequestHandler;
import io.embernotch.model.MachineType;
import io.embernotch.persistence.ShardLayout;
import io.embernotch.persistence.StateWriter;
import io.embernotch.rounds.MachineViewPublisher;
import io.embernotch.rounds.RestartReviewer;
import io.embernotch.scheduling.Scheduler;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;
import io.embernotch.state.DemandForecast;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Creates the components of a leader in the order of their dependencies, and connects them. A
 * component whose events concern components that are created later gets a handler that looks those
 * up when an event occurs. No event occurs during construction.
 */
final class LeaderComponents {
  /** The task whose shard also stores the state of the job as a whole, including its completion. */
  static final int FIRST_TASK = 0;

  /** Name under which the event loop's profile lists the time spent on agents' heartbeats. */
  private static final String HEARTBEAT_PROFILE_NAME = "Report";

  final ControllerContext context;
  final LeaderContext leaderContext;
  final LeaderTerm term;
  final LeaderLifecycle lifecycle;
  final ClusterState state = new ClusterState();
  final ShardLayout shardLayout;
  final StateWriter stateWriter;
  final DemandForecast demandForecast;
  final DependencyGraph dependencyGraph;
  final JobCompletions completions;
  final JobRequestHandler jobRequests;
  final RenewalDelegations delegations;
  final AgentReconciler agents;
  final Cancellations cancellations;
  final AttemptOutcomes attemptOutcomes;
  final TaskStopper stopper;
  final TaskLauncher launcher;
  final HeartbeatHandler heartbeatHandler;
  final HeartbeatQueue heartbeatQueue;
  final FleetManager fleetManager;
  final MachineViewPublisher machineViewPublisher;
  final SharedStateServices sharedState;
  final SchedulingLoop schedulingLoop;
  final RestartReviewer restartReviewer;
  final ImageInventoryPublisher imagePublisher;
  final StatusLogger statusLogger;
  final FailoverRecovery failoverRecovery;
  final RollbackDetector rollbackDetector;
  final JobEventHandler jobEvents = new JobEventHandler(this);

  private final double acquiredAt;
  private final Consumer<LeaderMessage> sendToLeader;

  /**
   * @param acquiredAt when the term began, in seconds of the monotonic clock
   * @param sendToLeader sends a message to the leader that owns these components
   */
  LeaderComponents(
      ControllerContext context,
      LeaderContext leaderContext,
      LeaderTerm term,
      LeaderLifecycle lifecycle,
      double acquiredAt,
      Collection<MachineType> machineTypes,
      Set<String> controllersDelayingCancellations,
      Consumer<LeaderMessage> sendToLeader) {
    this.context = context;
    this.leaderContext = leaderContext;
    this.term = term;
    this.lifecycle = lifecycle;
    this.acquiredAt = acquiredAt;
    this.sendToLeader = sendToLeader;
    Settings settings = context.settings();
    machineTypes.forEach(type -> state.types.put(type.name(), type));
    demandForecast = new DemandForecast(spec -> Scheduler.mayWaitForCapacity(settings, spec));
    rollbackDetector = new RollbackDetector(context, state, this::storeRolledBack);
    shardLayout = createShardLayout();
    stateWriter = createStateWriter();
    dependencyGraph = new DependencyGraph(context, state, jobEvents);
    completions = createCompletions();
    jobRequests =
        new JobRequestHandler(
            context, state, stateWriter, dependencyGraph, leaderContext::isLeaseValid, jobEvents);
    delegations = new RenewalDelegations(settings, acquiredAt, controllersDelayingCancellations);
    agents =
        new AgentReconciler(context, state, term.epoch(), delegations, new AgentEventHandler(this));
    cancellations = new Cancellations(context, state, stateWriter, completions, agents);
    attemptOutcomes = createAttemptOutcomes();
    stopper = new TaskStopper(context, state, agents, attemptOutcomes::close, lifecycle::isLoaded);
    attemptOutcomes.setStopper(stopper);
    heartbeatHandler = new HeartbeatHandler(this);
    heartbeatQueue = createHeartbeatQueue();
    launcher = new TaskLauncher(context, state, stateWriter, agents, acquiredAt, this::isLeading);
    fleetManager =
        new FleetManager(context, state, agents, term.epoch(), new FleetEventHandler(this));
    machineViewPublisher = createMachineViewPublisher();
    sharedState = createSharedState();
    schedulingLoop = createSchedulingLoop();
    restartReviewer = new RestartReviewer(context, state, stateWriter, stopper);
    imagePublisher = new ImageInventoryPublisher(context.operatorSettings().roundS());
    statusLogger = new StatusLogger(context, state, schedulingLoop, stateWriter);
    failoverRecovery = createFailoverRecovery();
    state.setImageLookup(this::lastKnownImages);
  }

  private ShardLayout createShardLayout() {
    return new ShardLayout(ShardLayout.defaultSize(context.settings()));
  }

  private StateWriter createStateWriter() {
    return new StateWriter(
        context.settings(),
        shardLayout,
        context.store(),
        context.clock(),
        context.timers(),
        context.profile(),
        term.modRevision(),
        () ->
            leaderContext.reportNewerLeader(
                "a transaction failed its condition on the leader key"));
  }

  private JobCompletions createCompletions() {
    return new JobCompletions(
        context,
        state,
        stateWriter,
        dependencyGraph,
        (ref, end) -> leaderContext.jobCompleted(ref, end.phase(), end.tasks(), end.done()));
  }

  private AttemptOutcomes createAttemptOutcomes() {
    return new AttemptOutcomes(
        context,
        state,
        stateWriter,
        completions,
        MachineViewPublisher.RECENT_RUNS,
        cancellations::check,
        this::scheduleSoon);
  }

  private HeartbeatQueue createHeartbeatQueue() {
    return new HeartbeatQueue(
        context.clock(),
        context.timers(),
        message ->
            context.profile().run(HEARTBEAT_PROFILE_NAME, () -> heartbeatHandler.handle(message)),
        LeaderMessageDispatcher::refuse);
  }

  private MachineViewPublisher createMachineViewPublisher() {
    return new MachineViewPublisher(
        context,
        state,
        (node, view) -> leaderContext.partitionViews().send(node, term.epoch(), view),
        (node, machine) -> leaderContext.partitionViews().remove(node, term.epoch(), machine));
  }

  private SharedStateServices createSharedState() {
    return new SharedStateServices(
        context,
        state,
        term,
        job -> stateWriter.writeLater(job, FIRST_TASK),
        () ->
            leaderContext.reportNewerLeader(
                "a shared state transaction failed its condition on the leader key"));
  }

  private SchedulingLoop createSchedulingLoop() {
    return new SchedulingLoop(
        context,
        state,
        dependencyGraph,
        fleetManager,
        sharedState,
        new SchedulingInputCollector(context, state, demandForecast, fleetManager, sharedState),
        new PlanExecutor(fleetManager, launcher, stopper),
        acquiredAt,
        this::isLeading,
        heartbeatQueue::isUnderPressure,
        () -> sendToLeader.accept(new LeaderMessage.RunScheduler()));
  }

  private FailoverRecovery createFailoverRecovery() {
    return new FailoverRecovery(
        context,
        state,
        stateWriter,
        shardLayout,
        dependencyGraph,
        demandForecast,
        agents.tokenBase(),
        acquiredAt,
        term.baseSnapshot());
  }

  /**
   * Reports that the store was rolled back to an earlier revision before this term began.
   *
   * @param reason evidence of the rollback, for the log
   */
  void storeRolledBack(String reason) {
    if (!lifecycle.isStopped()) {
      lifecycle.markStoreRolledBack();
      leaderContext.storeRolledBack(reason);
    }
  }

  /**
   * True while this leader may start tasks and rent machines: it is not stopped, and its lease is
   * proven.
   */
  boolean isLeading() {
    return !lifecycle.isStopped() && leaderContext.isLeaseValid();
  }

  private void scheduleSoon() {
    schedulingLoop.scheduleSoon();
  }

  private List<String> lastKnownImages(String machine) {
    List<String> images = leaderContext.lastKnownImages(machine);
    return images.isEmpty() ? sharedState.lastKnownImages(machine) : images;
  }
}
