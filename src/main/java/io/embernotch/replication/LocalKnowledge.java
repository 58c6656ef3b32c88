package io.embernotch.replication;

import io.embernotch.replication.proto.ReplicationProto.Knowledge;

/** What this controller knows of the contents that the store holds, or has lost. */
public interface LocalKnowledge {
  /** What it tells other controllers, and restores from. May take a while to put together. */
  Knowledge knowledge();

  /** Whether anything was read or told here that a controller without the store could use. */
  boolean holdsContents();

  /**
   * Another controller tells of a loss, by the epoch that names it. Nothing is done for the lost
   * contents here from then on.
   *
   * @return false if the loss is over, since a later incarnation is known here
   */
  boolean lossHeard(String node, long lossEpoch);

  /** Another controller knows that the loss is over: the store holds a later incarnation. */
  void lossIsOver();
}
