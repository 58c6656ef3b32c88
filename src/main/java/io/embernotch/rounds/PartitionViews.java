package io.embernotch.rounds;

import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.straggler.LocalPartition;
import io.embernotch.straggler.MachineView;

/**
 * Delivers a leader's views of machines to the controllers in whose partitions they are, this one
 * or another.
 */
public final class PartitionViews {
  private final String node;
  private final LocalPartition localPartition;
  private final PeerLink peers;

  /**
   * @param node name of this controller
   * @param localPartition this controller's own partition
   */
  public PartitionViews(String node, LocalPartition localPartition, PeerLink peers) {
    this.node = node;
    this.localPartition = localPartition;
    this.peers = peers;
  }

  /** Sends a controller the view of a machine in its partition. */
  public void send(String controller, long epoch, MachineView view) {
    if (controller.equals(node)) {
      localPartition.put(epoch, view);
    } else {
      peers.send(controller, new Frame.MachineViewUpdate(epoch, view));
    }
  }

  /** Tells a controller that a machine is no longer in its partition. */
  public void remove(String controller, long epoch, String machine) {
    if (controller.equals(node)) {
      localPartition.remove(epoch, machine);
    } else {
      peers.send(controller, new Frame.MachineViewRemoval(epoch, machine));
    }
  }
}
