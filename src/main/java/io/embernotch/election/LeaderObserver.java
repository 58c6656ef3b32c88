package io.embernotch.election;

import io.embernotch.actor.Clock;

/**
 * Tracks the leader that this controller knows of: the one that the leader key names or, between
 * two reads of the key, one that claims leadership in its heartbeat. A heartbeat may be seconds
 * late, and its sender may have lost leadership or have died, so a claim to a term that the key has
 * shown to be over is ignored.
 */
public final class LeaderObserver {
  private String node;
  private long epoch;
  private long highestEndedEpoch;
  private final Clock clock;
  private long highestEpoch;
  private String highestEpochLeader;
  private double highestSeenAt;

  /** Creates an observer that knows of no leader. */
  public LeaderObserver(Clock clock) {
    this.clock = clock;
  }

  /** Name of the leader; null if none is known. */
  public String node() {
    return node;
  }

  /** Epoch of the leader; 0 if none is known. */
  public long epoch() {
    return epoch;
  }

  /**
   * The highest epoch of a leader that this controller has learned of in any way; 0 if there was
   * none. A term with a lower epoch was not the last one. A term with this epoch may not be the
   * last one either.
   */
  public long highestEpoch() {
    return highestEpoch;
  }

  /** Name of the first leader observed with the highest epoch; null if there was none. */
  public String highestEpochLeader() {
    return highestEpochLeader;
  }

  /** Seconds since the highest epoch was first observed; meaningless if there was none. */
  public double highestEpochKnownForS() {
    return clock.now() - highestSeenAt;
  }

  /** Records that a leader of this epoch exists or existed, without making it the known leader. */
  public void observeEpoch(String leader, long observedEpoch) {
    if (observedEpoch > highestEpoch) {
      highestEpoch = observedEpoch;
      highestEpochLeader = leader;
      highestSeenAt = clock.now();
    }
  }

  /**
   * Sets the known leader, after the key was read or a term of this controller has ended.
   *
   * @param newNode name of the leader; null if there is none
   * @param newEpoch epoch of the leader; 0 if there is none
   */
  public void setLeader(String newNode, long newEpoch) {
    observeEpoch(newNode, newEpoch);
    if (newNode == null) {
      highestEndedEpoch = Math.max(highestEndedEpoch, epoch);
    }
    node = newNode;
    epoch = newEpoch;
  }

  /**
   * Records that a controller claims leadership.
   *
   * @return false if the claim is already known, or its term is known to be over
   */
  public boolean observeClaim(String newNode, long newEpoch) {
    observeEpoch(newNode, newEpoch);
    if (newEpoch <= Math.max(epoch, highestEndedEpoch)) {
      return false;
    }
    node = newNode;
    epoch = newEpoch;
    return true;
  }
}
