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
 * Tracks which incarnation of the store's contents this controller knows, and whether the store
 * still holds it. Every write conditions on the incarnation's fence key. While the contents are not
 * intact, this node does not lead, and no user is told that a job was never accepted.
 *
 * <p>Data is lost if the store's revision falls, if the incarnation's key is missing, or if the
 * store holds another incarnation that is not a successor. A successor is adopted instead.
 */
public final class StoreIncarnationTracker implements StoreClient.LossListener, Candidacy {
  private static final Logger LOG = LoggerFactory.getLogger(StoreIncarnationTracker.class);

  /** The pointer is reread after the leader's lease divided by this. */
  private static final double READS_PER_LEASE = 4;

  /** In place of a loss epoch: this controller has detected the loss, no other has reported it. */
  private static final long UNREPORTED = 0;

  private final ControllerContext context;
  private final IncarnationHost host;
  private final StoreRestorer.Source source;
  private final StoreRestorer restorer;
  private final IncarnationState state;
  private final PointerReader pointer;
  private final IncarnationAdopter adopter;
  private final IncarnationClaimer claimer;
  private final ClaimEligibility eligibility;
  private final StoreAnswerPolicy answerPolicy;
  private final DataLossReports dataLossReports;
  private final DataLossIndicators dataLossIndicators;
  private final IncarnationExchange incarnationExchange;
  private final ContentsConfirmation confirmation;

  /** The snapshot of the incarnation that this node's next term begins; null if it begins none. */
  private ClusterSnapshot initialSnapshot;

  /** Highest reported leader epoch when the pointer was last read, after another node's restore. */
  private long leaderEpochAtLastRead;

  /** Whether the leader runs a version without support for incarnations. */
  private boolean legacyLeaderPresent;

  /**
   * Creates a tracker and registers it as the store's loss listener; idle until {@link #start}.
   *
   * @param leaseTtlS time to live of a leader's lease, in seconds
   */
  public StoreIncarnationTracker(
      ControllerContext context,
      IncarnationHost host,
      StoreRestorer.Source source,
      double leaseTtlS) {
    this.context = context;
    this.host = host;
    this.source = source;
    this.state = new IncarnationState(context.store());
    double retryDelayS = leaseTtlS / READS_PER_LEASE;
    this.pointer =
        new PointerReader(
            context.store(),
            context.clock(),
            context.timers(),
            retryDelayS,
            state::isDataLost,
            this::pointerRead);
    this.restorer = new StoreRestorer(context, source, leaseTtlS, state, pointer::answeringForS);
    this.confirmation = new ContentsConfirmation(context);
    this.adopter = new IncarnationAdopter(context.store(), host, state, pointer, confirmation);
    this.claimer = new IncarnationClaimer(state, pointer, restorer, context.nameGenerator());
    this.eligibility =
        new ClaimEligibility(
            context, state, host::hasHeartbeatFromAllPeers, why -> dataLost(why, UNREPORTED));
    this.answerPolicy =
        new StoreAnswerPolicy(context, host, this, state, confirmation, 2 * leaseTtlS);
    this.dataLossReports = new DataLossReports(state, this::dataLost, pointer::read);
    this.dataLossIndicators =
        new DataLossIndicators(state, (why, observed) -> dataLost(why, UNREPORTED, observed));
    this.incarnationExchange = new IncarnationExchange(context.store(), state);
    context.store().setLossListener(this);
  }

  /** Starts to read which incarnation the store holds. */
  public void start() {
    pointer.read();
  }

  /**
   * Whether the store's contents are known to be intact. Without an incarnation, a process that was
   * just started cannot know that, unless a leader without support for incarnations leads.
   */
  public boolean isIntact() {
    return state.isIntact()
        && (state.hasIncarnation() || (legacyLeaderPresent && !state.isBehindHighestEpoch()));
  }

  /** Exchanges reports of data loss with other controllers. */
  public DataLossReports dataLossReports() {
    return dataLossReports;
  }

  /** Exchanges the store's incarnation with other controllers. */
  public IncarnationExchange incarnationExchange() {
    return incarnationExchange;
  }

  /** Knows whether the store may have been rolled back just before this process read it. */
  public ContentsConfirmation confirmation() {
    return confirmation;
  }

  /** Decides which answers to users may be based on the store alone. */
  public StoreAnswerPolicy answerPolicy() {
    return answerPolicy;
  }

  /** Accepts evidence of data loss that other parts of the controller find. */
  public DataLossIndicators dataLossIndicators() {
    return dataLossIndicators;
  }

  /** Number of data losses that this process has recorded. */
  public int lossCount() {
    return state.lossCount();
  }

  /** The name of the known incarnation; "" if none is known yet. */
  public String name() {
    return state.name();
  }

  /** The snapshot that the known incarnation began with. */
  public BaseSnapshot baseSnapshot() {
    return state.baseSnapshot();
  }

  /**
   * Returns and clears the snapshot of the incarnation that this node's next term begins. Until the
   * leader has read the store it knows nothing else of the contents. Null if the term begins none,
   * so that other controllers may have written before it.
   */
  public ClusterSnapshot takeInitialSnapshot() {
    ClusterSnapshot taken = initialSnapshot;
    initialSnapshot = null;
    return taken;
  }

  /** Records an epoch that another process has seen; the next leader's epoch will be above it. */
  public void observeEpoch(long epoch) {
    state.observeEpoch(epoch);
  }

  @Override
  public void leaderIncarnationRead(String incarnation) {
    legacyLeaderPresent = incarnation != null && incarnation.isEmpty();
    if (!state.isStoreUnread() && incarnation != null && !incarnation.equals(name())) {
      pointer.read();
    }
  }

