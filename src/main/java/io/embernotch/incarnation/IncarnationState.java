package io.embernotch.incarnation;

import io.embernotch.model.StoreIncarnation;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.StoreClient;

/** What this controller knows of the store's incarnation, its epochs and data losses. */
final class IncarnationState {
  /**
   * Added to the highest known epoch when epochs are raised, since other controllers may have seen
   * higher ones.
   */
  private static final long EPOCH_MARGIN = 1L << 24;

  private enum ContentsStatus {
    /** This process has not read the incarnation from the store yet. */
    UNREAD,
    /** The store holds the known incarnation. */
    INTACT,
    /** Data is lost, and this controller has adopted no incarnation since. */
    LOST
  }

  private final StoreClient store;
  private ContentsStatus status = ContentsStatus.UNREAD;

  /** The known incarnation; null if none is known yet. */
  private StoreIncarnation incarnation;

  private BaseSnapshot baseSnapshot = BaseSnapshot.EMPTY;

  /** The highest epoch that this process has observed, the epochs of losses included. */
  private long highestEpoch;

  /** The highest epoch that another controller has reported for a leader. */
  private long highestLeaderEpoch;

  /** The highest epoch that another controller has sent without naming a leader. */
  private long reportedLossEpoch;

  /** The epoch that identifies the last data loss. */
  private long lossEpoch;

  /** Whether contents that this controller itself has read or written are lost. */
  private boolean observedContentsLost;

  /** The highest revision that this process had seen before the last data loss. */
  private long revisionBeforeLoss;

  private int lossCount;

  IncarnationState(StoreClient store) {
    this.store = store;
  }

  boolean isStoreUnread() {
    return status == ContentsStatus.UNREAD;
  }

  boolean isIntact() {
    return status == ContentsStatus.INTACT;
  }

  boolean isDataLost() {
    return status == ContentsStatus.LOST;
  }

  /** Whether the incarnation is known from other controllers only, not read from the store yet. */
  boolean isReportedOnly() {
    return isStoreUnread() && hasIncarnation();
  }

  /**
   * Records the incarnation that another controller has read from the store, unless this controller
   * has read the store itself.
   *
   * @return whether that incarnation is a successor of one that was reported before
   */
  boolean observeReported(StoreIncarnation reported) {
    boolean follows = isReportedOnly() && reported.follows(incarnation);
    if (follows || (isStoreUnread() && !hasIncarnation())) {
      incarnation = reported;
    }
    return follows;
  }

  /** The highest revision that was seen of the known incarnation, which may be lost. */
  long highestRevision() {
    return isDataLost() ? revisionBeforeLoss : store.highestRevisionSeen();
  }

  /** The known incarnation; null if none is known yet. */
  StoreIncarnation incarnation() {
    return incarnation;
  }

  boolean hasIncarnation() {
    return incarnation != null;
  }

  /** The name of the known incarnation; "" if none is known yet. */
  String name() {
    return incarnation == null ? "" : incarnation.name();
  }

  /** The snapshot that the known incarnation began with. */
  BaseSnapshot baseSnapshot() {
    return baseSnapshot;
  }

  /** The number that is added to the leader key's modification revision to get its epoch. */
  long epochFloor() {
    return incarnation == null ? 0 : incarnation.epochFloor();
  }

  /** The highest epoch that the contents have reached, as far as this process has seen them. */
  private long reachedEpoch() {
    return epochFloor() + store.highestRevisionSeen();
  }

  /** Whether an epoch was observed that the contents have not reached. */
  boolean isBehindHighestEpoch() {
    return highestEpoch > reachedEpoch();
  }

  /** Whether an epoch is so high that only a controller that has detected data loss sends it. */
  boolean isLossEpoch(long epoch) {
    return epoch > reachedEpoch() + EPOCH_MARGIN / 2;
  }

