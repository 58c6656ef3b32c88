package io.embernotch.incarnation;

/**
 * Exchanges reports of data loss with other controllers. Each data loss is identified by a loss
 * epoch. The lost contents cannot reach the loss epoch, and all epochs of the next incarnation are
 * above it. So a delayed report of a loss that is already restored is not mistaken for a report of
 * a new one.
 */
public final class DataLossReports {
  /** Receives each data loss that another controller reports. */
  @FunctionalInterface
  interface Listener {
    /**
     * Data is lost.
     *
     * @param why the reason, for the log
     * @param lossEpoch the epoch that identifies the loss
     */
    void dataLost(String why, long lossEpoch);
  }

  private final IncarnationState state;
  private final Listener listener;
  private final Runnable readPointer;

  /**
   * @param readPointer starts a read of the store's current incarnation
   */
  DataLossReports(IncarnationState state, Listener listener, Runnable readPointer) {
    this.state = state;
    this.listener = listener;
    this.readPointer = readPointer;
  }

  /** Whether data is lost and no later incarnation is known; the loss is reported until then. */
  public boolean isLossUnresolved() {
    return state.isDataLost() && !state.isLossResolved();
  }

  /**
   * The epoch that identifies the loss in heartbeats to other controllers. The lost contents can
   * never reach it, whatever is still written to them, and the epochs of the next incarnation are
   * above it. It is fixed when the loss is detected; otherwise controllers would keep raising it
   * above each other's.
   */
  public long lossEpoch() {
    return state.lossEpoch();
  }

  /**
   * Processes the heartbeat of another controller. A heartbeat that names no leader, with an epoch
   * far above what the contents can have reached, reports a data loss. A leader must stop then: the
   * sender may be the only controller that has seen the lost change, and would begin an incarnation
   * without what the leader knows.
   *
   * @param node the sender
   * @param leader the leader that the sender knows; null if it knows none
   * @param epoch the leader's epoch; without a leader, the loss epoch if the sender reports a loss
   */
  public void heartbeatReceived(String node, String leader, long epoch) {
    if (leader != null) {
      state.observeLeaderEpoch(epoch);
      return;
    }
    boolean acceptsLossReport = state.isIntact() && state.hasIncarnation();
    if (acceptsLossReport && state.isLossEpoch(epoch)) {
      listener.dataLost("reported by " + node, epoch);
    }
    state.observeReportedLossEpoch(epoch);
  }

  /**
   * Processes a request of another controller for what this controller knows of lost contents.
   *
   * @param node the requesting controller
   * @param peerLossEpoch the epoch that identifies the loss in that request
   * @return false if this controller knows a later incarnation, so there is nothing to restore
   */
  public boolean lossReported(String node, long peerLossEpoch) {
    heartbeatReceived(node, null, peerLossEpoch);
    return state.isStoreUnread() || isLossUnresolved();
  }

  /** Another controller knows a later incarnation: reads it from the store. */
  public void lossResolved() {
    readPointer.run();
  }
}
