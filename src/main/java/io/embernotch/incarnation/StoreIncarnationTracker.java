package io.embernotch.incarnation;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.Candidacy;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.store.StoreClient;
import io.embernotch.store.Transaction;
import io.vertx.core.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks which incarnation of the store's contents this controller knows, and whether what is there
 * now is that one. Nothing is written but on condition of the incarnation's key, nobody leads while
 * the contents are not ours, and what they lack is not denied.
 *
 * <p>A loss is noticed by a revision that falls, by the incarnation's key that is not there, or by
 * another incarnation in its place that was not made from ours. An incarnation that was made from
 * ours is taken over.
 */
public final class StoreIncarnationTracker implements StoreClient.LossListener, Candidacy {
  private static final Logger LOG = LoggerFactory.getLogger(StoreIncarnationTracker.class);

  /** The pointer is read again after the leader's lease divided by this. */
  private static final double READS_PER_LEASE = 4;

  /** Receives what becomes of the incarnation. */
  public interface Host {
    /**
     * The store holds our data.
     *
     * @param baseSnapshot what the present incarnation began with
     */
    void incarnationSettled(BaseSnapshot baseSnapshot);

    /** Whether every other controller has been heard from since this process started. */
    boolean allPeersHeard();

    /**
     * Whether this controller would have heard of a loss that others have noticed: it hears the
     * leader or, while none is known, any other controller.
     */
    boolean wouldHearOfLoss();

    /** Data is lost: whoever is leader here stops. */
    void dataLost(String why);
  }

  private final ControllerContext context;
  private final Host host;
  private final double leaseTtlS;
  private final double startedAt;
  private final StoreRestorer.Source source;
  private final StoreRestorer restorer;
  private final IncarnationKnowledge knowledge;
  private final PointerReader pointer;
  private final IncarnationAdopter adopter;
  private final IncarnationClaimer claimer;
  private final StoreHeartbeatReader leaderHeartbeats;

  /**
   * The snapshot that the present incarnation was begun with, if this node's next term is its first
   * one; else null.
   */
  private ClusterSnapshot initialSnapshot;

  /** The leader is of a version that knows no incarnations. */
  private boolean legacyLeaderPresent;

  /**
   * A tracker that becomes the store's loss listener, and reads nothing before {@link #start}.
   *
   * @param leaseTtlS time to live of a leader's lease in seconds
   */
  public StoreIncarnationTracker(
      ControllerContext context, Host host, StoreRestorer.Source source, double leaseTtlS) {
    this.context = context;
    this.host = host;
    this.leaseTtlS = leaseTtlS;
    this.startedAt = context.clock().now();
    this.source = source;
    this.knowledge = new IncarnationKnowledge(context.store());
    this.restorer = new StoreRestorer(context, source, leaseTtlS, knowledge::isLost);
    double retryS = leaseTtlS / READS_PER_LEASE;
    this.pointer =
        new PointerReader(
            context.store(), context.timers(), retryS, knowledge::isLost, this::pointerRead);
    this.adopter = new IncarnationAdopter(context.store(), host, knowledge, pointer, restorer);
    this.claimer = new IncarnationClaimer(knowledge, pointer, restorer, context.names());
    this.leaderHeartbeats = new StoreHeartbeatReader(context);
    context.store().setLossListener(this);
  }

  /** Begins to find out which incarnation the store holds. */
  public void start() {
    pointer.read();
  }

  /**
   * Whether the contents are known to be ours, so that what they lack was never there. A process
   * that is started into contents without an incarnation knows nothing of them, unless a version
   * before incarnations leads.
   */
  public boolean isIntact() {
    return knowledge.isIntact()
        && (knowledge.hasIncarnation() || (legacyLeaderPresent && !knowledge.isBehind()));
  }

  /**
   * Whether an end that the store holds may be told: ends are final, so also one in contents that
   * were put back is true. A process that was just started can't tell contents that were restored
   * from an earlier moment from present ones; after two leases whoever was up before has found that
   * out.
   */
  public boolean mayAnswerFromStore() {
    return isIntact() && !knowledge.isBehind() && upS() > 2 * leaseTtlS;
  }

  /**
   * Whether it may be told that a job has not ended, or was never accepted, as the store alone said
   * it before this call. This controller may have seen no later revision than contents that were
   * put back show; the leader has, and is heard, or shows by its next heartbeat in the store.
   */
  public Future<Boolean> mayTellUnendedFromStore() {
    Future<Boolean> proven =
        host.wouldHearOfLoss() ? Future.succeededFuture(true) : leaderHeartbeats.next(name());
    return proven.map(isProven -> isProven && mayAnswerFromStore());
  }

  /**
   * The epoch by which heartbeats tell other controllers of a loss: no contents from before the
   * next incarnation can ever reach it, whatever is still written to them, and the next incarnation
   * is above it. Fixed at the loss, so that controllers which hear of each other's do not drive it
   * up.
   */
  public long lossEpoch() {
    return knowledge.lossEpoch();
  }

  /** A job that is known to have been accepted is not there. */
  public void acceptedJobMissing(String ref) {
    if (knowledge.isIntact()) {
      dataLost("job " + ref + ", which was accepted, is not there");
    }
  }

  /** Whether data is lost, and no incarnation has begun since. */
  public boolean lost() {
    return knowledge.isLost();
  }

  /** How often data was seen to be lost by this process. */
  public int losses() {
    return knowledge.losses();
  }

  /** The name of the present incarnation; "" if there is none. */
  public String name() {
    return knowledge.name();
  }

