package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.Candidacy;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.store.StoreClient;
import io.embernotch.store.Transaction;
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

  /** In place of an epoch: a loss that is noticed here, and that nobody has told of. */
  private static final long UNNAMED = 0;

  private final ControllerContext context;
  private final IncarnationHost host;
  private final StoreRestorer.Source source;
  private final StoreRestorer restorer;
  private final IncarnationKnowledge knowledge;
  private final PointerReader pointer;
  private final IncarnationAdopter adopter;
  private final IncarnationClaimer claimer;
  private final ClaimEligibility eligibility;
  private final StoreAnswerPolicy answerPolicy;
  private final LossNews lossNews;
  private final LossSigns lossSigns;
  private final ToldIncarnation toldIncarnation;
  private final ContentsConfirmation confirmation;

  /**
   * The snapshot that the present incarnation was begun with, if this node's next term is its first
   * one; else null.
   */
  private ClusterSnapshot initialSnapshot;

  /** As the pointer was read last, after a loss that is over: the highest epoch heard of then. */
  private long overAtLastRead;

  /** The leader is of a version that knows no incarnations. */
  private boolean legacyLeaderPresent;

  /**
   * A tracker that becomes the store's loss listener, and reads nothing before {@link #start}.
   *
   * @param leaseTtlS time to live of a leader's lease in seconds
   */
  public StoreIncarnationTracker(
      ControllerContext context,
      IncarnationHost host,
      StoreRestorer.Source source,
      double leaseTtlS) {
    this.context = context;
    this.host = host;
    this.source = source;
    this.knowledge = new IncarnationKnowledge(context.store());
    double retryS = leaseTtlS / READS_PER_LEASE;
    this.pointer =
        new PointerReader(
            context.store(),
            context.clock(),
            context.timers(),
            retryS,
            knowledge::isLost,
            this::pointerRead);
    this.restorer = new StoreRestorer(context, source, leaseTtlS, knowledge, pointer::answersForS);
    this.confirmation = new ContentsConfirmation(context);
    this.adopter = new IncarnationAdopter(context.store(), host, knowledge, pointer, confirmation);
    this.claimer = new IncarnationClaimer(knowledge, pointer, restorer, context.names());
    this.eligibility =
        new ClaimEligibility(
            context, knowledge, host::allPeersHeard, why -> dataLost(why, UNNAMED));
    this.answerPolicy =
        new StoreAnswerPolicy(context, host, this, knowledge, confirmation, 2 * leaseTtlS);
    this.lossNews = new LossNews(knowledge, this::dataLost, pointer::read);
    this.lossSigns = new LossSigns(knowledge, (why, seen) -> dataLost(why, UNNAMED, seen));
    this.toldIncarnation = new ToldIncarnation(context.store(), knowledge);
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

  /** What controllers tell each other of losses. */
  public LossNews lossNews() {
    return lossNews;
  }

  /** What controllers tell each other of the incarnation that the store holds. */
  public ToldIncarnation toldIncarnation() {
    return toldIncarnation;
  }

  /** Whether the contents can have been put back just before this process read them. */
  public ContentsConfirmation confirmation() {
    return confirmation;
  }

  /** What may be told from the store alone. */
  public StoreAnswerPolicy answerPolicy() {
    return answerPolicy;
  }

  /** Receives signs of a loss that other parts of the controller come upon. */
  public LossSigns lossSigns() {
    return lossSigns;
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

  // ---- detection of data loss

  @Override
  public void revisionFell(long seen, long now) {
    dataLost("its revision fell from " + seen + " to " + now, UNNAMED);
  }

  @Override
  public void fenceFailed() {
    pointer.read();
  }

  @Override
  public void leaderKeyOrphaned(String holder) {
    if (knowledge.isIntact()) {
      dataLost("the leader key names " + holder + ", and its lease is gone", UNNAMED);
    }
  }

  /** {@code namedBy}: the epoch by which another controller tells of the loss, or unnamed. */
  private void dataLost(String why, long namedBy) {
    dataLost(why, namedBy, namedBy == UNNAMED);
  }

  /** {@code seen}: whether contents that this controller has seen itself are gone. */
  private void dataLost(String why, long namedBy, boolean seen) {
    double noticedAt = context.clock().now();
    boolean first = knowledge.recordLoss(namedBy, seen);
    claimer.discard();
    if (first) {
      LOG.warn("the store has lost data: {}", why);
      host.dataLost(why);
    } else {
      LOG.warn("the store has lost data again: {}", why);
    }
    pointer.invalidate();
    restorer.begin(noticedAt);
    if (!knowledge.isLossSeen()) {
      observeRevision(noticedAt);
    }
    pointer.read();
  }

  /** A lower revision than was seen before shows that what this node may have led is lost. */
  private void observeRevision(double noticedAt) {
    context
        .store()
        .list(IncarnationCodec.POINTER)
        .onSuccess(
            listed -> {
              if (knowledge.observeRevisionAfterLoss(listed.revision()) && !claimer.isClaiming()) {
                restorer.begin(noticedAt);
              }
            });
  }

  private void pointerRead(StoredPointer read) {
    StoreIncarnation stored = read.incarnation();
    ClusterSnapshot kept =
        knowledge.isUnread() && stored == null ? source.newestStoredSnapshot() : null;
    if (kept != null) {
      dataLost("it holds no era, and there is a snapshot of epoch " + kept.getEpoch(), UNNAMED);
    } else if (knowledge.isLost()) {
      pointerReadAfterLoss(stored);
    } else if (knowledge.isUnread() && knowledge.isHeardToBeLost(stored)) {
      dataLost("another controller says so", knowledge.heardLossEpoch());
    } else if (knowledge.isOurs(stored)) {
      adopter.adopt(stored);
    } else {
      dataLost(
          stored == null
              ? "era " + name() + " is not there"
              : "era " + stored.name() + " is there, not " + name(),
          UNNAMED);
    }
  }

  /** Whether another controller has begun the next incarnation; {@code stored} may be null. */
  private boolean isNextIncarnation(StoreIncarnation stored) {
    return stored != null && adopter.mayAdoptAfterLoss(stored);
  }

  /**
   * Takes the next incarnation over; if that has been heard of and is not there, it is lost too.
   */
  private void pointerReadAfterLoss(StoreIncarnation stored) {
    if (isNextIncarnation(stored)) {
      adopter.adopt(stored);
    } else if (knowledge.isLossOver()) {
      // A read that was sent before the incarnation was heard of proves nothing, so it takes two.
      if (overAtLastRead == knowledge.highestLeaderEpoch()) {
        dataLost("an era after the loss was heard of, and is not there", UNNAMED);
      } else {
        overAtLastRead = knowledge.highestLeaderEpoch();
      }
    }
  }

  // ---- the terms of a claim to leadership

  @Override
  public boolean mayClaim() {
    if (knowledge.isIntact()) {
      return eligibility.mayClaimIntact();
    }
    return lossNews.isTold()
        && pointer.hasReadSinceLoss()
        && restorer.prepared() != null
        && !isNextIncarnation(pointer.latest().incarnation());
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
      restorer.begin(context.clock().now());
    }
  }
}
