package io.embernotch.election;

/** Receives changes of leadership, and decides whether this controller delays its claims. */
public interface LeadershipListener {
  /**
   * This controller becomes leader.
   *
   * @param epoch epoch of the term, unique across all store incarnations
   * @param modRevision modification revision of the leader key in this term
   */
  void leadershipAcquired(long epoch, long modRevision);

  /**
   * This controller stops leading, or loses the leader key before it has started to lead.
   *
   * @param reason the reason, for the log
   * @param leaseValidUntil time of the monotonic clock, in seconds, until which no other controller
   *     can have led; negative if no such time is proven
   */
  void leadershipLost(String reason, double leaseValidUntil);

  /**
   * The leader key was read or claimed, and names a leader: this controller or another one. Calls
   * may repeat the last one.
   *
   * @param node name of the leader
   * @param epoch epoch of the leader
   * @param acceptsForwarded whether the leader accepts agents' heartbeats that other controllers
   *     forward
   */
  void leaderChanged(String node, long epoch, boolean acceptsForwarded);

  /**
   * The leader key was read after the store has lost data. The controller that it names led before
   * the loss.
   *
   * @param node name of the former leader
   * @param epoch epoch of the former leader
   */
  void formerLeaderSeen(String node, long epoch);

  /** The leader key was read, and there is no leader. */
  void leaderAbsent();

  /** True if other controllers are better suited to lead, so that this one delays its claim. */
  boolean shouldYield();
}
