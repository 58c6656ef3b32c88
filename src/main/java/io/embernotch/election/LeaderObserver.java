package io.embernotch.election;

/**
 * Whom this controller takes for the leader: what the key says, and between two looks at it what a
 * leader says of itself. A beat may be seconds late, and its sender no leader any more or not even
 * alive; so one of a term that the key has shown to be over is believed no more.
 */
public final class LeaderObserver {
  private String node;
  private long epoch;
  private long endedEpoch;

  /** Null if nobody is known. */
  public String node() {
    return node;
  }

  public long epoch() {
    return epoch;
  }

  /** The key was read, or a term here has ended; null: nobody is leader. */
  public void update(String newNode, long newEpoch) {
    if (newNode == null) {
      endedEpoch = Math.max(endedEpoch, epoch);
    }
    node = newNode;
    epoch = newEpoch;
  }

  /** A controller says that it is leader; false if that is no news, or known to be over. */
  public boolean observeClaim(String newNode, long newEpoch) {
    if (newEpoch <= Math.max(epoch, endedEpoch)) {
      return false;
    }
    node = newNode;
    epoch = newEpoch;
    return true;
  }
}
