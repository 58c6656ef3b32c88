package io.embernotch.leader;

import io.embernotch.actor.Actor;
import io.embernotch.agents.RenewalDelegations;
import io.embernotch.context.ControllerContext;
import io.embernotch.jobs.FailoverRecovery;
import io.embernotch.jobs.StoreLoader;
import io.embernotch.model.MachineType;
import io.embernotch.peer.Frame;
import io.embernotch.persistence.SubmissionWatcher;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader of one term. It owns the cluster state, and is the only one that writes its changes to
 * the store. It is created when its controller acquires leadership, loads the store, serves, and is
 * stopped when leadership is lost. Core loop only.
 */
public final class Leader extends Actor<LeaderMessage> {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

  private static final double MILLIS_PER_S = 1000;
  private static final int TICKS_PER_HEARTBEAT_INTERVAL = 8;

  private final ControllerContext context;
  private final LeaderTerm term;
  private final double acquiredAt;
  private final LeaderLifecycle lifecycle = new LeaderLifecycle();
  private final LeaderComponents components;
  private final LeaderMessageDispatcher dispatcher;

  /**
   * Whether it was certain, when the term ended, that no task ran that this leader did not know of.
   */
  private boolean allRunningTasksKnown;

  /**
   * Returned by {@link #snapshot} until the cluster state is loaded; null if there is none, and
   * once the state is loaded.
   */
  private ClusterSnapshot initialSnapshot;

  /**
   * Creates a leader that does nothing before {@link #start}.
   *
   * @param machineTypes the machine types that are known
   * @param initialSnapshot the contents of the store when the term began, if the term began a store
   *     incarnation; null if others may have written since
   * @param controllersDelayingCancellations see {@link RenewalDelegations}
   */
  public Leader(
      ControllerContext context,
      LeaderContext leaderContext,
      LeaderTerm term,
      Collection<MachineType> machineTypes,
      ClusterSnapshot initialSnapshot,
      Set<String> controllersDelayingCancellations) {
    super(context.coreLoop());
    this.context = context;
    this.term = term;
    this.initialSnapshot = initialSnapshot;
    this.acquiredAt = context.clock().now();
    this.components =
        new LeaderComponents(
            context,
            leaderContext,
            term,
            lifecycle,
            acquiredAt,
            machineTypes,
            controllersDelayingCancellations,
            this::send);
    this.dispatcher = new LeaderMessageDispatcher(components);
  }

  /** Starts to load the store. To be called once. */
  public void start() {
    new StoreLoader(context, term.baseSnapshot(), lifecycle::isStopped).read(new LoadedEntries());
    scheduleTick();
  }

  /** Restores the cluster state from the store's entries, and then starts to serve. */
  private final class LoadedEntries implements StoreLoader.Sink {
    private final FailoverRecovery failoverRecovery = components.failoverRecovery;

    @Override
    public void begin() {
      failoverRecovery.begin();
    }

    @Override
    public void submissions(List<VersionedEntry> entries) {
      failoverRecovery.readSubmissions(entries);
    }

    @Override
    public void shards(List<VersionedEntry> entries) {
      failoverRecovery.readShards(entries);
    }

    @Override
    public void jobsComplete(Predicate<String> isComplete) {
      failoverRecovery.completeJobs(isComplete);
    }

    @Override
    public void complete(long revision, WatchEvents refinedShards, List<VersionedEntry> shared) {
      components.sharedState.load(shared);
      failoverRecovery.complete(refinedShards);
      components.attemptOutcomes.resume();
      startServing(revision);
    }
  }

  /** Ends the term: nothing is written or sent any more, and pending messages are refused. */
  public void stop() {
    allRunningTasksKnown = components.failoverRecovery.allRunningTasksKnown();
    lifecycle.markStopped();
    components.schedulingLoop.close();
    components.stateWriter.close();
    components.sharedState.close();
    dispatcher.refusePending();
  }

  private void startServing(long jobsRevision) {
    double now = context.clock().now();
    lifecycle.markLoaded(now);
    initialSnapshot = null;
    components.schedulingLoop.begin();
    ClusterState state = components.state;
    LOG.info(
        "failover complete: {} jobs, {} ended, {} machines with tasks after {} ms",
        state.jobs.size(),
        state.endedJobs.size(),
        state.machines.size(),
        Math.round((now - acquiredAt) * MILLIS_PER_S));
    new SubmissionWatcher(
            context,
            (job, shardSize) -> send(new LeaderMessage.JobAccepted(job, shardSize)),
            lifecycle::isStopped)
        .watchFrom(jobsRevision);
    dispatcher.dispatchPending();
    components.schedulingLoop.scheduleSoon();
  }

  private void scheduleTick() {
    context
        .timers()
        .after(
            context.settings().workers().heartbeatIntervalS() / TICKS_PER_HEARTBEAT_INTERVAL,
            () -> {
              if (!lifecycle.isStopped()) {
                send(new LeaderMessage.Tick());
                scheduleTick();
              }
            });
  }

  @Override
  protected void receive(LeaderMessage message) {
    dispatcher.dispatch(message);
  }

  /** Processes the heartbeat of a controller that may renew leases; returns the acknowledgement. */
  public Frame.DelegateHeartbeatAck delegateHeartbeatReceived(Frame.DelegateHeartbeat heartbeat) {
    return components.heartbeatHandler.delegateHeartbeatReceived(heartbeat);
  }

  /** Seconds for which agents' leases are renewed although the leader's own lease is not proven. */
  public double gracePeriodS() {
    return components.delegations.ownGracePeriodS();
  }

  /**
   * Adds machine types to the cluster state.
   *
   * @param types machine types by name
   */
  public void addMachineTypes(Map<String, MachineType> types) {
    components.state.types.putAll(types);
  }

  /** Whether the store is loaded, so that the cluster state contains everything that it held. */
  public boolean isLoaded() {
    return lifecycle.isLoaded();
  }

  /**
   * Whether the store was found to have been rolled back before this term began. Other leaders may
   * then have led after the state that this leader has loaded.
   */
  public boolean hasLedRolledBackStore() {
    return lifecycle.isStoreRolledBack();
  }

  /** Modification revision of the leader key in this term. */
  public long modRevision() {
    return term.modRevision();
  }

  /** The epoch of this term. */
  public long epoch() {
    return term.epoch();
  }

  /**
   * A snapshot of all jobs that this leader knows, including changes that the store does not hold
   * yet. Also available after the leader was stopped.
   *
   * @return null before the store is loaded, if the term began without an initial snapshot
   */
  public ClusterSnapshot snapshot() {
    if (!lifecycle.isLoaded()) {
      return initialSnapshot;
    }
    ClusterSnapshot snapshot =
        StateSnapshot.of(
            components.state,
            components.shardLayout::shardSize,
            components.sharedState.entries(),
            term.epoch(),
            context.clock().wallMs());
    return snapshot.toBuilder()
        .setComplete(
            lifecycle.isStopped()
                ? allRunningTasksKnown
                : components.failoverRecovery.allRunningTasksKnown())
        .setJobsMissing(term.baseSnapshot().jobsMissing())
        .build();
  }
}
