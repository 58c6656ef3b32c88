package io.embernotch.election;

import io.embernotch.actor.Clock;

/**
 * The leader that this controller knows: the one that the key names, and between two reads of the
 * key one that claims leadership in its heartbeat. A heartbeat may be seconds late, and its sender
 * no leader any more or not even alive; so a claim of a term that the key has shown to be over is
 * not believed.
 */
public final class LeaderObserver {
  private String node;
  private long epoch;
  private long endedEpoch;
  private final Clock clock;
  private long highestEpoch;
  private String highestNode;
  private double highestSeenAt;

  /** Nothing has been seen or heard yet. */
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
   * The highest epoch of a leader that was ever seen or heard of, by whatever way. A term before it
   * is not the last one; that a term is not before it proves nothing.
   */
  public long highestEpoch() {
    return highestEpoch;
  }

  /** The leader of that epoch; null if none was seen. */
  public String highestNode() {
    return highestNode;
  }

  /** Seconds since that epoch was first seen or heard of. */
  public double highestSeenForS() {
    return clock.now() - highestSeenAt;
  }

  /** Another controller has seen a leader of this epoch. */
  public void observeEpoch(String leader, long seen) {
    if (seen > highestEpoch) {
      highestEpoch = seen;
      highestNode = leader;
      highestSeenAt = clock.now();
    }
  }

  /**
   * The key was read, or a term here has ended.
   *
   * @param newNode the leader, null if there is none
   * @param newEpoch its epoch, 0 if there is none
   */
  public void update(String newNode, long newEpoch) {
    observeEpoch(newNode, newEpoch);
    if (newNode == null) {
      endedEpoch = Math.max(endedEpoch, epoch);
    }
    node = newNode;
    epoch = newEpoch;
  }

  /** A controller claims to lead; false if that is known already, or known to be over. */
  public boolean observeClaim(String newNode, long newEpoch) {
    observeEpoch(newNode, newEpoch);
    if (newEpoch <= Math.max(epoch, endedEpoch)) {
      return false;
    }
    node = newNode;
    epoch = newEpoch;
    return true;
  }
}
