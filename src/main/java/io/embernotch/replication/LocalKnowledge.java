package io.embernotch.replication;

import io.embernotch.replication.proto.ReplicationProto.Knowledge;

/** What this controller knows about the contents that the store holds or has lost. */
public interface LocalKnowledge {
  /**
   * All that this controller knows, to be sent to other controllers or to restore the store from.
   * Expensive: merges snapshots of all jobs.
   */
  Knowledge knowledge();

  /**
   * Whether this controller has read contents of the store, or received them from another
   * controller, so that a controller that cannot read the store can use them.
   */
  boolean holdsContents();

  /**
   * Called when another controller reports that the store has lost data. From then on this
   * controller makes no changes on behalf of the lost contents.
   *
   * @param node name of the reporting controller
   * @param lossEpoch epoch that identifies the loss
   * @return false if this controller knows a later incarnation, so that the loss is resolved
   */
  boolean lossReported(String node, long lossEpoch);

  /** Called when another controller reports that a later incarnation has resolved the loss. */
  void lossResolved();
}
