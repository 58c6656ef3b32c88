package io.embernotch.incarnation;

import io.embernotch.model.StoreIncarnation;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.StoreClient;

/** What this controller knows of the store's incarnation, of its epochs and of losses of data. */
final class IncarnationKnowledge {
  /**
   * Epochs are raised by so much over the highest that we know: others may have seen higher ones
   * than we.
   */
  private static final long EPOCH_LEAP = 1L << 24;

  private enum State {
    /** The pointer has not been read yet. */
    UNREAD,
    /** The store's contents are the ones that we know. */
    INTACT,
    /** Data is lost, and no incarnation has begun since. */
    LOST
  }

  private final StoreClient store;
  private State state = State.UNREAD;

  /** The incarnation that we know; null if there was none yet. */
  private StoreIncarnation incarnation;

  private BaseSnapshot baseSnapshot = BaseSnapshot.EMPTY;

  /** The highest epoch that anybody here has seen. */
  private long highestEpoch;

  /** The highest epoch of a leader that another controller has named. */
  private long highestLeaderEpoch;

  /** The highest epoch by which another controller has told of a loss. */
  private long heardLossEpoch;

  private long lossEpoch;

  /** Whether contents that this controller has seen itself are gone, by its own observation. */
  private boolean lossSeen;

  /** The highest revision that was seen before the loss. */
  private long revisionBeforeLoss;

  private int losses;

  IncarnationKnowledge(StoreClient store) {
    this.store = store;
  }

  boolean isUnread() {
    return state == State.UNREAD;
  }

  boolean isIntact() {
    return state == State.INTACT;
  }

  boolean isLost() {
    return state == State.LOST;
  }

  /** Whether the incarnation is known from another controller alone: nothing was read here yet. */
  boolean isTold() {
    return isUnread() && hasIncarnation();
  }

  /**
   * Another controller, which has read the store, tells which incarnation it held.
   *
   * @return whether that one has followed another which was told before
   */
  boolean observeTold(StoreIncarnation told) {
    boolean follows = isTold() && told.follows(incarnation);
    if (follows || (isUnread() && !hasIncarnation())) {
      incarnation = told;
    }
    return follows;
  }

  /** The highest revision seen of the incarnation that we know, which may be lost. */
  long highestRevision() {
    return isLost() ? revisionBeforeLoss : store.highestRevisionSeen();
  }

  /** The incarnation that we know; null if there was none yet. */
  StoreIncarnation incarnation() {
    return incarnation;
  }

  boolean hasIncarnation() {
    return incarnation != null;
  }

  /** The name of the incarnation that we know; "" if there was none yet. */
  String name() {
    return incarnation == null ? "" : incarnation.name();
  }

  /** What the incarnation began with. */
  BaseSnapshot baseSnapshot() {
    return baseSnapshot;
  }

  /** Added to a modification revision of the leader's key to get an epoch. */
  long epochFloor() {
    return incarnation == null ? 0 : incarnation.epochFloor();
  }

  /** The highest epoch that these contents have reached, as far as we have seen them. */
  private long reachedEpoch() {
    return epochFloor() + store.highestRevisionSeen();
  }

  /** Whether somebody has seen an epoch that these contents have not reached. */
  boolean isBehind() {
    return highestEpoch > reachedEpoch();
  }

  /** Whether an epoch is so high that only a controller that found data lost can name it. */
  boolean isLossEpoch(long epoch) {
    return epoch > reachedEpoch() + EPOCH_LEAP / 2;
  }

