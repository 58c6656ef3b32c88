package io.embernotch.controller;

import io.embernotch.context.ControllerContext;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.settings.Settings;

/**
 * Sends and handles heartbeats between controllers. This controller sends them several times per
 * heartbeat interval, when it becomes leader, and when it detects a loss of data. They state the
 * known leader, its epoch, and whether the store answers the sender.
 */
final class PeerHeartbeats {
  private final ControllerContext context;
  private final PeerLink peers;
  private final StoreIncarnationTracker incarnations;
  private final LeaderElection election;
  private final LeaderObserver leaderObserver;
  private final PeerLiveness peerLiveness;
  private final HeartbeatForwarder heartbeatForwarder;
  private final LocalLeader localLeader;

  PeerHeartbeats(
      ControllerContext context,
      PeerLink peers,
      StoreIncarnationTracker incarnations,
      LeaderElection election,
      LeaderObserver leaderObserver,
      PeerLiveness peerLiveness,
      HeartbeatForwarder heartbeatForwarder,
      LocalLeader localLeader) {
    this.context = context;
    this.peers = peers;
    this.incarnations = incarnations;
    this.election = election;
    this.leaderObserver = leaderObserver;
    this.peerLiveness = peerLiveness;
    this.heartbeatForwarder = heartbeatForwarder;
    this.localLeader = localLeader;
  }

  /** Sends this node's heartbeat to all other controllers. */
  void send() {
    Settings settings = context.settings();
    Frame.PeerHeartbeat heartbeat = currentHeartbeat(settings.node());
    settings.members().forEach(member -> peers.send(member.node(), heartbeat));
  }

  /**
   * Sends this node's heartbeat to a controller that has just connected and may have just started,
   * so that it need not wait for the next heartbeat.
   */
  void sendOnConnect(PeerLink.ReplyChannel replies) {
    replies.send(currentHeartbeat(context.settings().node()));
  }

  private Frame.PeerHeartbeat currentHeartbeat(String node) {
    boolean storeReachable = context.store().failingForS() == 0;
    if (incarnations.dataLossReports().isLossUnresolved()) {
      // A heartbeat without a leader, with an epoch that the store cannot reach, reports the loss.
      return new Frame.PeerHeartbeat(
          node, null, incarnations.dataLossReports().lossEpoch(), storeReachable, true);
    }
    if (localLeader.isPresent() && election.isLeaseValid()) {
      return new Frame.PeerHeartbeat(node, node, election.epoch(), storeReachable, true);
    }
    return new Frame.PeerHeartbeat(
        node, leaderObserver.node(), leaderObserver.epoch(), storeReachable, true);
  }

  /** Handles a heartbeat from another controller. */
  void handleHeartbeat(Frame.PeerHeartbeat heartbeat) {
    String sender = heartbeat.node();
    peerLiveness.recordHeartbeat(
        sender, heartbeat.storeReachable(), heartbeat.acceptsReplication());
    incarnations
        .dataLossReports()
        .heartbeatReceived(sender, heartbeat.leader(), heartbeat.leaderEpoch());
    if (heartbeat.leader() != null) {
      leaderObserver.observeEpoch(heartbeat.leader(), heartbeat.leaderEpoch());
    }
    if (sender.equals(heartbeat.leader())) {
      handleLeadershipClaim(sender, heartbeat.leaderEpoch());
    }
  }

  private void handleLeadershipClaim(String claimant, long claimedEpoch) {
    if (election.holdsKey() && claimedEpoch > election.epoch()) {
      election.stepDown(claimant + " is leader since epoch " + claimedEpoch);
    }
    if (!leaderObserver.observeClaim(claimant, claimedEpoch)) {
      return;
    }
    // The leader key states whether the claimant accepts forwarded heartbeats; it will be read if
    // the store answers. While the store does not answer, agents are redirected to the claimant.
    if (context.store().failingForS() == 0) {
      heartbeatForwarder.leaderChanged(null, 0, false);
    } else {
      heartbeatForwarder.leaderChanged(claimant, claimedEpoch, false);
    }
  }
}
