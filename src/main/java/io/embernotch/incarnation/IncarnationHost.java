package io.embernotch.incarnation;

import io.embernotch.snapshot.BaseSnapshot;

/**
 * The controller that a tracker runs in: receives events of the store incarnation and knows which
 * other controllers are live.
 */
public interface IncarnationHost {
  /**
   * The tracker has adopted an incarnation: the store's contents are known to be intact.
   *
   * @param baseSnapshot the snapshot that the incarnation began with
   */
  void incarnationAdopted(BaseSnapshot baseSnapshot);

  /** Whether every other controller has sent a heartbeat since this process started. */
  boolean hasHeartbeatFromAllPeers();

  /**
   * Whether this controller would receive a report of a data loss that other controllers have
   * detected: the leader is live or, while no leader is known, some other controller is.
   */
  boolean wouldReceiveLossReport();

  /**
   * The store has lost data: this controller must stop leading.
   *
   * @param why the reason, for the log
   */
  void dataLost(String why);
}
