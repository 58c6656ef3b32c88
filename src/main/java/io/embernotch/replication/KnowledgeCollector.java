package io.embernotch.replication;

import com.google.protobuf.InvalidProtocolBufferException;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.context.ControllerContext;
import io.embernotch.election.PeerLiveness;
import io.embernotch.forwarding.PendingRequests;
import io.embernotch.http.HttpResponse;
import io.embernotch.peer.Frame;
import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.replication.proto.ReplicationProto.KnowledgePart;
import io.embernotch.settings.Settings;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks other controllers what they know: all of them of contents that the store has lost, one of
 * present contents that can't be read. Whoever does not answer in time is left out. Owned by the
 * controller's event loop.
 */
public final class KnowledgeCollector {
  private static final Logger LOG = LoggerFactory.getLogger(KnowledgeCollector.class);

  /** In place of the epoch of a loss: none is told of, and the present contents are asked for. */
  static final long NO_LOSS = 0;

  /** Status of an answer that holds a part. */
  static final int OK = 200;

  /** Status of an answer: a later incarnation has begun, as the other controller knows. */
  static final int LOSS_IS_OVER = 409;

  /** Status of an answer: the part that was asked for does not exist, or not any more. */
  static final int NO_SUCH_PART = 404;

  /** A part is waited for a heartbeat interval divided by this. */
  private static final double PART_TIMEOUTS_PER_HEARTBEAT = 4;

  private final ControllerContext context;
  private final PendingRequests requests;
  private final PeerLiveness peerLiveness;
  private final LocalKnowledge local;
  private final double partTimeoutS;

  /** A collector that asks nobody yet. */
  public KnowledgeCollector(
      ControllerContext context,
      PendingRequests requests,
      PeerLiveness peerLiveness,
      LocalKnowledge local) {
    this.context = context;
    this.requests = requests;
    this.peerLiveness = peerLiveness;
    this.local = local;
    this.partTimeoutS =
        context.settings().workers().heartbeatIntervalS() / PART_TIMEOUTS_PER_HEARTBEAT;
  }

  /**
   * Asks everybody.
   *
   * @param lossEpoch the epoch by which this controller tells of the loss
   * @return what they know; one empty element for each that has not answered
   */
  public Future<List<Optional<Knowledge>>> collect(long lossEpoch) {
    List<Future<Optional<Knowledge>>> answers = new ArrayList<>();
    for (Settings.Member member : context.settings().members()) {
      answers.add(ask(member.node(), lossEpoch));
    }
    return Future.all(answers).map(all -> answers.stream().map(Future::result).toList());
  }

  /** Asks one controller what it knows of the present contents; empty if it does not tell. */
  Future<Optional<Knowledge>> askForPresent(String node) {
    return ask(node, NO_LOSS);
  }

  private Future<Optional<Knowledge>> ask(String node, long lossEpoch) {
    // Whoever has just ended is not waited for: the asker may end as soon.
    if (!peerLiveness.liveReplicas().contains(node) || !requests.canSend(node)) {
      return Future.succeededFuture(Optional.empty());
    }
    return new Download(node, lossEpoch).next();
  }

  /** The parts of what one controller knows. */
  private final class Download {
    private final String node;
    private final long lossEpoch;
    private final List<byte[]> parts = new ArrayList<>();

    Download(String node, long lossEpoch) {
      this.node = node;
      this.lossEpoch = lossEpoch;
    }

    /** Asks for the next part, and for those after it. */
    Future<Optional<Knowledge>> next() {
      String self = context.settings().node();
      return requests
          .send(
              node,
              id -> new Frame.KnowledgeRequest(id, self, lossEpoch, parts.size()),
              partTimeoutS)
          .compose(this::answered);
    }

    private Future<Optional<Knowledge>> answered(HttpResponse response) {
      if (response.status() == LOSS_IS_OVER && lossEpoch != NO_LOSS) {
        local.lossIsOver();
      }
      if (response.status() != OK) {
        return Future.succeededFuture(Optional.empty());
      }
      try {
        KnowledgePart part = KnowledgePart.parseFrom(response.body());
        parts.add(part.getBytes().toByteArray());
        return parts.size() < part.getParts()
            ? next()
            : Future.succeededFuture(
                Optional.of(new PackedKnowledge(parts, part.getCrc()).unpack()));
      } catch (InvalidProtocolBufferException | MalformedInputException e) {
        LOG.warn("what {} knows can't be read: {}", node, e.getMessage());
        return Future.succeededFuture(Optional.empty());
      }
    }
  }
}
