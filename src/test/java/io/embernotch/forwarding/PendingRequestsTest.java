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

/** Tests that responses are matched to requests across incarnations of a process. */
class PendingRequestsTest implements PeerLink {
  private final FakeTime time = new FakeTime();
  private long lastId;

  private PendingRequests incarnation(String name) {
    Supplier<String> nameGenerator = () -> name;
    return new PendingRequests(time, this, nameGenerator);
  }

  /**
   * If request numbers began at 1 in each incarnation, the response to one user's poll would
   * complete another user's.
   */
  @Test
  void responseToAFormerIncarnationCompletesNoRequestOfTheNextOne() {
    incarnation("one")
        .send(
            "c1", id -> new Frame.ForwardedRequest(id, Frame.ForwardedRequest.Kind.POLL, "j-1"), 2);
    long former = lastId;
    PendingRequests requests = incarnation("two");
    Future<HttpResponse> reply =
        requests.send(
            "c1", id -> new Frame.ForwardedRequest(id, Frame.ForwardedRequest.Kind.POLL, "j-2"), 2);
    requests.complete(new Frame.Response(former, 200, 0, new byte[0]));
    assertThat(reply.isComplete()).isFalse();
    requests.complete(new Frame.Response(lastId, 404, 0, new byte[0]));
    assertThat(reply.result().status()).isEqualTo(404);
  }

  @Override
  public void onFrame(BiConsumer<Frame, ReplyChannel> handler) {}

  @Override
  public void send(String node, Frame frame) {
    lastId = ((Frame.ForwardedRequest) frame).id();
  }

  @Override
  public void reconnect(String node) {}
}
