package io.embernotch.controller;

import io.embernotch.context.ControllerContext;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.settings.Settings;

/**
 * What a controller tells the others of itself, a few times in a heartbeat interval and when it
 * matters.
 */
final class PeerHeartbeats {
  private final ControllerContext context;
  private final PeerLink peers;
  private final StoreIncarnationTracker incarnations;

  PeerHeartbeats(ControllerContext context, PeerLink peers, StoreIncarnationTracker incarnations) {
    this.context = context;
    this.peers = peers;
    this.incarnations = incarnations;
  }

  /** {@code leader}: whom this node takes for it, null if nobody; {@code epoch}: that term's. */
  void send(String leader, long epoch) {
    Settings s = context.settings();
    boolean served = context.store().failingForS() == 0;
    // While data is lost, no leader and an epoch that the store can't reach tell the others so.
    Frame.PeerHeartbeat beat =
        incarnations.lost()
            ? new Frame.PeerHeartbeat(s.node(), null, incarnations.lossEpoch(), served)
            : new Frame.PeerHeartbeat(s.node(), leader, epoch, served);
    s.members().forEach(member -> peers.send(member.node(), beat));
  }
}
