package io.embernotch.steward;

import io.embernotch.env.Env;
import io.embernotch.era.Eras;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.settings.Settings;

/**
 * What a controller tells the others of itself, a few times in a report period and when it matters.
 */
final class Beats {
  private final Env env;
  private final PeerLink peers;
  private final Eras eras;

  Beats(Env env, PeerLink peers, Eras eras) {
    this.env = env;
    this.peers = peers;
    this.eras = eras;
  }

  /**
   * {@code steward}: whom this node takes for it, null if nobody; {@code epoch}: that
   * stewardship's.
   */
  void send(String steward, long epoch) {
    Settings s = env.settings();
    boolean served = env.store().failingForS() == 0;
    // While data is lost, no steward and an epoch that the store can't reach tell the others so.
    Frame.Beat beat =
        eras.lost()
            ? new Frame.Beat(s.node(), null, eras.lostMark(), served)
            : new Frame.Beat(s.node(), steward, epoch, served);
    s.members().forEach(m -> peers.send(m.node(), beat));
  }
}
