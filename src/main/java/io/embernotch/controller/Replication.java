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
 * The replica of this controller through its roles: told by another controller until the store was
 * read, fed while it follows, at rest while data is lost, and empty while it leads, since the
 * leader's cluster state holds more.
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

  /** The name of the incarnation whose contents are intact; null while there is none. */
  private String intactIncarnation() {
    return incarnations.isIntact() ? incarnations.name() : null;
  }

  /** The name of the incarnation whose commits are taken here; null while there is none. */
  private String followedIncarnation() {
    boolean told = incarnations.toldIncarnation().isOnlyTold();
    return told ? incarnations.name() : intactIncarnation();
  }

  /** Whether the replica holds all that the store did when it was last followed. */
  boolean isFilled() {
    return feed.isFilled();
  }

  /**
   * Another controller is heard: it is asked for what the store has not told here yet, now and
   * then. By that it learns, too, that what it commits is taken here.
   */
  void peerHeard(String node) {
    boolean filled = feed.isFollowing() || election.holdsKey() || localLeader.former().isPresent();
    boolean lost = incarnations.lossNews().isTold();
    if (!filled && !lost && peerLiveness.replicates(node)) {
      bootstrap.ask(node, this::told);
    }
  }

  /** Another controller has told what it knows, and what was committed meanwhile. */
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
      LOG.warn("the incarnation that another controller tells can't be read: {}", e.getMessage());
    }
  }

  /** The store holds an incarnation that began with this snapshot. */
  void incarnationSettled(BaseSnapshot base) {
    if (bootstrap.isTold()) {
      bootstrap.add(replica.snapshot());
    }
    if (election.holdsKey()) {
      // This node is about to lead, and reads the store for that.
      feed.rest();
      replica.reset(base);
    } else {
      feed.begin(base);
      putToldBeneath();
    }
  }

  /** Data is lost: what is held of it stays as it is. */
  void dataLost() {
    feed.contentsLost();
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

  /** Another controller has committed something. */
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
    // Heartbeats of a controller that the store does not answer leave that open.
    peerLiveness.recordReplicates(request.node());
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
