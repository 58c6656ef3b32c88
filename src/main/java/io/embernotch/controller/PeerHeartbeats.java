package io.embernotch.controller;

import io.embernotch.env.Env;
import io.embernotch.era.Eras;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.settings.Settings;

/**
 * What a controller tells the others of itself, a few times in a report period and when it matters.
 */
final class PeerHeartbeats {
  private final Env env;
  private final PeerLink peers;
  private final Eras eras;

  PeerHeartbeats(Env env, PeerLink peers, Eras eras) {
    this.env = env;
    this.peers = peers;
    this.eras = eras;
  }

  /**
   * {@code leader}: whom this node takes for it, null if nobody; {@code epoch}: that
   * term's.
   */
  void send(String leader, long epoch) {
    Settings s = env.settings();
    boolean served = env.store().failingForS() == 0;
    // While data is lost, no leader and an epoch that the store can't reach tell the others so.
    Frame.Beat beat =
        eras.lost()
            ? new Frame.Beat(s.node(), null, eras.lostMark(), served)
            : new Frame.Beat(s.node(), leader, epoch, served);
    s.members().forEach(m -> peers.send(m.node(), beat));
  }
}
