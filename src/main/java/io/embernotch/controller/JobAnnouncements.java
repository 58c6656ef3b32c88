package io.embernotch.controller;

import io.embernotch.leader.LeaderMessage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.peer.Frame;
import io.embernotch.store.StoreClient;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What controllers tell the leader of jobs that they have written. */
final class JobAnnouncements {
  private static final Logger LOG = LoggerFactory.getLogger(JobAnnouncements.class);

  private JobAnnouncements() {}

  /** A job's key was written at revision {@code epoch} of that era. */
  static Frame of(ObjectNode value, String era, long epoch) {
    return new Frame.JobAccepted(Json.bytes(IncarnationCodec.told(value, era, epoch)));
  }

  /** Reads it; {@code era}: the one that the leader knows. */
  static void heard(byte[] value, String era, StoreClient store, Consumer<LeaderMessage> leader) {
    try {
      ObjectNode o = Json.parseObject(value);
      LeaderMessage.JobAccepted job =
          new LeaderMessage.JobAccepted(JobProgressCodec.readJob(o), JobProgressCodec.readPiece(o));
      if (!era.isEmpty() && era.equals(IncarnationCodec.toldEra(o))) {
        // Contents that were put back to just before it would else be taken for present.
        store.told(JobProgressCodec.JOB + job.job().spec.ref(), IncarnationCodec.toldEpoch(o));
      }
      leader.accept(job);
    } catch (MalformedInputException e) {
      LOG.info("malformed job from a controller: {}", e.getMessage());
    }
  }
}
