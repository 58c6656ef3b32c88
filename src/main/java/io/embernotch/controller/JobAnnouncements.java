package io.embernotch.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.leader.LeaderMessage;
import io.embernotch.peer.Frame;
import io.embernotch.store.StoreClient;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Announcements to the leader of jobs that another controller has written to the store. */
final class JobAnnouncements {
  private static final Logger LOG = LoggerFactory.getLogger(JobAnnouncements.class);

  private JobAnnouncements() {}

  /**
   * The announcement of a job.
   *
   * @param value what was written to the job's key
   * @param incarnation name of the store incarnation that it was written to
   * @param revision store revision of the write
   */
  static Frame of(ObjectNode value, String incarnation, long revision) {
    return new Frame.JobAccepted(Json.bytes(IncarnationCodec.told(value, incarnation, revision)));
  }

  /**
   * Reads an announcement and passes the job on; one that is malformed is logged and dropped.
   *
   * @param incarnation name of the store incarnation that the leader knows, "" if there is none
   */
  static void received(
      byte[] announcement, String incarnation, StoreClient store, Consumer<LeaderMessage> leader) {
    try {
      ObjectNode value = Json.parseObject(announcement);
      LeaderMessage.JobAccepted accepted =
          new LeaderMessage.JobAccepted(
              JobProgressCodec.readJob(value), JobProgressCodec.readShardSize(value));
      if (!incarnation.isEmpty() && incarnation.equals(IncarnationCodec.toldIncarnation(value))) {
        // Without it, contents restored to a state just before the write would pass for current.
        store.noteRevision(
            JobProgressCodec.JOB + accepted.job().spec.ref(), IncarnationCodec.toldEpoch(value));
      }
      leader.accept(accepted);
    } catch (MalformedInputException e) {
      LOG.info("malformed job from a controller: {}", e.getMessage());
    }
  }
}
