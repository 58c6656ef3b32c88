package io.embernotch.replication;

import com.google.protobuf.ByteString;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.replication.proto.ReplicationProto.KnowledgePart;
import java.util.HashMap;
import java.util.Map;

/**
 * Answers other controllers that ask what is known here of the contents that the store has lost, or
 * that it holds and they can't read. A part is sent for each question, since a connection that is
 * congested drops frames. Owned by the controller's event loop.
 */
public final class KnowledgeServer {
  private final LocalKnowledge local;

  /** What was last packed for each controller, by its name. */
  private final Map<String, PackedKnowledge> packed = new HashMap<>();

  /** A server of what {@code local} knows. */
  public KnowledgeServer(LocalKnowledge local) {
    this.local = local;
  }

  /** Answers a question for one part; that for the first one fixes what all parts are of. */
  public void answer(Frame.KnowledgeRequest request, PeerLink.ReplyChannel replies) {
    if (request.lossEpoch() == KnowledgeCollector.NO_LOSS) {
      if (!local.holdsContents()) {
        refuse(request, KnowledgeCollector.NO_SUCH_PART, replies);
        return;
      }
    } else if (!local.lossHeard(request.node(), request.lossEpoch())) {
      refuse(request, KnowledgeCollector.LOSS_IS_OVER, replies);
      return;
    }
    if (request.part() == 0) {
      packed.put(request.node(), PackedKnowledge.of(local.knowledge()));
    }
    PackedKnowledge all = packed.get(request.node());
    if (all == null || request.part() < 0 || request.part() >= all.parts().size()) {
      refuse(request, KnowledgeCollector.NO_SUCH_PART, replies);
      return;
    }
    KnowledgePart part =
        KnowledgePart.newBuilder()
            .setParts(all.parts().size())
            .setCrc(all.crc())
            .setBytes(ByteString.copyFrom(all.parts().get(request.part())))
            .build();
    replies.send(new Frame.Response(request.id(), KnowledgeCollector.OK, 0, part.toByteArray()));
  }

  private void refuse(Frame.KnowledgeRequest request, int status, PeerLink.ReplyChannel replies) {
    packed.remove(request.node());
    replies.send(new Frame.Response(request.id(), status, 0, new byte[0]));
  }
}
