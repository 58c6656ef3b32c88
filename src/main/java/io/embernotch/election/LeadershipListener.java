package io.embernotch.election;

/** Is notified of changes of leadership, and asked whether to contend. */
public interface LeadershipListener {
  /**
   * This node leads from now on.
   *
   * @param epoch names the term in all store incarnations
   * @param modRevision modification revision of the leader key
   */
  void leadershipAcquired(long epoch, long modRevision);

  /**
   * This node leads no more, or does not get to lead though it held the key.
   *
   * @param why the reason, for the log
   * @param provenUntil until when nobody else can have led, by the steady clock
   */
  void leadershipLost(String why, double provenUntil);

  /**
   * The leader key names a leader, this node or another.
   *
   * @param node the leader
   * @param epoch the leader's epoch
   * @param acceptsForwarded whether the leader accepts heartbeats that others forward
   */
  void leaderChanged(String node, long epoch, boolean acceptsForwarded);

  /**
   * The leader key was read in contents that are lost: whoever it names has led.
   *
   * @param node that leader
   * @param epoch the leader's epoch
   */
  void formerLeaderSeen(String node, long epoch);

  /** The leader key was read: there is no leader. */
  void leaderAbsent();

  /** True if another controller is better placed to lead, so that this one contends later. */
  boolean shouldYield();
}
