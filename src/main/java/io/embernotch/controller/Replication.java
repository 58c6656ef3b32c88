package io.embernotch.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.leader.Leader;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.replication.KnowledgeServer;
import io.embernotch.replication.ReplicaBootstrap;
import io.embernotch.replication.ReplicaFeed;
import io.embernotch.replication.StateReplicator;
import io.embernotch.replication.StoreReplica;
import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.snapshot.BaseSnapshot;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages this controller's replica of the store as the controller changes roles.
 *
 * <ul>
 *   <li>Until the store has been read, the replica holds what other controllers report.
 *   <li>While this controller follows, the replica is updated from the store and by other
 *       controllers.
 *   <li>While data is lost, the replica keeps its contents and is not updated.
 *   <li>While this controller leads, the replica is empty, since the leader's cluster state holds
 *       more.
 * </ul>
 */
final class Replication {
  private static final Logger LOG = LoggerFactory.getLogger(Replication.class);

  private final StoreReplica replica;
  private final ReplicaFeed feed;
  private final StateReplicator replicator;
  private final KnowledgeServer knowledgeServer;
  private final ReplicaBootstrap bootstrap;
  private final PeerLiveness peerLiveness;
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
      RestoreSource knowledge,
      StoreIncarnationTracker incarnations,
      LeaderElection election,
      LeaderObserver leaderObserver,
      LocalLeader localLeader,
      JobAnnouncements jobAnnouncements) {
    this.replica = replica;
    this.feed = new ReplicaFeed(context, replica);
    this.replicator =
        new StateReplicator(context, peers, peerLiveness, replica, feed, this::followedIncarnation);
    this.peerLiveness = peerLiveness;
    this.bootstrap = knowledge.bootstrap();
    this.knowledgeServer = new KnowledgeServer(knowledge);
    this.incarnations = incarnations;
    this.election = election;
    this.leaderObserver = leaderObserver;
    this.localLeader = localLeader;
    this.jobAnnouncements = jobAnnouncements;
    context.store().setCommitListener(replicator);
  }

  /** Returns the name of the current incarnation; null unless its contents are intact. */
  private String intactIncarnation() {
    return incarnations.isIntact() ? incarnations.name() : null;
  }

  /**
   * Returns the name of the incarnation whose updates this controller applies: the intact one, or
   * before the store was read the one that another controller reported. Null if there is none.
   */
  private String followedIncarnation() {
    boolean told = incarnations.toldIncarnation().isOnlyTold();
    return told ? incarnations.name() : intactIncarnation();
  }

  /** Returns whether the replica holds all that the store held when it was last followed. */
  boolean isFilled() {
    return feed.isFilled();
  }

  /**
   * Handles the arrival of another controller's heartbeat. While this controller holds no contents
   * of the store, it requests them from the sender once per heartbeat interval. The request also
   * shows the sender that this controller accepts updates.
   */
  void peerHeard(String node) {
    boolean filled = feed.isFollowing() || election.holdsKey() || localLeader.former().isPresent();
    boolean lost = incarnations.lossNews().isTold();
    if (!filled && !lost && peerLiveness.replicates(node)) {
      bootstrap.ask(node, this::told);
    }
  }

  /**
   * Applies the contents that other controllers have reported to the replica.
   *
   * @param knowledge all that was reported so far
   * @param updates updates that arrived while the answer was pending
   */
  private void told(Knowledge knowledge, List<Frame.StateUpdate> updates) {
    if (feed.isFollowing() || election.holdsKey()) {
      bootstrap.finish();
      return;
    }
    String followedBefore = followedIncarnation();
    incarnationTold(knowledge);
    String followed = followedIncarnation();
    boolean isUnread = incarnations.toldIncarnation().isOnlyTold();
    if (isUnread && !followed.equals(followedBefore)) {
      bootstrap.add(replica.snapshot());
      feed.awaitStore();
    }
    putToldBeneath();
    updates.stream()
        .filter(update -> update.incarnation().equals(followed))
        .forEach(replicator::take);
  }

  private void putToldBeneath() {
    if (bootstrap.isTold()) {
      long since = incarnations.toldIncarnation().since();
      replica.putBeneath(new BaseSnapshot(bootstrap.told().getState(), since));
    }
  }

  private void incarnationTold(Knowledge knowledge) {
    if (!knowledge.hasPointer()) {
      return;
    }
    try {
      StoreIncarnation incarnation =
          IncarnationCodec.read(
              Json.parseObject(knowledge.getPointer().toByteArray()),
              knowledge.getPointerModRevision());
      incarnations.toldIncarnation().observe(incarnation, knowledge.getRevision());
    } catch (MalformedInputException e) {
      LOG.warn("malformed incarnation from a controller: {}", e.getMessage());
    }
  }

  /** Restarts the replica: the store holds an incarnation that began with this snapshot. */
  void incarnationSettled(BaseSnapshot base) {
    if (bootstrap.isTold()) {
      bootstrap.add(replica.snapshot());
    }
    if (election.holdsKey()) {
      // This node is about to lead, and its leader reads the store by itself.
      feed.rest();
      replica.reset(base);
    } else {
      feed.begin(base);
      putToldBeneath();
    }
  }

  /** Stops updating the replica, which keeps its contents while data is lost. */
  void dataLost() {
    feed.contentsLost();
  }

  /** Starts to fill the replica again once this node no longer leads. */
  void leadershipLost() {
    if (intactIncarnation() != null) {
      feed.begin(incarnations.base());
    }
  }

  /**
   * Discards contents that another component holds as well. Called several times per heartbeat
   * interval.
   */
  void tick() {
    boolean leads = localLeader.current().map(Leader::isLoaded).orElse(false);
    if (leads) {
      localLeader.forgetFormer();
    }
    if (leads || feed.isFollowing()) {
      bootstrap.finish();
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

  /** Handles an update that another controller has committed. */
  void received(Frame.StateUpdate update, PeerLink.ReplyChannel replies) {
    if (feed.isActive()) {
      replicator.received(update, replies);
    } else if (bootstrap.isAsking()) {
      bootstrap.hold(update);
    }
    boolean passedOn =
        localLeader.isPresent()
            && update.incarnation().equals(intactIncarnation())
            && jobAnnouncements.committed(update);
    // A leader that has not loaded the store yet may stop before the job is part of its state, so
    // it does not acknowledge the update.
    if (passedOn && !feed.isActive() && localLeader.current().map(Leader::isLoaded).orElse(false)) {
      replies.send(new Frame.StateUpdateAck(update.id()));
    }
  }

  /** Handles another controller's acknowledgement of an update from this controller. */
  void acknowledged(Frame.StateUpdateAck acknowledgement) {
    replicator.acknowledged(acknowledgement);
  }

  /** Answers another controller that requests this controller's knowledge of the contents. */
  void asked(Frame.KnowledgeRequest request, PeerLink.ReplyChannel replies) {
    // The heartbeats of a controller that the store does not answer do not state whether it
    // replicates; its request does.
    peerLiveness.recordReplicates(request.node());
    knowledgeServer.answer(request, replies);
  }

  /** Adds the state of the replica to an overview. */
  void describe(ObjectNode into) {
    into.put("following", feed.isFollowing());
    into.put("bytes", replica.bytes());
    into.put("evicted", replica.hasEvicted());
    into.put("unreplicated", replicator.unreplicated());
  }
}