  /** What the present incarnation began with. */
  public BaseSnapshot base() {
    return knowledge.baseSnapshot();
  }

  /**
   * What the store held when the term that follows began, if that began the incarnation: for as
   * long as the leader has not read the store it knows no more than this. Given once; null if
   * others may have written since.
   */
  public ClusterSnapshot takeInitialSnapshot() {
    ClusterSnapshot taken = initialSnapshot;
    initialSnapshot = null;
    return taken;
  }

  /** Another has seen so high an epoch; the next leader's is to be above it. */
  public void observeEpoch(long epoch) {
    knowledge.observeEpoch(epoch);
  }

  /**
   * A controller names a leader and its epoch. Without a leader, an epoch far above what these
   * contents can have reached tells that it has found data lost. A leader must not go on then: only
   * that follower may have seen the one change that is gone, and it would begin an incarnation
   * without what the leader knows.
   *
   * @param leader null if that controller knows of none
   */
  public void peerHeartbeatReceived(String node, String leader, long epoch) {
    observeEpoch(epoch);
    if (leader == null && isProbed() && knowledge.isLossEpoch(epoch)) {
      dataLost(node + " says so");
    }
  }

  @Override
  public void incarnationNamed(String incarnation) {
    legacyLeaderPresent = incarnation != null && incarnation.isEmpty();
    if (!knowledge.isUnread() && incarnation != null && !incarnation.equals(name())) {
      pointer.read();
    }
  }

  /**
   * A leader verifies now and then that the contents are still ours.
   *
   * @param leaderModRevision modification revision of its key
   */
  public void probe(long leaderModRevision) {
    if (isProbed()) {
      context.store().verifyUnchanged(JobProgressCodec.LEADER, leaderModRevision);
    }
  }

  @Override
  public void probe() {
    if (isProbed()) {
      context.store().commit(new Transaction());
    }
  }

  /** Whether there is an incarnation that is believed to be intact, and might be lost. */
  private boolean isProbed() {
    return knowledge.isIntact() && knowledge.hasIncarnation();
  }

  private double upS() {
    return context.clock().now() - startedAt;
  }

  // ---- detection of data loss

  @Override
  public void revisionFell(long seen, long now) {
    dataLost("its revision fell from " + seen + " to " + now);
  }

  @Override
  public void fenceFailed() {
    pointer.read();
  }

  @Override
  public void leaderKeyOrphaned(String holder) {
    if (knowledge.isIntact()) {
      dataLost("the leader key names " + holder + ", and its lease is gone");
    }
  }

  private void dataLost(String why) {
    boolean first = knowledge.recordLoss();
    claimer.discard();
    if (first) {
      LOG.warn("the store has lost data: {}", why);
      host.dataLost(why);
    } else {
      LOG.warn("the store has lost data again: {}", why);
    }
    pointer.invalidate();
    restorer.begin();
    pointer.read();
  }

  private void pointerRead(StoredPointer read) {
    StoreIncarnation stored = read.incarnation();
    ClusterSnapshot kept =
        knowledge.isUnread() && stored == null ? source.newestStoredSnapshot() : null;
    if (kept != null) {
      dataLost("it holds no era, and there is a snapshot of epoch " + kept.getEpoch());
    } else if (knowledge.isLost()) {
      if (stored != null && adopter.mayAdoptAfterLoss(stored)) {
        adopter.adopt(stored);
      }
    } else if (knowledge.isOurs(stored)) {
      adopter.adopt(stored);
    } else {
      dataLost(
          stored == null
              ? "era " + name() + " is not there"
              : "era " + stored.name() + " is there, not " + name());
    }
  }

  // ---- the terms of a claim to leadership

  @Override
  public boolean mayClaim() {
    if (knowledge.isIntact()) {
      return knowledge.hasIncarnation() || mayBeginFirstIncarnation();
    }
    return knowledge.isLost() && pointer.hasReadSinceLoss() && restorer.prepared() != null;
  }

  /**
   * Whoever was up before knows whether contents without an incarnation are new or emptied, and has
   * restored emptied ones by the time that is waited for here. A process that was started into
   * emptied contents must not begin a first incarnation there while another still holds all that
   * was lost.
   */
  private boolean mayBeginFirstIncarnation() {
    if (knowledge.isBehind()) {
      return upS() > context.settings().workers().leaseS() / 2;
    }
    return host.allPeersHeard() || upS() > context.settings().workers().heartbeatIntervalS();
  }

  @Override
  public boolean startsNewIncarnation() {
    return knowledge.isLost();
  }

  @Override
  public Claim claim(Transaction transaction) {
    return claimer.claim(transaction);
  }

  @Override
  public void claimSucceeded(long modRevision) {
    claimer.succeeded(modRevision).ifPresent(this::incarnationBegun);
  }

  private void incarnationBegun(StoreIncarnation begun) {
    BaseSnapshot baseSnapshot = knowledge.baseSnapshot();
    if (knowledge.isLost()) {
      initialSnapshot = restorer.prepared().snapshot();
      baseSnapshot = new BaseSnapshot(initialSnapshot, begun.modRevision());
      LOG.info("restored: {} blocks, complete {}", begun.blockCount(), baseSnapshot.complete());
      restorer.finish();
    }
    pointer.written(begun);
    adopter.settle(begun, baseSnapshot);
  }

  @Override
  public void claimRefused() {
    if (!claimer.discard()) {
      return;
    }
    pointer.read();
    if (knowledge.isLost()) {
      // The blocks are lost too, or somebody has begun an incarnation, which needs none of ours.
      restorer.begin();
    }
  }
}
