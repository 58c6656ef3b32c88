package io.embernotch.controller;

import io.embernotch.leader.Leader;
import io.embernotch.leader.LeaderMessage;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.util.Optional;

/**
 * The leader of this process: present from the moment its node acquires leadership until it loses
 * it. The last one is kept until another leader is known, for the sake of its snapshot.
 */
final class LocalLeader {
  private Leader current;
  private Leader former;

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

  /** A term begins here. */
  void begin(Leader leader) {
    former = null;
    current = leader;
  }

  /** The term that is led here ends; nothing happens if none is. */
  void end() {
    if (current != null) {
      current.stop();
      former = current;
      current = null;
    }
  }

  /** A leader of this epoch is known: what was led here before is out of date if it is older. */
  void observeEpoch(long epoch) {
    if (former != null && epoch > former.epoch()) {
      former = null;
    }
  }

  /** What the last leader of this process knew; null if there is none, or another has led since. */
  ClusterSnapshot lastSnapshot() {
    return former == null ? null : former.snapshot();
  }
}
