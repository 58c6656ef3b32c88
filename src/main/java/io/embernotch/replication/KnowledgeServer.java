package io.embernotch.replication;

import com.google.protobuf.ByteString;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.replication.proto.ReplicationProto.KnowledgePart;
import java.util.HashMap;
import java.util.Map;

/**
 * Answers requests of other controllers for what this controller knows about the store's contents:
 * contents that the store has lost, or that the other controller can't read. Each request is
 * answered with a single part, since a congested connection drops frames. Owned by the controller's
 * event loop.
 */
public final class KnowledgeServer {
  private final LocalKnowledge local;

  /** The knowledge that is being sent to each controller, by the controller's name. */
  private final Map<String, PackedKnowledge> packedByNode = new HashMap<>();

  /** Creates a server that answers with what {@code local} knows. */
  public KnowledgeServer(LocalKnowledge local) {
    this.local = local;
  }

  /**
   * Answers a request for one part. A request for the first part takes a new copy of the knowledge;
   * requests for later parts are answered from that copy.
   */
  public void answer(Frame.KnowledgeRequest request, PeerLink.ReplyChannel replies) {
    if (request.lossEpoch() == KnowledgeCollector.NO_LOSS) {
      if (!local.holdsContents()) {
        refuse(request, KnowledgeCollector.NO_SUCH_PART, replies);
        return;
      }
    } else if (!local.lossReported(request.node(), request.lossEpoch())) {
      refuse(request, KnowledgeCollector.LOSS_RESOLVED, replies);
      return;
    }
    if (request.part() == 0) {
      packedByNode.put(request.node(), PackedKnowledge.of(local.knowledge()));
    }
    PackedKnowledge knowledge = packedByNode.get(request.node());
    if (knowledge == null || request.part() < 0 || request.part() >= knowledge.parts().size()) {
      refuse(request, KnowledgeCollector.NO_SUCH_PART, replies);
      return;
    }
    KnowledgePart part =
        KnowledgePart.newBuilder()
            .setParts(knowledge.parts().size())
            .setCrc(knowledge.crc())
            .setBytes(ByteString.copyFrom(knowledge.parts().get(request.part())))
            .build();
    replies.send(new Frame.Response(request.id(), KnowledgeCollector.OK, 0, part.toByteArray()));
  }

  private void refuse(Frame.KnowledgeRequest request, int status, PeerLink.ReplyChannel replies) {
    packedByNode.remove(request.node());
    replies.send(new Frame.Response(request.id(), status, 0, new byte[0]));
  }
}
