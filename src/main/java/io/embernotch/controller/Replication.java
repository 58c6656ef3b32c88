package io.embernotch.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.leader.Leader;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.replication.KnowledgeServer;
import io.embernotch.replication.LocalKnowledge;
import io.embernotch.replication.ReplicaFeed;
import io.embernotch.replication.StateReplicator;
import io.embernotch.replication.StoreReplica;
import io.embernotch.snapshot.BaseSnapshot;

/**
 * The replica of this controller through its roles: fed while it follows, at rest while data is
 * lost, and empty while it leads, since the leader's cluster state holds more.
 */
final class Replication {
  private final StoreReplica replica;
  private final ReplicaFeed feed;
  private final StateReplicator replicator;
  private final KnowledgeServer knowledgeServer;
  private final StoreIncarnationTracker incarnations;
  private final LeaderElection election;
  private final LeaderObserver leaderObserver;
  private final LocalLeader localLeader;
  private final JobAnnouncements jobAnnouncements;

  Replication(
      ControllerContext context,
      PeerLink peers,
      PeerLiveness peerLiveness,
      StoreReplica replica,
      LocalKnowledge knowledge,
      StoreIncarnationTracker incarnations,
      LeaderElection election,
      LeaderObserver leaderObserver,
      LocalLeader localLeader,
      JobAnnouncements jobAnnouncements) {
    this.replica = replica;
    this.feed = new ReplicaFeed(context, replica);
    this.replicator =
        new StateReplicator(context, peers, peerLiveness, replica, feed, this::intactIncarnation);
    this.knowledgeServer = new KnowledgeServer(knowledge);
    this.incarnations = incarnations;
    this.election = election;
    this.leaderObserver = leaderObserver;
    this.localLeader = localLeader;
    this.jobAnnouncements = jobAnnouncements;
    context.store().setCommitListener(replicator);
  }

  /** The name of the incarnation whose contents are intact; null while there is none. */
  private String intactIncarnation() {
    return incarnations.isIntact() ? incarnations.name() : null;
  }

  /** The store holds an incarnation that began with this snapshot. */
  void incarnationSettled(BaseSnapshot base) {
    if (election.holdsKey()) {
      // This node is about to lead, and reads the store for that.
      feed.rest();
      replica.reset(base);
    } else {
      feed.begin(base);
    }
  }

  /** Data is lost: what is held of it stays as it is. */
  void dataLost() {
    feed.rest();
  }

  /** This node leads no more. */
  void leadershipLost() {
    if (intactIncarnation() != null) {
      feed.begin(incarnations.base());
    }
  }

  /** Called a few times in a heartbeat interval: forgets what something else holds as well. */
  void tick() {
    boolean leads = localLeader.current().map(Leader::isLoaded).orElse(false);
    if (leads) {
      localLeader.forgetFormer();
    }
    if (leads && feed.isActive()) {
      feed.clear();
    }
    boolean superseded =
        localLeader
            .former()
            .map(former -> former.leader().epoch() < leaderObserver.highestEpoch())
            .orElse(false);
    if (superseded && feed.isFollowing()) {
      localLeader.forgetFormer();
    }
  }

  /** Another controller has committed something. */
  void received(Frame.StateUpdate update, PeerLink.ReplyChannel replies) {
    if (feed.isActive()) {
      replicator.received(update, replies);
    }
    boolean passedOn =
        localLeader.isPresent()
            && update.incarnation().equals(intactIncarnation())
            && jobAnnouncements.committed(update);
    // A leader that has not read the store yet may end without having taken the job over.
    if (passedOn && !feed.isActive() && localLeader.current().map(Leader::isLoaded).orElse(false)) {
      replies.send(new Frame.StateUpdateAck(update.id()));
    }
  }

  /** Another controller holds what was committed here. */
  void acknowledged(Frame.StateUpdateAck acknowledgement) {
    replicator.acknowledged(acknowledgement);
  }

  /** Another controller asks what is known here of contents that are lost. */
  void asked(Frame.KnowledgeRequest request, PeerLink.ReplyChannel replies) {
    knowledgeServer.answer(request, replies);
  }

  /** Adds how current the replica is to an overview. */
  void describe(ObjectNode into) {
    into.put("following", feed.isFollowing());
    into.put("bytes", replica.bytes());
    into.put("evicted", replica.hasEvicted());
    into.put("unreplicated", replicator.unreplicated());
  }
}
