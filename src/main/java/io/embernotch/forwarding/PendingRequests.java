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

/**
 * Sends requests to other controllers. Each is pending until its response or its timeout. Confined
 * to the controller's event loop.
 */
public final class PendingRequests {
  private final Timers timers;
  private final PeerLink peers;
  private final Map<Long, Promise<HttpResponse>> pending = new HashMap<>();
  private long lastId;

  /**
   * Creates an instance with no request pending.
   *
   * @param nameGenerator makes globally unique names, from which request numbers derive: a response
   *     to a former incarnation of this process must not complete a request of the present one
   */
  public PendingRequests(Timers timers, PeerLink peers, Supplier<String> nameGenerator) {
    this.lastId = ProcessIncarnation.begin(nameGenerator);
    this.timers = timers;
    this.peers = peers;
  }

  /**
   * Sends a request to a controller.
   *
   * @param node the controller's name
   * @param request makes the frame that carries the given request number
   * @return the response; 503 if none arrives within {@code withinS} seconds
   */
  public Future<HttpResponse> send(String node, LongFunction<Frame> request, double withinS) {
    Promise<HttpResponse> response = Promise.promise();
    long id = ++lastId;
    pending.put(id, response);
    peers.send(node, request.apply(id));
    timers.after(withinS, () -> timedOut(id, node));
    return response.future();
  }

  /**
   * Returns whether there is a connection to the controller, without which a request is dropped.
   */
  public boolean canSend(String node) {
    return peers.isConnected(node);
  }

  private void timedOut(long id, String node) {
    Promise<HttpResponse> response = pending.remove(id);
    if (response != null) {
      response.tryComplete(HttpResponse.unavailable(node + " does not answer"));
    }
  }

  /**
   * Completes the request that a controller has answered. An answer to a request that is no longer
   * pending is ignored.
   */
  public void complete(Frame.Response answer) {
    Promise<HttpResponse> response = pending.remove(answer.id());
    if (response != null) {
      response.tryComplete(new HttpResponse(answer.status(), answer.body(), answer.retryAfterS()));
    }
  }
}
