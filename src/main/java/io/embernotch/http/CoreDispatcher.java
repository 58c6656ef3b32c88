package io.embernotch.http;

import io.embernotch.actor.Clock;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Carries requests from the server's event loop to the core loop and responses back. A request that
 * nobody waits for any more when the core loop comes to it is dropped: users and workers retry, and
 * serving those that gave up would keep the core loop from those that wait.
 */
final class CoreDispatcher {
  private final Executor core;
  private final Context eventLoop;
  private final Clock clock;

  /**
   * @param core runs tasks on the core loop
   * @param eventLoop the server's event loop, on which responses complete
   */
  CoreDispatcher(Executor core, Context eventLoop, Clock clock) {
    this.core = core;
    this.eventLoop = eventLoop;
    this.clock = clock;
  }

  /**
   * Runs a request on the core loop.
   *
   * @param patienceS seconds after which its caller has given up
   * @return completes on the server's event loop
   */
  Future<HttpResponse> dispatch(double patienceS, Supplier<Future<HttpResponse>> request) {
    Promise<HttpResponse> response = Promise.promise();
    double receivedAt = clock.now();
    core.execute(
        () -> {
          if (clock.now() - receivedAt > patienceS) {
            eventLoop.runOnContext(v -> response.complete(HttpResponse.unavailable("overloaded")));
            return;
          }
          run(request).onComplete(result -> eventLoop.runOnContext(v -> response.handle(result)));
        });
    return response.future();
  }

  private static Future<HttpResponse> run(Supplier<Future<HttpResponse>> request) {
    try {
      return request.get();
    } catch (RuntimeException e) {
      // A fault of a handler fails its request, not the loop: the caller gets a response.
      return Future.failedFuture(e);
    }
  }
}
