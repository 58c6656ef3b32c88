package io.embernotch.forwarding;

import io.embernotch.actor.Timers;
import io.embernotch.context.ProcessIncarnation;
import io.embernotch.http.HttpResponse;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/** What other controllers have been asked, until they answer or it is too late. */
public final class PendingRequests {
  private final Timers timers;
  private final PeerLink peers;
  private final Map<Long, Promise<HttpResponse>> asked = new HashMap<>();
  private long next;

  /**
   * @param names makes names that nobody else ever has: an answer to a former incarnation must not
   *     pass for one to this
   */
  public PendingRequests(Timers timers, PeerLink peers, Supplier<String> names) {
    this.next = ProcessIncarnation.begin(names);
    this.timers = timers;
    this.peers = peers;
  }

  /**
   * Asks a controller; the answer is 503 if none has come after {@code withinS} seconds.
   *
   * @param question makes the frame that carries the given number
   */
  public Future<HttpResponse> send(String node, LongFunction<Frame> question, double withinS) {
    Promise<HttpResponse> reply = Promise.promise();
    long id = ++next;
    asked.put(id, reply);
    peers.send(node, question.apply(id));
    timers.after(
        withinS,
        () -> {
          Promise<HttpResponse> late = asked.remove(id);
          if (late != null) {
            late.tryComplete(HttpResponse.later(node + " does not answer"));
          }
        });
    return reply.future();
  }

  /** A controller has answered; what nobody waits for any more is dropped. */
  public void complete(Frame.Response f) {
    Promise<HttpResponse> p = asked.remove(f.id());
    if (p != null) {
      p.tryComplete(new HttpResponse(f.status(), f.body(), f.retryAfterS()));
    }
  }
}
