package io.embernotch.leader;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Actor;
import io.embernotch.codec.Json;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.context.ControllerContext;
import io.embernotch.fleet.FleetManager;
import io.embernotch.http.HttpResponse;
import io.embernotch.jobs.Cancellations;
import io.embernotch.jobs.DependencyGraph;
import io.embernotch.jobs.JobCompletions;
import io.embernotch.jobs.AttemptOutcomes;
import io.embernotch.jobs.StoreLoader;
import io.embernotch.jobs.FailoverRecovery;
import io.embernotch.jobs.JobRequestHandler;
import io.embernotch.state.DemandForecast;
import io.embernotch.state.ClusterState;
import io.embernotch.state.ClusterOverview;
import io.embernotch.agents.TaskLauncher;
import io.embernotch.agents.TaskStopper;
import io.embernotch.agents.FencingTokens;
import io.embernotch.agents.RenewalDelegations;
import io.embernotch.agents.AgentReconciler;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.scheduling.Scheduler;
import io.embernotch.persistence.StateWriter;
import io.embernotch.persistence.SubmissionWatcher;
import io.embernotch.persistence.ShardLayout;
import io.embernotch.rounds.RestartReviewer;
import io.embernotch.rounds.MachineViewPublisher;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one that writes, for one term: it owns the cluster state, and lives from the moment its node
 * acquires the key until it loses it.
 */
