package io.embernotch.controller;

import io.embernotch.leader.Leader;
import io.embernotch.leader.LeaderMessage;
import java.util.Optional;

/**
 * Holds the leader of this process while this node leads. Also keeps the stopped leader of the last
 * term, whose snapshot may be needed to restore the store.
 */
final class LocalLeader {
  /**
   * A term of this node that has ended.
   *
   * @param leader the leader of that term, which is stopped
   * @param claimedAt when this node began to claim the leader key, in seconds of the steady clock
   * @param leaseValidUntil until when no other node can have led, in seconds of the steady clock
   */
  record FormerTerm(Leader leader, double claimedAt, double leaseValidUntil) {}

  private Leader current;
  private double claimedAt;
  private FormerTerm former;

  /** Returns the leader; empty while this node is a follower or a candidate. */
  Optional<Leader> current() {
    return Optional.ofNullable(current);
  }

  /** Returns true while this node leads. */
  boolean isPresent() {
    return current != null;
  }

  /** Sends a message to the local leader; returns false if this node does not lead. */
  boolean send(LeaderMessage message) {
    if (current == null) {
      return false;
    }
    current.send(message);
    return true;
  }

  /**
   * Begins a term of this node.
   *
   * @param termClaimedAt when this node began to claim the leader key, in seconds of the steady
   *     clock
   */
  void begin(Leader leader, double termClaimedAt) {
    claimedAt = termClaimedAt;
    current = leader;
  }

  /**
   * Ends the current term and stops its leader; does nothing if this node does not lead. The ended
   * term becomes the former one, unless it has no snapshot and an earlier term is still held.
   *
   * @param leaseValidUntil until when no other node can have led, in seconds of the steady clock
   */
  void end(double leaseValidUntil) {
    if (current != null) {
      current.stop();
      if (former == null || current.snapshot() != null) {
        former = new FormerTerm(current, claimedAt, leaseValidUntil);
      }
      current = null;
    }
  }

  /** Returns the former term; empty if there was none, or after {@link #forgetFormer}. */
  Optional<FormerTerm> former() {
    return Optional.ofNullable(former);
  }

  /** Discards the former term, whose state is no longer needed. */
  void forgetFormer() {
    former = null;
  }
}
