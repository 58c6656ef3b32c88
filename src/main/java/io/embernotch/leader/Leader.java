package io.embernotch.leader;

import io.embernotch.actor.Actor;
import io.embernotch.agents.RenewalDelegations;
import io.embernotch.context.ControllerContext;
import io.embernotch.jobs.StoreLoader;
import io.embernotch.model.MachineType;
import io.embernotch.peer.Frame;
import io.embernotch.persistence.SubmissionWatcher;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.state.ClusterState;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader of one term, the only one that writes: it owns the cluster state, and exists from the
 * moment its node acquires the leader key until it loses it. It loads the store, serves, and is
 * stopped. Core loop only.
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

  /** Whether no task could run that this leader did not know of, as its term ended. */
  private boolean allStartsKnown;

  /** Used in place of the cluster state until that is loaded; null if there is none, and after. */
  private ClusterSnapshot initialSnapshot;

  /**
   * A leader that does nothing before {@link #start}.
   *
   * @param initialSnapshot what the store held when the term began, if the term began a store
   *     incarnation; null if others may have written since
   * @param controllersDelayingCancellations as in {@link RenewalDelegations}
   */
  public Leader(
      ControllerContext context,
      LeaderContext leaderContext,
      LeaderTerm term,
      Collection<MachineType> machineTypes,
      ClusterSnapshot initialSnapshot,
      Set<String> controllersDelayingCancellations) {
    super(context.loop());
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
            this::tell);
    this.dispatcher = new LeaderMessageDispatcher(components);
  }

  /** Begins to load the store; called once. */
  public void start() {
    new StoreLoader(context, term.baseSnapshot(), lifecycle::isStopped)
        .read(
            (jobs, runs, shards, shared) -> {
              components.sharedState.load(shared);
              components.failoverRecovery.load(jobs, runs, shards);
              components.attemptOutcomes.resume();
              startServing(jobs.revision());
            });
    scheduleTick();
  }

  /** Ends the term: nothing is written or sent any more, and what waits is refused. */
  public void stop() {
    allStartsKnown = components.failoverRecovery.allStartsKnown();
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
            (job, shardSize) -> tell(new LeaderMessage.JobAccepted(job, shardSize)),
            lifecycle::isStopped)
        .from(jobsRevision);
    dispatcher.releasePending();
    components.schedulingLoop.scheduleSoon();
  }

  private void scheduleTick() {
    context
        .timers()
        .after(
            context.settings().workers().heartbeatIntervalS() / TICKS_PER_HEARTBEAT_INTERVAL,
            () -> {
              if (!lifecycle.isStopped()) {
                tell(new LeaderMessage.Tick());
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

  /** Seconds for which agents' leases are renewed without a proven lease of the leader. */
  public double gracePeriodS() {
    return components.delegations.ownGracePeriodS();
  }

  /** Machine types have been learned; {@code types}: by name. */
  public void addMachineTypes(Map<String, MachineType> types) {
    components.state.types.putAll(types);
  }

  /** Whether it has read the store, so that its cluster state holds all that the store did. */
  public boolean isLoaded() {
    return lifecycle.isLoaded();
  }

  /**
   * Whether the term was found to have been led on contents that were put back before it: others
   * may have led after what it knows.
   */
  public boolean hasLedPutBackContents() {
    return lifecycle.isContentsPutBack();
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
   * A snapshot of all that is known here of jobs, whether or not the store has it yet; null before
   * that is known. Also after the leader was stopped.
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
            lifecycle.isStopped() ? allStartsKnown : components.failoverRecovery.allStartsKnown())
        .setJobsMissing(term.baseSnapshot().jobsMissing())
        .build();
  }
}