  /**
   * Checks that the store still holds the known contents; a leader calls this periodically.
   *
   * @param leaderModRevision modification revision of the leader key
   */
  public void verifyContents(long leaderModRevision) {
    if (shouldProbe()) {
      context.store().verifyUnchanged(JobProgressCodec.LEADER, leaderModRevision);
    }
  }

  @Override
  public void verifyContents() {
    if (shouldProbe()) {
      context.store().commit(new Transaction());
    }
  }

  /** Whether an incarnation is known and considered intact, so that a check may detect its loss. */
  private boolean shouldProbe() {
    return state.isIntact() && state.hasIncarnation();
  }

  // ---- detection of data loss

  @Override
  public void revisionFell(long before, long after) {
    dataLost("its revision fell from " + before + " to " + after, UNREPORTED);
  }

  @Override
  public void fenceFailed() {
    pointer.read();
  }

  @Override
  public void leaderKeyOrphaned(String holder) {
    if (state.isIntact()) {
      dataLost("the leader key names " + holder + ", but its lease has ended", UNREPORTED);
    }
  }

  /** {@code reportedEpoch}: the loss epoch that another controller has reported, or none. */
  private void dataLost(String why, long reportedEpoch) {
    dataLost(why, reportedEpoch, reportedEpoch == UNREPORTED);
  }

  /** {@code observedContentsLost}: whether contents that this controller has seen are lost. */
  private void dataLost(String why, long reportedEpoch, boolean observedContentsLost) {
    double detectedAt = context.clock().now();
    boolean newlyLost = state.recordLoss(reportedEpoch, observedContentsLost);
    claimer.discardClaim();
    if (newlyLost) {
      LOG.warn("the store has lost data: {}", why);
      host.dataLost(why);
    } else {
      LOG.warn("the store has lost data again: {}", why);
    }
    pointer.invalidate();
    restorer.begin(detectedAt);
    if (!state.hasLostObservedContents()) {
      checkRevisionAfterLoss(detectedAt);
    }
    pointer.read();
  }

  /** Checks whether the store's revision proves that contents that this node has seen are lost. */
  private void checkRevisionAfterLoss(double detectedAt) {
    context
        .store()
        .list(IncarnationCodec.POINTER)
        .onSuccess(
            listed -> {
              if (state.observeRevisionAfterLoss(listed.revision())
                  && !claimer.isBeginningIncarnation()) {
                restorer.begin(detectedAt);
              }
            });
  }

  private void pointerRead(StoredPointer read) {
    StoreIncarnation stored = read.incarnation();
    ClusterSnapshot storedSnapshot =
        state.isStoreUnread() && stored == null ? source.newestStoredSnapshot() : null;
    if (storedSnapshot != null) {
      dataLost(
          "it has no incarnation, but there is a snapshot of epoch " + storedSnapshot.getEpoch(),
          UNREPORTED);
    } else if (state.isDataLost()) {
      pointerReadAfterLoss(stored);
    } else if (state.isStoreUnread() && state.isReportedLost(stored)) {
      dataLost("reported by another controller", state.reportedLossEpoch());
    } else if (state.isKnownOrSuccessor(stored)) {
      adopter.adopt(stored);
    } else {
      dataLost(
          stored == null
              ? "incarnation " + name() + " is missing"
              : "it holds incarnation " + stored.name() + " instead of " + name(),
          UNREPORTED);
    }
  }

  /** Whether {@code stored}, which may be null, is an incarnation that began after the loss. */
  private boolean isLaterIncarnation(StoreIncarnation stored) {
    return stored != null && adopter.mayAdoptAfterLoss(stored);
  }

  /**
   * Adopts the next incarnation. If a leader of it was reported and it is missing, it is lost too.
   */
  private void pointerReadAfterLoss(StoreIncarnation stored) {
    if (isLaterIncarnation(stored)) {
      adopter.adopt(stored);
    } else if (state.isLossResolved()) {
      // A read that was sent before the report of the leader proves nothing, so two are needed.
      if (leaderEpochAtLastRead == state.highestLeaderEpoch()) {
        dataLost("the incarnation of a reported later leader is missing", UNREPORTED);
      } else {
        leaderEpochAtLastRead = state.highestLeaderEpoch();
      }
    }
  }

  // ---- claims to leadership

  @Override
  public boolean mayClaim() {
    if (state.isIntact()) {
      return eligibility.mayClaimIntact();
    }
    return dataLossReports.isLossUnresolved()
        && pointer.hasReadSinceLoss()
        && restorer.prepared() != null
        && !isLaterIncarnation(pointer.latest().incarnation());
  }

  @Override
  public boolean startsNewIncarnation() {
    return state.isDataLost();
  }

  @Override
  public Claim claim(Transaction transaction) {
    return claimer.claim(transaction);
  }

  @Override
  public void claimSucceeded(long modRevision) {
    claimer.claimSucceeded(modRevision).ifPresent(this::incarnationBegun);
  }

  private void incarnationBegun(StoreIncarnation begun) {
    BaseSnapshot baseSnapshot = state.baseSnapshot();
    if (state.isDataLost()) {
      initialSnapshot = restorer.prepared().snapshot();
      baseSnapshot = new BaseSnapshot(initialSnapshot, begun.modRevision());
      LOG.info("restored: {} blocks, complete {}", begun.blockCount(), baseSnapshot.complete());
      restorer.finish();
    }
    pointer.recordWritten(begun);
    adopter.adoptWithSnapshot(begun, baseSnapshot);
  }

  @Override
  public void claimFailed() {
    if (!claimer.discardClaim()) {
      return;
    }
    pointer.read();
    if (state.isDataLost()) {
      // Either the blocks are lost too, or another controller has begun an incarnation.
      restorer.begin(context.clock().now());
    }
  }
}