public final class Leader extends Actor<LeaderMessage> implements AgentReconciler.Listener, FleetManager.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  private final ControllerContext context;
  private final LeaderContext host;
  private final long epoch;
  private final long modRevision;
  private final ClusterState state = new ClusterState();
  private final StateWriter stateWriter;
  private final AgentReconciler agents;
  private final FleetManager fleetManager;
  private final MachineViewPublisher machineViewPublisher;
  private final SchedulingLoop schedulingLoop;
  private final RestartReviewer restartReviewer;
  private final AttemptOutcomes attemptOutcomes;
  private final ImageInventory.Publisher imagePublisher;
  private final DemandForecast demandForecast;
  private final ShardLayout shardLayout;
  private final DependencyGraph dependencyGraph;
  private final JobCompletions completions;
  private final JobRequestHandler jobRequests;
  private final RenewalDelegations delegations;
  private final Cancellations cancellations;
  private final TaskStopper stopper;
  private final TaskLauncher launcher;
  private final HeartbeatQueue heartbeatQueue;
  private final double acquiredAt;
  private final BaseSnapshot baseSnapshot;
  private ClusterSnapshot begunWith;
  private FailoverRecovery failoverRecovery;
  private final List<LeaderMessage> waiting = new ArrayList<>();
  private final PendingHeartbeats pendingHeartbeats = new PendingHeartbeats();
  private boolean loaded;
  private double loadedAt;
  private boolean stopped;
  private final StatusLogger statusLogger;
  private final SharedStateServices sharedState;

  /** {@code modification revision} is that of the leader's key, {@code base} and {@code begunWith} as in {@code StoreIncarnationTracker}, {@code waiting} as in {@link RenewalDelegations}. */
  public Leader(ControllerContext context, LeaderContext host, long epoch, long modRevision, Collection<MachineType> types, BaseSnapshot baseSnapshot, ClusterSnapshot begunWith, Set<String> waiting) {
    super(context.loop());
    this.context = context;
    this.host = host;
    this.epoch = epoch;
    this.modRevision = modRevision;
    this.demandForecast = new DemandForecast(spec -> Scheduler.mayWaitForCapacity(context.settings(), spec));
    this.acquiredAt = context.clock().now();
    this.baseSnapshot = baseSnapshot;
    this.begunWith = begunWith;
    types.forEach(type -> state.types.put(type.name(), type));
    this.shardLayout = new ShardLayout(JobProgressCodec.shard(context.settings().minStoreLimits().valueKb(), context.settings().zones()));
    this.stateWriter = new StateWriter(
        context.settings(), shardLayout, context.store(), context.clock(), context.timers(), context.profile(), modRevision,
        () -> host.superseded("a transaction failed on the leader key"));
    Hooks hooks = new Hooks();
    this.dependencyGraph = new DependencyGraph(context, state, hooks);
    this.completions = new JobCompletions(context, state, stateWriter, dependencyGraph, (ref, e) -> host.jobCompleted(ref, e.phase(), e.tasks(), e.done()));
    this.jobRequests = new JobRequestHandler(context, state, stateWriter, host::isLeaseValid, hooks);
    this.delegations = new RenewalDelegations(context.settings(), acquiredAt, waiting);
    this.agents = new AgentReconciler(context, state, epoch, delegations, this);
    this.cancellations = new Cancellations(context, state, stateWriter, completions, agents);
    this.attemptOutcomes = new AttemptOutcomes(context, state, stateWriter, completions, MachineViewPublisher.LATELY, cancellations::check, this::clusterChanged);
    this.stopper = new TaskStopper(context, state, agents, attemptOutcomes::close, () -> loaded);
    attemptOutcomes.setStopper(stopper);
    this.heartbeatQueue = new HeartbeatQueue(context.clock(), context.timers(), m -> context.profile().run("Report", () -> heartbeat(m)), Leader::refuse);
    this.launcher = new TaskLauncher(context, state, stateWriter, agents, acquiredAt, this::isLeading);
    this.fleetManager = new FleetManager(context, state, agents, epoch, this);
    this.machineViewPublisher = new MachineViewPublisher(context, state,
        (node, v) -> host.partitionViews().view(node, epoch, v), (node, m) -> host.partitionViews().forget(node, epoch, m));
    this.sharedState = new SharedStateServices(context, state, epoch, modRevision, job -> stateWriter.writeLater(job, 0), () -> host.superseded("a shared state transaction failed on the leader key"));
    this.schedulingLoop = new SchedulingLoop(
        context, state, dependencyGraph, demandForecast, fleetManager, launcher, stopper, sharedState, acquiredAt, this::isLeading, heartbeatQueue::isUnderPressure,
            () -> tell(new LeaderMessage.RunScheduler()));
    this.restartReviewer = new RestartReviewer(context, state, stateWriter, stopper);
    this.imagePublisher = new ImageInventory.Publisher(context.operator().roundS());
    this.statusLogger = new StatusLogger(context, state, schedulingLoop, stateWriter);
    state.setImageLookup(m -> host.lastKnownImages(m).isEmpty() ? sharedState.images(m) : host.lastKnownImages(m));
  }

  public void start() {
    failoverRecovery = new FailoverRecovery(context, state, stateWriter, shardLayout, dependencyGraph, demandForecast, agents.tokenBase(), acquiredAt, baseSnapshot);
    new StoreLoader(context, baseSnapshot, () -> stopped).read((jobs, runs, parts, shared) -> {
      sharedState.load(shared);
      failoverRecovery.load(jobs, runs, parts);
      attemptOutcomes.resume();
      startServing(jobs.revision());
    });
    scheduleTick();
  }

  public void stop() {
    stopped = true;
    schedulingLoop.close();
    stateWriter.close();
    sharedState.close();
    waiting.forEach(Leader::refuse);
    waiting.clear();
    pendingHeartbeats.refuse();
  }

  public long modRevision() {
    return modRevision;
  }

  public long epoch() {
    return epoch;
  }

  private void scheduleTick() {
    context.timers().after(context.settings().workers().heartbeatIntervalS() / 8, () -> {
      if (!stopped) {
        tell(new LeaderMessage.Tick());
        scheduleTick();
      }
    });
  }

  // ---- taking over

  private void startServing(long jobsEpoch) {
    loaded = true;
    begunWith = null;
    loadedAt = context.clock().now();
    schedulingLoop.begin();
    LOG.info(
        "failover complete: {} jobs, {} ended, {} machines with tasks after {} ms",
        state.jobs.size(), state.endedJobs.size(), state.machines.size(),
        Math.round((context.clock().now() - acquiredAt) * 1000));
    new SubmissionWatcher(context, (job, shard) -> tell(new LeaderMessage.JobAccepted(job, shard)), () -> stopped).from(jobsEpoch);
    List<LeaderMessage> held = new ArrayList<>(waiting);
    waiting.clear();
    held.forEach(this::receive);
    pendingHeartbeats.drain(context.loop(), this::receive);
    schedulingLoop.scheduleSoon();
  }

  // ---- messages

  @Override
  protected void receive(LeaderMessage message) {
    context.profile().run(message.getClass().getSimpleName(), () -> handle(message));
  }

  private void handle(LeaderMessage message) {
    if (stopped) {
      refuse(message);
    } else if (!loaded && message instanceof LeaderMessage.HeartbeatReceived m) {
      pendingHeartbeats.add(m, context.timers());
    } else if (!loaded && message instanceof LeaderMessage.HeartbeatHandedOver m) {
      pendingHeartbeats.add(m.heartbeat());
    } else if (!loaded && message instanceof LeaderMessage.UserRequest m) {
      // Its user would have gone before the store is read.
      refuse(m);
    } else if (!loaded && !(message instanceof LeaderMessage.Tick)) {
      waiting.add(message);
    } else if (message instanceof LeaderMessage.HeartbeatReceived m) {
      heartbeatQueue.add(m);
    } else if (message instanceof LeaderMessage.HeartbeatHandedOver m) {
      delegateHeartbeatReceived(m.heartbeat());
    } else if (message instanceof LeaderMessage.UserRequest m) {
      ask(m);
    } else if (message instanceof LeaderMessage.JobAccepted m) {
      jobCreated(m.job(), m.shard());
    } else if (message instanceof LeaderMessage.RestartsProposed m) {
      restartReviewer.propose(m.from(), m.restarts());
    } else if (message instanceof LeaderMessage.Tick) {
      tick();
    } else if (message instanceof LeaderMessage.RunScheduler) {
      schedulingLoop.runScheduler();
    }
  }

  private static void refuse(LeaderMessage message) {
    if (message instanceof LeaderMessage.HeartbeatReceived m) {
      m.reply().tryComplete(null);
    } else if (message instanceof LeaderMessage.UserRequest m) {
      m.reply().complete(HttpResponse.later("no steward yet"));
    }
  }

  private void delegateHeartbeatReceived(Heartbeat heartbeat) {
    if (!stopped && agents.processForwarded(heartbeat)) {
      schedulingLoop.scheduleSoon();
    }
  }

  private void heartbeat(LeaderMessage.HeartbeatReceived m) {
    if (stopped) {
      refuse(m);
      return;
    }
    Machine known = state.machines.get(m.heartbeat().machine());
    int openBefore = known == null ? 0 : known.openAttempts.size();
    byte[] body = agents.processHeartbeat(m.heartbeat(), host.isLeaseValid(), m.via());
    m.reply().complete(body);
    Machine now = state.machines.get(m.heartbeat().machine());
    if (now != null && now.openAttempts.size() != openBefore) {
      schedulingLoop.scheduleSoon();
    }
  }

  private void jobCreated(Job job, int shard) {
    String ref = job.spec.ref();
    if (state.jobs.containsKey(ref) || state.endedJobs.containsKey(ref)) {
      return;
    }
    state.jobs.put(ref, job);
    failoverRecovery.delayIfProgressUncertain(job);
    shardLayout.recordShardSize(ref, shard);
    dependencyGraph.add(job);
    if (!job.blocked()) {
      demandForecast.seen(job.spec, context.clock().now());
    }
    LOG.debug("job {}: {} x {} of {}", ref, job.spec.tasks(), job.spec.shape(), job.spec.team());
    schedulingLoop.scheduleSoon();
  }

  private void ask(LeaderMessage.UserRequest m) {
    switch (m.what()) {
      case POLL -> jobRequests.poll(m.ref(), m.reply());
      case ABORT -> jobRequests.abort(m.ref(), m.reply());
      case OVERVIEW -> m.reply().complete(HttpResponse.of(200, Json.bytes(overview())));
    }
  }

  /** The jobs that waited, and what users ask for. */
  private final class Hooks implements DependencyGraph.Listener, JobRequestHandler.Host {
    @Override
    public void released(Job job) {
      demandForecast.seen(job.spec, context.clock().now());
      schedulingLoop.scheduleNow();
    }

    @Override
    public void cancelled(Job job) {
      completions.completedByDependency(job);
      List.copyOf(job.openAttempts.values()).forEach(attempt -> stopper.requestStop(attempt, 0));
    }

    @Override
    public void jobFound(VersionedEntry entry) {
      if (!stopped) {
        jobCreated(JobProgressCodec.readJob(entry.value()), JobProgressCodec.readShardSize(entry.value()));
      }
    }

    @Override
    public void cancel(Job job, Promise<HttpResponse> reply) {
      LOG.debug("job {}: cancellation requested", job.spec.ref());
      job.cancelRequested = true;
      List.copyOf(job.openAttempts.values()).forEach(attempt -> stopper.requestStop(attempt, 0));
      cancellations.request(job, reply);
      schedulingLoop.scheduleSoon();
    }

    @Override
    public boolean isStopped() {
      return stopped;
    }

    @Override
    public void describe(Job job, ObjectNode into) {
      sharedState.describe(job, into);
    }
  }

  // ---- what workers tell

  @Override
  public void taskRunning(Attempt attempt, Machine machine) {}

  @Override
  public void taskExited(Attempt attempt, Machine machine, ExitCause cause, boolean saved) {
    attemptOutcomes.exited(attempt, machine, cause, saved);
  }

  @Override
  public void attemptGone(Attempt attempt, Machine machine, String why) {
    attemptOutcomes.gone(attempt, machine, why);
  }

  @Override
  public void superseded(long token) {
    host.observeEpoch(FencingTokens.epochOf(token));
    host.superseded("a worker has seen fencing token " + token);
  }

  @Override
  public void clusterChanged() {
    schedulingLoop.scheduleSoon();
  }

  @Override
  public boolean isLeading() {
    return !stopped && host.isLeaseValid();
  }

  @Override
  public boolean isOutcomePersisted(String ref, int task) {
    Job job = state.jobs.get(ref);
    return job == null || !(stateWriter.isDirty(job, task) || stateWriter.isDirty(job, 0));
  }

  // ---- what the fleet tells

  @Override
  public void machineGone(Machine machine) {
    if (state.machines.get(machine.name) != machine) {
      return;
    }
    for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
      attemptGone(attempt, machine, "its machine was scaled in");
    }
    state.machines.remove(machine.name);
    imagePublisher.machineRemoved(machine.name, epoch, host::broadcast);
    agents.markDeleted(machine.name);
    schedulingLoop.scheduleSoon();
  }

  @Override
  public Set<String> controllers() {
    return host.controllers();
  }

  /** Another controller is there. */
  public Frame.DelegateHeartbeatAck delegateHeartbeatReceived(Frame.DelegateHeartbeat here) {
    if (delegations.isNewProcess(here)) {
      imagePublisher.republishAll();
    }
    boolean may = loaded && host.isLeaseValid() && completions.zoneHasNoCancelledTasks(delegations.zoneOf(here.node()));
    return delegations.heartbeatReceived(here, epoch, may, context.clock().now());
  }

  /** How long workers are renewed without a proven lease. */
  public double gracePeriodS() {
    return delegations.ownGracePeriodS();
  }

  @Override
  public void startUnreachable(Attempt attempt) {
    stopper.stopWithGang(attempt, 0);
  }

  @Override
  public void controllerPartitioned() {
    host.resign("most machines are unresponsive");
  }

  // ---- time

  private void tick() {
    if (!loaded || !host.isLeaseValid()) {
      return;
    }
    double now = context.clock().now();
    for (Attempt attempt : fleetManager.attemptsWithExpiredLease()) {
      attemptGone(attempt, state.machines.get(attempt.machine), "the worker's lease expired");
    }
    for (Machine machine : List.copyOf(state.machines.values())) {
      if (stopper.drained(machine)) {
        fleetManager.scaleIn(machine);
      }
      agents.sendDueCommands(machine);
    }
    fleetManager.tick();
    cancellations.checkAll();
    dependencyGraph.resolveUnknown();
    restartReviewer.commitDue();
    if (now - loadedAt > context.settings().workers().heartbeatIntervalS()) {
      // Right after a takeover nothing may take time from live services that does not serve them.
      completions.evict();
      machineViewPublisher.publish(host.controllers());
      imagePublisher.publish(state.machines.values(), epoch, now, host::broadcast);
    }
    sharedState.tick();
    statusLogger.tick(now);
    schedulingLoop.tick(now);
  }

  private ObjectNode overview() {
    return sharedState.overview(ClusterOverview.of(state, dependencyGraph.blockedCount())).put("epoch", epoch).put("plans", schedulingLoop.planCount()).put("views", machineViewPublisher.sentCount());
  }

  /** All that is known here of jobs, whether or not the store has it yet; null before it is known. */
  public ClusterSnapshot copy() {
    return loaded ? StateSnapshot.of(state, shardLayout::shardSize, sharedState.copy(), epoch, context.clock().wallMs()) : begunWith;
  }

  /** Machine types have been learned; {@code types}: by name. */
  public void addMachineTypes(Map<String, MachineType> types) {
    state.types.putAll(types);
  }
}
