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
 * Requests what other controllers know: from all of them about contents that the store has lost, or
 * from a single one about current contents that this controller can't read. Controllers that do not
 * answer in time are left out. Owned by the controller's event loop.
 */
public final class KnowledgeCollector {
  private static final Logger LOG = LoggerFactory.getLogger(KnowledgeCollector.class);

  /** Loss epoch of a request for the current contents, which reports no loss. */
  static final long NO_LOSS = 0;

  /** Status of a response that contains a part. */
  static final int OK = 200;

  /** Status of a response whose sender knows a later incarnation, which resolved the loss. */
  static final int LOSS_RESOLVED = 409;

  /** Status of a response whose sender does not have the requested part, or no longer has it. */
  static final int NO_SUCH_PART = 404;

  /** The timeout of a request for a part is a heartbeat interval divided by this. */
  private static final double PART_TIMEOUTS_PER_HEARTBEAT = 4;

  private final ControllerContext context;
  private final PendingRequests requests;
  private final PeerLiveness peerLiveness;
  private final LocalKnowledge local;
  private final double partTimeoutS;

  /**
   * Creates a collector; it sends nothing until it is called.
   *
   * @param local is notified when another controller reports that the loss is resolved
   */
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
   * Requests what every other controller knows about lost contents.
   *
   * @param lossEpoch epoch that identifies the loss
   * @return the answers; an empty element for each controller that did not answer in time
   */
  public Future<List<Optional<Knowledge>>> collect(long lossEpoch) {
    List<Future<Optional<Knowledge>>> answers = new ArrayList<>();
    for (Settings.Member member : context.settings().members()) {
      answers.add(request(member.node(), lossEpoch));
    }
    return Future.all(answers).map(all -> answers.stream().map(Future::result).toList());
  }

  /** Requests what one controller knows of the current contents; empty if it sends none. */
  Future<Optional<Knowledge>> requestCurrentContents(String node) {
    return request(node, NO_LOSS);
  }

  private Future<Optional<Knowledge>> request(String node, long lossEpoch) {
    // Don't wait for a controller that has just failed: this controller may fail as soon.
    if (!peerLiveness.liveReplicas().contains(node) || !requests.canSend(node)) {
      return Future.succeededFuture(Optional.empty());
    }
    return new Download(node, lossEpoch).requestNextPart();
  }

  /** Requests the parts of one controller's knowledge, one after the other. */
  private final class Download {
    private final String node;
    private final long lossEpoch;
    private final List<byte[]> parts = new ArrayList<>();

    Download(String node, long lossEpoch) {
      this.node = node;
      this.lossEpoch = lossEpoch;
    }

    /** Requests the next part, and then those after it; empty unless all parts arrive. */
    Future<Optional<Knowledge>> requestNextPart() {
      String self = context.settings().node();
      return requests
          .send(
              node,
              id -> new Frame.KnowledgeRequest(id, self, lossEpoch, parts.size()),
              partTimeoutS)
          .compose(this::handleResponse);
    }

    private Future<Optional<Knowledge>> handleResponse(HttpResponse response) {
      if (response.status() == LOSS_RESOLVED && lossEpoch != NO_LOSS) {
        local.lossResolved();
      }
      if (response.status() != OK) {
        return Future.succeededFuture(Optional.empty());
      }
      try {
        KnowledgePart part = KnowledgePart.parseFrom(response.body());
        parts.add(part.getBytes().toByteArray());
        return parts.size() < part.getParts()
            ? requestNextPart()
            : Future.succeededFuture(
                Optional.of(new PackedKnowledge(parts, part.getCrc()).unpack()));
      } catch (InvalidProtocolBufferException | MalformedInputException e) {
        LOG.warn("ignoring the answer of {}, which can't be read: {}", node, e.getMessage());
        return Future.succeededFuture(Optional.empty());
      }
    }
  }
}
