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

/** What controllers tell the leader of jobs that they have written. */
final class JobAnnouncements {
  private static final Logger LOG = LoggerFactory.getLogger(JobAnnouncements.class);

  private JobAnnouncements() {}

  /** A job's key was written at revision {@code epoch} of that incarnation. */
  static Frame of(ObjectNode value, String incarnation, long epoch) {
    return new Frame.JobAccepted(
        Json.bytes(IncarnationCodec.announcement(value, incarnation, epoch)));
  }

  /** Reads it; {@code incarnation}: the one that the leader knows. */
  static void received(
      byte[] value, String incarnation, StoreClient store, Consumer<LeaderMessage> leader) {
    try {
      ObjectNode o = Json.parseObject(value);
      LeaderMessage.JobAccepted job =
          new LeaderMessage.JobAccepted(
              JobProgressCodec.readJob(o), JobProgressCodec.readShardSize(o));
      if (!incarnation.isEmpty() && incarnation.equals(IncarnationCodec.announcedIncarnation(o))) {
        // Contents that were put back to just before it would else be taken for present.
        store.noteRevision(
            JobProgressCodec.JOB + job.job().spec.ref(), IncarnationCodec.announcedEpoch(o));
      }
      leader.accept(job);
    } catch (MalformedInputException e) {
      LOG.info("malformed job from a controller: {}", e.getMessage());
    }
  }
}
