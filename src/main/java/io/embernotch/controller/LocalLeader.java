package io.embernotch.controller;

import io.embernotch.leader.Leader;
import io.embernotch.leader.LeaderMessage;
import java.util.Optional;

/**
 * The leader of this process: present from the moment its node acquires leadership until it loses
 * it. The last one is kept for the sake of its snapshot.
 */
final class LocalLeader {
  /**
   * A term that has ended.
   *
   * @param leader its leader, which is stopped
   * @param claimedAt when this node began to claim it, by the steady clock
   * @param provenUntil until when nobody else can have led, by the steady clock
   */
  record FormerTerm(Leader leader, double claimedAt, double provenUntil) {}

  private Leader current;
  private double claimedAt;
  private FormerTerm former;

  /** The leader, or empty while this node is a follower or a candidate. */
  Optional<Leader> current() {
    return Optional.ofNullable(current);
  }

  /** True while this node leads. */
  boolean isPresent() {
    return current != null;
  }

  /** Passes the message to the leader; false, and nothing done, if there is none here. */
  boolean tell(LeaderMessage message) {
    if (current == null) {
      return false;
    }
    current.tell(message);
    return true;
  }

  /**
   * A term begins here.
   *
   * @param claimed when this node began to claim it, by the steady clock
   */
  void begin(Leader leader, double claimed) {
    claimedAt = claimed;
    current = leader;
  }

  /**
   * The term that is led here ends; nothing happens if none is.
   *
   * @param provenUntil until when nobody else can have led, by the steady clock
   */
  void end(double provenUntil) {
    if (current != null) {
      current.stop();
      if (former == null || current.snapshot() != null) {
        former = new FormerTerm(current, claimedAt, provenUntil);
      }
      current = null;
    }
  }

  /** The last term that was led here, unless one is led now or it was forgotten. */
  Optional<FormerTerm> former() {
    return Optional.ofNullable(former);
  }

  /** What the last term knew is not needed any more. */
  void forgetFormer() {
    former = null;
  }
}
