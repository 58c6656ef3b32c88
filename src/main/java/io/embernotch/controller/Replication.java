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
      RestoreSource restoreSource,
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
    this.bootstrap = restoreSource.bootstrap();
    this.knowledgeServer = new KnowledgeServer(restoreSource);
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
    boolean onlyReported = incarnations.incarnationExchange().isReportedOnly();
    return onlyReported ? incarnations.name() : intactIncarnation();
  }

  /** Returns whether the replica holds all that the store held when it was last followed. */
  boolean isFilled() {
    return feed.isFilled();
  }

  /**
   * Handles the arrival of another controller's heartbeat. Until this controller has read the store
   * itself, it requests the contents from the sender, at most once per heartbeat interval. The
   * request also shows the sender that this controller accepts updates.
   */
  void handlePeerHeartbeat(String node) {
    boolean hasOwnContents =
        feed.isFollowing() || election.holdsKey() || localLeader.former().isPresent();
    boolean reportsLoss = incarnations.dataLossReports().isLossUnresolved();
    if (!hasOwnContents && !reportsLoss && peerLiveness.acceptsReplication(node)) {
      bootstrap.requestContents(node, this::applyReportedContents);
    }
  }

  /**
   * Applies the contents that other controllers have reported to the replica.
   *
   * @param knowledge all that was reported so far
   * @param updates updates that arrived while the answer was pending
   */
  private void applyReportedContents(Knowledge knowledge, List<Frame.StateUpdate> updates) {
    if (feed.isFollowing() || election.holdsKey()) {
      bootstrap.finish();
      return;
    }
    String followedBefore = followedIncarnation();
    observeReportedIncarnation(knowledge);
    String followed = followedIncarnation();
    boolean isStoreUnread = incarnations.incarnationExchange().isReportedOnly();
    if (isStoreUnread && !followed.equals(followedBefore)) {
      bootstrap.mergeState(replica.snapshot());
      feed.awaitStore();
    }
    setReportedBase();
    updates.stream()
        .filter(update -> update.incarnation().equals(followed))
        .forEach(replicator::apply);
  }

  private void setReportedBase() {
    if (bootstrap.hasReport()) {
      long since = incarnations.incarnationExchange().since();
      replica.setProvisionalBase(new BaseSnapshot(bootstrap.reported().getState(), since));
    }
  }

  private void observeReportedIncarnation(Knowledge knowledge) {
    if (!knowledge.hasPointer()) {
      return;
    }
    try {
      StoreIncarnation incarnation =
          IncarnationCodec.read(
              Json.parseObject(knowledge.getPointer().toByteArray()),
              knowledge.getPointerModRevision());
      incarnations.incarnationExchange().observe(incarnation, knowledge.getRevision());
    } catch (MalformedInputException e) {
      LOG.warn("malformed incarnation from a controller: {}", e.getMessage());
    }
  }

  /** Restarts the replica: the store holds an incarnation that began with this snapshot. */
  void incarnationAdopted(BaseSnapshot baseSnapshot) {
    if (bootstrap.hasReport()) {
      bootstrap.mergeState(replica.snapshot());
    }
    if (election.holdsKey()) {
      // This node is about to lead, and its leader reads the store by itself.
      feed.stop();
      replica.reset(baseSnapshot);
    } else {
      feed.start(baseSnapshot);
      setReportedBase();
    }
  }

  /** Stops updating the replica, which keeps its contents while data is lost. */
  void stopUpdating() {
    feed.stopAfterLoss();
  }

  /** Starts to fill the replica again once this node no longer leads. */
  void leadershipLost() {
    if (intactIncarnation() != null) {
      feed.start(incarnations.baseSnapshot());
    }
  }

  /**
   * Discards contents that another component holds as well. Called several times per heartbeat
   * interval.
   */
  void tick() {
    boolean isLeaderLoaded = localLeader.current().map(Leader::isLoaded).orElse(false);
    if (isLeaderLoaded) {
      localLeader.forgetFormer();
    }
    if (isLeaderLoaded || feed.isFollowing()) {
      bootstrap.finish();
    }
    if (isLeaderLoaded && feed.isActive()) {
      feed.clear();
    }
    boolean isFormerTermSuperseded =
        localLeader
            .former()
            .map(former -> former.leader().epoch() < leaderObserver.highestEpoch())
            .orElse(false);
    if (isFormerTermSuperseded && feed.isFollowing()) {
      localLeader.forgetFormer();
    }
  }

  /** Handles an update that another controller has committed. */
  void handleUpdate(Frame.StateUpdate update, PeerLink.ReplyChannel replies) {
    if (feed.isActive()) {
      replicator.handleUpdate(update, replies);
    } else if (bootstrap.isRequesting()) {
      bootstrap.bufferUpdate(update);
    }
    boolean deliveredToLeader =
        localLeader.isPresent()
            && update.incarnation().equals(intactIncarnation())
            && jobAnnouncements.deliverCommitted(update);
    // A leader that has not loaded the store yet may stop before the job is part of its state, so
    // it does not acknowledge the update.
    if (deliveredToLeader
        && !feed.isActive()
        && localLeader.current().map(Leader::isLoaded).orElse(false)) {
      replies.send(new Frame.StateUpdateAck(update.id()));
    }
  }

  /** Handles another controller's acknowledgement of an update from this controller. */
  void handleAck(Frame.StateUpdateAck acknowledgement) {
    replicator.handleAck(acknowledgement);
  }

  /** Answers another controller that requests this controller's knowledge of the contents. */
  void handleKnowledgeRequest(Frame.KnowledgeRequest request, PeerLink.ReplyChannel replies) {
    // The heartbeats of a controller that the store does not answer do not state whether it
    // replicates; its request does.
    peerLiveness.recordReplicationAccepted(request.node());
    knowledgeServer.answer(request, replies);
  }

  /** Adds the state of the replica to an overview. */
  void describe(ObjectNode target) {
    target.put("following", feed.isFollowing());
    target.put("bytes", replica.bytes());
    target.put("evicted", replica.hasEvicted());
    target.put("unreplicated", replicator.unreplicatedCommits());
  }
}
