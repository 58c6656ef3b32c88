package io.embernotch.controller;

import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.forwarding.PendingRequests;
import io.embernotch.http.HttpResponse;
import io.embernotch.leader.Leader;
import io.embernotch.leader.LeaderMessage;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.straggler.Restart;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;

/** Sends requests, heartbeats and restart proposals to the leader, local or on another node. */
final class LeaderClient {
  /**
   * Used in place of a forwarding controller's process incarnation for a heartbeat that the agent
   * sent to this controller directly.
   */
  static final long RECEIVED_DIRECTLY = 0;

  private final String node;
  private final PeerLink peers;
  private final PendingRequests pendingRequests;
  private final PeerLiveness peerLiveness;
  private final LeaderObserver leaderObserver;
  private final LeaderElection election;
  private final LocalLeader localLeader;

  LeaderClient(
      String node,
      PeerLink peers,
      PendingRequests pendingRequests,
      PeerLiveness peerLiveness,
      LeaderObserver leaderObserver,
      LeaderElection election,
      LocalLeader localLeader) {
    this.node = node;
    this.peers = peers;
    this.pendingRequests = pendingRequests;
    this.peerLiveness = peerLiveness;
    this.leaderObserver = leaderObserver;
    this.election = election;
    this.localLeader = localLeader;
  }

  /**
   * Forwards a user's request to the leader.
   *
   * @param ref id of the job; "" for an overview
   * @param timeoutS seconds to wait for an answer from another node; a local leader has no timeout
   * @return the leader's answer, or 503 if there is none in time
   */
  Future<HttpResponse> request(Frame.ForwardedRequest.Kind kind, String ref, double timeoutS) {
    Promise<HttpResponse> reply = Promise.promise();
    if (localLeader.send(new LeaderMessage.UserRequest(kind, ref, reply))) {
      return reply.future();
    }
    String leader = leaderObserver.node();
    if (leader == null || !peerLiveness.isLive(leader)) {
      return Future.succeededFuture(HttpResponse.unavailable("no steward is known"));
    }
    return pendingRequests.send(leader, id -> new Frame.ForwardedRequest(id, kind, ref), timeoutS);
  }

  /**
   * Delivers an agent's heartbeat to the local leader.
   *
   * @param forwarderIncarnation process incarnation of the controller that forwarded the heartbeat,
   *     or {@link #RECEIVED_DIRECTLY}
   * @return the leader's answer; 503 if this node does not lead, or if its lease and the grace
   *     period after it have expired
   */
  Future<HttpResponse> deliverHeartbeat(Heartbeat heartbeat, long forwarderIncarnation) {
    Leader leader = localLeader.current().orElse(null);
    if (leader == null || election.leaseExpiredForS() > leader.gracePeriodS()) {
      return Future.succeededFuture(HttpResponse.unavailable("leadership is not proven"));
    }
    Promise<byte[]> reply = Promise.promise();
    leader.send(new LeaderMessage.HeartbeatReceived(heartbeat, forwarderIncarnation, reply));
    return reply
        .future()
        .map(
            body ->
                body == null ? HeartbeatForwarder.misdirected(null) : HttpResponse.of(200, body));
  }

  /**
   * Proposes restarts to the leader; dropped if no leader is known.
   *
   * @param epoch epoch of the leader whose machine views the proposals are based on; other leaders
   *     ignore them
   */
  void proposeRestarts(long epoch, List<Restart> restarts) {
    Leader leader = localLeader.current().orElse(null);
    if (leader != null && leader.epoch() == epoch) {
      leader.send(new LeaderMessage.RestartsProposed(node, restarts));
    } else if (leaderObserver.node() != null) {
      peers.send(leaderObserver.node(), new Frame.RestartProposals(node, epoch, restarts));
    }
  }
}