  void observeEpoch(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  /** Another controller names a leader of this epoch. */
  void observeLeaderEpoch(long epoch) {
    observeEpoch(epoch);
    highestLeaderEpoch = Math.max(highestLeaderEpoch, epoch);
  }

  /** The highest epoch of a leader that another controller has named. */
  long highestLeaderEpoch() {
    return highestLeaderEpoch;
  }

  /**
   * Whether a leader has been named that led after the loss: another controller has begun the next
   * incarnation, so the loss is not to be told any more and nothing is to be restored.
   */
  boolean isLossOver() {
    return isLost() && highestLeaderEpoch > lossEpoch;
  }

  /** Whether a leader has been named whose epoch these contents have not reached. */
  boolean isBehindLeader() {
    return highestLeaderEpoch > reachedEpoch();
  }

  /** Whether these contents have not reached an epoch, as far as we have seen them. */
  boolean isBefore(long epoch) {
    return epoch > reachedEpoch();
  }

  /** Another controller names no leader; a high epoch tells of a loss. */
  void observeLossEpoch(long epoch) {
    observeEpoch(epoch);
    heardLossEpoch = Math.max(heardLossEpoch, epoch);
  }

  /** The highest epoch by which another controller has told of a loss. */
  long heardLossEpoch() {
    return heardLossEpoch;
  }

  /**
   * Whether another controller has told that the contents with this incarnation are lost.
   *
   * @param other null if the store holds none
   */
  boolean isHeardToBeLost(StoreIncarnation other) {
    return heardLossEpoch > (other == null ? 0 : other.epochFloor()) + EPOCH_LEAP / 2;
  }

  /** An epoch floor above all epochs that anybody may have seen. */
  long raisedEpochFloor() {
    return highestEpoch + EPOCH_LEAP;
  }

  /** The epoch that tells others of the last loss. */
  long lossEpoch() {
    return lossEpoch;
  }

  /** How often data was seen to be lost. */
  int losses() {
    return losses;
  }

  /**
   * Data is lost. Returns false if it was lost already, and no incarnation has begun since.
   *
   * @param namedBy the epoch by which another controller tells of the loss; 0 if it was noticed
   *     here, and gets a new one
   * @param seen whether contents that this controller has seen itself are gone, by its own
   *     observation
   */
  boolean recordLoss(long namedBy, boolean seen) {
    long reached = Math.max(reachedEpoch(), isLossOver() ? highestLeaderEpoch : 0);
    observeEpoch(reached);
    boolean isAnother = state != State.LOST || isLossOver();
    boolean first = state != State.LOST;
    lossSeen = seen;
    revisionBeforeLoss = store.highestRevisionSeen();
    store.discardIncarnation();
    losses++;
    state = State.LOST;
    if (isAnother) {
      // Named by what these contents have reached, not by what has been heard of later ones: else
      // late news of this loss would pass for news of the next one.
      lossEpoch = namedBy > 0 ? namedBy : reached + EPOCH_LEAP;
      observeEpoch(lossEpoch);
    }
    return first;
  }

  /**
   * Whether contents that this controller has seen itself are gone, by its own observation. Else
   * the loss may have come before all that it has seen, and so before a term that it has led.
   */
  boolean isLossSeen() {
    return lossSeen;
  }

  /**
   * The store has reached this revision since the loss. Returns true if that shows for the first
   * time that contents which this controller has seen are gone.
   */
  boolean observeRevisionAfterLoss(long revision) {
    boolean shown = isLost() && !lossSeen && revision < revisionBeforeLoss;
    lossSeen |= shown;
    return shown;
  }

  /**
   * The store's contents are known to be ours, of this incarnation.
   *
   * @param settled null if there is none yet
   * @return whether that was not known before
   */
  boolean settle(StoreIncarnation settled, BaseSnapshot itsBaseSnapshot) {
    boolean wasIntact = isIntact();
    boolean changed = settled != null && (incarnation == null || !isNamed(settled.name()));
    incarnation = settled;
    baseSnapshot = itsBaseSnapshot;
    state = State.INTACT;
    return !wasIntact || changed;
  }

  /** Whether this is the very incarnation that we know, at the same modification revision. */
  boolean isSame(StoreIncarnation other) {
    return incarnation != null
        && other != null
        && isNamed(other.name())
        && other.modRevision() == incarnation.modRevision();
  }

  /** Whether the store with this incarnation, or null, is one that we know, or one made of it. */
  boolean isOurs(StoreIncarnation other) {
    return incarnation == null || isSame(other) || (other != null && other.follows(incarnation));
  }

  private boolean isNamed(String name) {
    return incarnation.name().equals(name);
  }
}