  /** Records an epoch that some process has seen. */
  void observeEpoch(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  /** Records the epoch that another controller reports for a leader. */
  void observeLeaderEpoch(long epoch) {
    observeEpoch(epoch);
    highestLeaderEpoch = Math.max(highestLeaderEpoch, epoch);
  }

  /** The highest epoch that another controller has reported for a leader. */
  long highestLeaderEpoch() {
    return highestLeaderEpoch;
  }

  /**
   * Whether data is lost and a leader of a later incarnation was reported. Another controller has
   * restored the store then, so this controller neither reports the loss nor restores anything.
   */
  boolean isLossResolved() {
    return isDataLost() && highestLeaderEpoch > lossEpoch;
  }

  /** Whether a leader was reported whose epoch the contents have not reached. */
  boolean isBehindReportedLeader() {
    return highestLeaderEpoch > reachedEpoch();
  }

  /** Whether the contents have not reached an epoch, as far as this process has seen them. */
  boolean isBehindEpoch(long epoch) {
    return epoch > reachedEpoch();
  }

  /** Records the epoch of a heartbeat that names no leader; a high epoch reports a data loss. */
  void observeReportedLossEpoch(long epoch) {
    observeEpoch(epoch);
    reportedLossEpoch = Math.max(reportedLossEpoch, epoch);
  }

  /** The highest epoch that another controller has sent without naming a leader. */
  long reportedLossEpoch() {
    return reportedLossEpoch;
  }

  /**
   * Whether another controller has reported that the contents of this incarnation are lost.
   *
   * @param other the incarnation in the store; null if there is none
   */
  boolean isReportedLost(StoreIncarnation other) {
    return reportedLossEpoch > (other == null ? 0 : other.epochFloor()) + EPOCH_MARGIN / 2;
  }

  /** An epoch floor above all epochs that any controller or worker may have seen. */
  long raisedEpochFloor() {
    return highestEpoch + EPOCH_MARGIN;
  }

  /** The epoch that identifies the last data loss. */
  long lossEpoch() {
    return lossEpoch;
  }

  /** Number of data losses that this process has recorded. */
  int lossCount() {
    return lossCount;
  }

  /**
   * Records a data loss.
   *
   * @param reportedEpoch the loss epoch that another controller has reported; 0 if this controller
   *     has detected the loss, which then gets a new one
   * @param observedContentsLost whether contents that this controller itself has read or written
   *     are lost
   * @return false if data was lost already and this controller has adopted no incarnation since
   */
  boolean recordLoss(long reportedEpoch, boolean observedContentsLost) {
    long reached = Math.max(reachedEpoch(), isLossResolved() ? highestLeaderEpoch : 0);
    observeEpoch(reached);
    boolean isNewLoss = status != ContentsStatus.LOST || isLossResolved();
    boolean newlyLost = status != ContentsStatus.LOST;
    this.observedContentsLost = observedContentsLost;
    revisionBeforeLoss = store.highestRevisionSeen();
    store.discardIncarnation();
    lossCount++;
    status = ContentsStatus.LOST;
    if (isNewLoss) {
      // Derived from what the lost contents have reached, not from reported epochs of later ones.
      // Otherwise a delayed report of this loss could be mistaken for a report of the next one.
      lossEpoch = reportedEpoch > 0 ? reportedEpoch : reached + EPOCH_MARGIN;
      observeEpoch(lossEpoch);
    }
    return newlyLost;
  }

  /**
   * Whether contents that this controller itself has read or written are lost. If not, the loss may
   * have happened before it first read the store, and so before a term that it has led.
   */
  boolean hasLostObservedContents() {
    return observedContentsLost;
  }

  /**
   * Records the store's revision after a data loss. Returns true if it is the first proof that
   * contents that this controller itself has read or written are lost.
   */
  boolean observeRevisionAfterLoss(long revision) {
    boolean proven = isDataLost() && !observedContentsLost && revision < revisionBeforeLoss;
    observedContentsLost |= proven;
    return proven;
  }

  /**
   * Records that the store holds this incarnation, and that its contents are intact.
   *
   * @param adopted the incarnation; null if the store holds none yet
   * @param adoptedBaseSnapshot the snapshot that it began with
   * @return whether the contents were not intact before, or the incarnation is another one
   */
  boolean recordAdopted(StoreIncarnation adopted, BaseSnapshot adoptedBaseSnapshot) {
    boolean wasIntact = isIntact();
    boolean changed = adopted != null && (incarnation == null || !hasName(adopted.name()));
    incarnation = adopted;
    baseSnapshot = adoptedBaseSnapshot;
    status = ContentsStatus.INTACT;
    return !wasIntact || changed;
  }

  /** Whether this is the known incarnation, at the same modification revision. */
  boolean isKnown(StoreIncarnation other) {
    return incarnation != null
        && other != null
        && hasName(other.name())
        && other.modRevision() == incarnation.modRevision();
  }

  /**
   * Whether this is the known incarnation or a successor of it, or none is known yet.
   *
   * @param other the incarnation in the store; null if there is none
   */
  boolean isKnownOrSuccessor(StoreIncarnation other) {
    return incarnation == null || isKnown(other) || (other != null && other.follows(incarnation));
  }

  private boolean hasName(String name) {
    return incarnation.name().equals(name);
  }
}
