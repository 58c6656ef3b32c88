package io.embernotch.rounds;

import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.straggler.LocalPartition;
import io.embernotch.straggler.MachineView;

/**
 * Brings a leader's views of machines to the controllers in whose parts they are, this one or
 * another.
 */
public final class PartitionViews {
  private final String node;
  private final LocalPartition localPartition;
  private final PeerLink peers;

  /**
   * @param part this controller's own, {@code node} its name
   */
  public PartitionViews(String node, LocalPartition localPartition, PeerLink peers) {
    this.node = node;
    this.localPartition = localPartition;
    this.peers = peers;
  }

  public void send(String controller, long epoch, MachineView view) {
    if (controller.equals(node)) {
      localPartition.put(epoch, view);
    } else {
      peers.send(controller, new Frame.MachineViewUpdate(epoch, view));
    }
  }

  public void remove(String controller, long epoch, String machine) {
    if (controller.equals(node)) {
      localPartition.remove(epoch, machine);
    } else {
      peers.send(controller, new Frame.MachineViewRemoval(epoch, machine));
    }
  }
}
