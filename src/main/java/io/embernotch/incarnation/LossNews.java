package io.embernotch.incarnation;

/**
 * What controllers tell each other of losses of data. A loss is named by an epoch that no contents
 * from before the next incarnation can reach, and that the next one is above: so late news of a
 * loss that is over is told from news of another one.
 */
public final class LossNews {
  /** Receives a loss that another controller tells of. */
  @FunctionalInterface
  interface Listener {
    /** Data is lost; {@code lossEpoch} names the loss. */
    void dataLost(String why, long lossEpoch);
  }

  private final IncarnationKnowledge knowledge;
  private final Listener listener;
  private final Runnable readPointer;

  /**
   * @param readPointer reads which incarnation the store holds
   */
  LossNews(IncarnationKnowledge knowledge, Listener listener, Runnable readPointer) {
    this.knowledge = knowledge;
    this.listener = listener;
    this.readPointer = readPointer;
  }

  /** Whether data is lost, and no incarnation is known to have begun since: others are told. */
  public boolean isTold() {
    return knowledge.isLost() && !knowledge.isLossOver();
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

  /**
   * A controller names a leader and its epoch. Without a leader, an epoch far above what these
   * contents can have reached tells that it has found data lost. A leader must not go on then: only
   * that follower may have seen the one change that is gone, and it would begin an incarnation
   * without what the leader knows.
   *
   * @param leader null if that controller knows of none
   */
  public void heartbeatReceived(String node, String leader, long epoch) {
    if (leader != null) {
      knowledge.observeLeaderEpoch(epoch);
      return;
    }
    boolean mightBeLost = knowledge.isIntact() && knowledge.hasIncarnation();
    if (mightBeLost && knowledge.isLossEpoch(epoch)) {
      listener.dataLost(node + " says so", epoch);
    }
    knowledge.observeLossEpoch(epoch);
  }

  /**
   * Another controller asks what is known here of contents that it has found lost.
   *
   * @return false if that loss is over, as far as this controller knows
   */
  public boolean lossHeard(String node, long lossEpochThere) {
    heartbeatReceived(node, null, lossEpochThere);
    return knowledge.isUnread() || isTold();
  }

  /** Another controller knows of a later incarnation. */
  public void lossIsOver() {
    readPointer.run();
  }
}
