package io.embernotch.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.http.HttpResponse;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.testkit.FakeTime;
import io.vertx.core.Future;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class PendingRequestsTest implements PeerLink {
  private final FakeTime time = new FakeTime();
  private long lastId;

  private PendingRequests life(String name) {
    Supplier<String> names = () -> name;
    return new PendingRequests(time, this, names);
  }

  /**
   * Numbers that began at 1 in each life had the answer to one user's poll taken for that to
   * another's.
   */
  @Test
  void anAnswerToAFormerLifeAnswersNothingOfThisOne() {
    life("one")
        .send(
            "c1", id -> new Frame.ForwardedRequest(id, Frame.ForwardedRequest.Kind.POLL, "j-1"), 2);
    long former = lastId;
    PendingRequests now = life("two");
    Future<HttpResponse> reply =
        now.send(
            "c1", id -> new Frame.ForwardedRequest(id, Frame.ForwardedRequest.Kind.POLL, "j-2"), 2);
    now.complete(new Frame.Response(former, 200, 0, new byte[0]));
    assertThat(reply.isComplete()).isFalse();
    now.complete(new Frame.Response(lastId, 404, 0, new byte[0]));
    assertThat(reply.result().status()).isEqualTo(404);
  }

  @Override
  public void onFrame(BiConsumer<Frame, ReplyChannel> handler) {}

  @Override
  public void send(String node, Frame frame) {
    lastId = ((Frame.ForwardedRequest) frame).id();
  }

  @Override
  public void renew(String node) {}
}
