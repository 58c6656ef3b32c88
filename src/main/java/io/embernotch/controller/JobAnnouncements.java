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

/** Announcements to the leader of jobs that a controller has accepted and written to the store. */
final class JobAnnouncements {
  private static final Logger LOG = LoggerFactory.getLogger(JobAnnouncements.class);

  private final StoreClient store;
  private final PeerLink peers;
  private final StoreIncarnationTracker incarnations;
  private final LeaderObserver leaderObserver;
  private final LocalLeader localLeader;
  private final int shardSize;

  /**
   * @param shardSize number of tasks of a job that this node keeps in one shard
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
   * Announces a job that this controller has accepted, if a leader is known.
   *
   * @param value what was written to the job's key
   * @param revision store revision of the write
   */
  void announce(Job job, ObjectNode value, long revision) {
    boolean leaderIsHere = localLeader.tell(new LeaderMessage.JobAccepted(job, shardSize));
    if (!leaderIsHere && leaderObserver.node() != null) {
      ObjectNode announcement = IncarnationCodec.announcement(value, incarnations.name(), revision);
      peers.send(leaderObserver.node(), new Frame.JobAccepted(Json.bytes(announcement)));
    }
  }

  /**
   * Passes jobs that another controller has committed to the leader, which is here.
   *
   * @return whether the leader knows of all that the update holds, and so acknowledges it
   */
  boolean committed(Frame.StateUpdate update) {
    boolean allPassedOn = true;
    for (Frame.StateEntry entry : update.entries()) {
      allPassedOn &= entry.key().startsWith(JobProgressCodec.JOB) && passOn(entry, update);
    }
    return allPassedOn;
  }

  private boolean passOn(Frame.StateEntry entry, Frame.StateUpdate update) {
    try {
      StoredSubmission committed = StoredSubmission.read(Json.parseObject(entry.value()));
      store.noteRevision(entry.key(), update.revision());
      return localLeader.tell(
          new LeaderMessage.JobAccepted(committed.job(), committed.shardSize()));
    } catch (MalformedInputException e) {
      LOG.info("malformed job from a controller: {}", e.getMessage());
      return false;
    }
  }

  /** Passes another controller's announcement to the leader, if that is here. */
  void received(Frame.JobAccepted frame) {
    if (!localLeader.isPresent()) {
      return;
    }
    try {
      ObjectNode value = Json.parseObject(frame.value());
      StoredSubmission announced = StoredSubmission.read(value);
      LeaderMessage.JobAccepted accepted =
          new LeaderMessage.JobAccepted(announced.job(), announced.shardSize());
      String incarnation = incarnations.name();
      if (!incarnation.isEmpty()
          && incarnation.equals(IncarnationCodec.announcedIncarnation(value))) {
        // Without it, contents restored to a state just before the write would pass for current.
        store.noteRevision(
            JobProgressCodec.JOB + accepted.job().spec.ref(),
            IncarnationCodec.announcedEpoch(value));
      }
      localLeader.tell(accepted);
    } catch (MalformedInputException e) {
      LOG.info("malformed job from a controller: {}", e.getMessage());
    }
  }
}
