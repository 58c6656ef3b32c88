package io.embernotch.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.election.LeaderObserver;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.leader.LeaderMessage;
import io.embernotch.model.Job;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.persistence.StoredSubmission;
import io.embernotch.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Announces jobs to the leader that a controller has accepted and written to the store. */
final class JobAnnouncements {
  private static final Logger LOG = LoggerFactory.getLogger(JobAnnouncements.class);

  private final StoreClient store;
  private final PeerLink peers;
  private final StoreIncarnationTracker incarnations;
  private final LeaderObserver leaderObserver;
  private final LocalLeader localLeader;
  private final int shardSize;

  /**
   * @param shardSize number of tasks per shard in the jobs that this controller accepts
   */
  JobAnnouncements(
      StoreClient store,
      PeerLink peers,
      StoreIncarnationTracker incarnations,
      LeaderObserver leaderObserver,
      LocalLeader localLeader,
      int shardSize) {
    this.store = store;
    this.peers = peers;
    this.incarnations = incarnations;
    this.leaderObserver = leaderObserver;
    this.localLeader = localLeader;
    this.shardSize = shardSize;
  }

  /**
   * Announces a job that this controller has accepted to the leader, if one is known.
   *
   * @param value the value written to the job's key
   * @param revision store revision of the write
   */
  void announce(Job job, ObjectNode value, long revision) {
    boolean deliveredLocally = localLeader.send(new LeaderMessage.JobAccepted(job, shardSize));
    if (!deliveredLocally && leaderObserver.node() != null) {
      ObjectNode announcement =
          IncarnationCodec.writeAnnouncement(value, incarnations.name(), revision);
      peers.send(leaderObserver.node(), new Frame.JobAccepted(Json.bytes(announcement)));
    }
  }

  /**
   * Delivers jobs that another controller has committed to the local leader.
   *
   * @return true if the local leader received every entry of the update, so that the update can be
   *     acknowledged; false also if an entry is not a job or is malformed
   */
  boolean deliverCommitted(Frame.StateUpdate update) {
    boolean allDelivered = true;
    for (Frame.StateEntry entry : update.entries()) {
      allDelivered &= entry.key().startsWith(JobProgressCodec.JOB_PREFIX) && deliver(entry, update);
    }
    return allDelivered;
  }

  private boolean deliver(Frame.StateEntry entry, Frame.StateUpdate update) {
    try {
      StoredSubmission submission = StoredSubmission.read(Json.parseObject(entry.value()));
      store.recordRemoteWrite(entry.key(), update.revision());
      return localLeader.send(
          new LeaderMessage.JobAccepted(submission.job(), submission.shardSize()));
    } catch (MalformedInputException e) {
      LOG.info("malformed job from a controller: {}", e.getMessage());
      return false;
    }
  }

  /** Delivers another controller's announcement to the local leader, if this node leads. */
  void handleAnnouncement(Frame.JobAccepted frame) {
    if (!localLeader.isPresent()) {
      return;
    }
    try {
      ObjectNode value = Json.parseObject(frame.value());
      StoredSubmission submission = StoredSubmission.read(value);
      LeaderMessage.JobAccepted accepted =
          new LeaderMessage.JobAccepted(submission.job(), submission.shardSize());
      String incarnation = incarnations.name();
      if (!incarnation.isEmpty()
          && incarnation.equals(IncarnationCodec.readAnnouncedIncarnation(value))) {
        // Otherwise a rollback of the store to a state just before this write would go undetected.
        store.recordRemoteWrite(
            JobProgressCodec.JOB_PREFIX + accepted.job().spec.ref(),
            IncarnationCodec.readAnnouncedRevision(value));
      }
      localLeader.send(accepted);
    } catch (MalformedInputException e) {
      LOG.info("malformed job from a controller: {}", e.getMessage());
    }
  }
}
