package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpCaller;
import io.embernotch.http.HttpReply;
import io.embernotch.settings.HostPort;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreException.Kind;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Sends requests to the store within the rate limits, retries throttled requests until their
 * timeout, and records whether the store answers. All futures fail with {@link StoreException}
 * only.
 */
final class StoreTransport {
  /** Delay before a throttled request is retried; part of the store's limit is free again then. */
  private static final double THROTTLE_RETRY_DELAY_S = 0.1;

  /** The value of {@code failingSince} while the store answers requests. */
  private static final double NOT_FAILING = -1;

  private final HttpCaller caller;
  private final Clock clock;
  private final Timers timers;
  private final HostPort storeAddress;
  private final StoreRateLimits limits;
  private final IncarnationGuard guard;
  private double answeredAt = Clock.NEVER;
  private double failingSince = NOT_FAILING;

  StoreTransport(
      HttpCaller caller,
      Clock clock,
      Timers timers,
      HostPort storeAddress,
      StoreRateLimits limits,
      IncarnationGuard guard) {
    this.caller = caller;
    this.clock = clock;
    this.timers = timers;
    this.storeAddress = storeAddress;
    this.limits = limits;
    this.guard = guard;
  }

  /**
   * When the store last answered with anything but 429 or 503, in seconds of the monotonic clock.
   */
  double answeredAt() {
    return answeredAt;
  }

  /** Seconds since requests began to fail or get a 503; 0 if the last answer was usable. */
  double failingForS() {
    return failingSince < 0 ? 0 : clock.now() - failingSince;
  }

  Future<StoreReply> send(StoreRequest request, double timeoutS) {
    Promise<StoreReply> promise = Promise.promise();
    sendWhenAllowed(request, clock.now() + timeoutS, promise);
    return promise.future();
  }

  /**
   * Sends a request whose changes are already counted by a write slot. If it is throttled, it waits
   * for the rate limits like any other request.
   */
  Future<StoreReply> sendInWriteSlot(StoreRequest request, double timeoutS) {
    Promise<StoreReply> promise = Promise.promise();
    double deadline = clock.now() + timeoutS;
    limits.acquireRequest(RequestPriority.HIGH, () -> sendOnce(request, deadline, promise));
    return promise.future();
  }

  private void sendWhenAllowed(StoreRequest request, double deadline, Promise<StoreReply> promise) {
    limits.acquire(
        request.changes(), request.priority(), () -> sendOnce(request, deadline, promise));
  }

  private void sendOnce(StoreRequest request, double deadline, Promise<StoreReply> promise) {
    double remainingS = deadline - clock.now();
    if (remainingS <= 0) {
      promise.fail(new StoreException(Kind.REFUSED, "not sent in time"));
      return;
    }
    IncarnationGuard.Baseline baseline = guard.baseline();
    caller
        .call(request.method(), storeAddress, request.path(), request.body(), remainingS)
        .onSuccess(reply -> handleReply(request, deadline, promise, reply, baseline))
        .onFailure(failure -> handleCallFailure(promise, failure));
  }

  private void handleReply(
      StoreRequest request,
      double deadline,
      Promise<StoreReply> promise,
      HttpReply reply,
      IncarnationGuard.Baseline baseline) {
    if (reply.status() == StatusCodes.TOO_MANY_REQUESTS) {
      // The store has not executed a throttled request.
      timers.after(THROTTLE_RETRY_DELAY_S, () -> sendWhenAllowed(request, deadline, promise));
    } else if (reply.status() == StatusCodes.UNAVAILABLE) {
      recordFailure();
      promise.fail(new StoreException(Kind.REFUSED, "state service answers 503"));
    } else {
      answeredAt = clock.now();
      failingSince = NOT_FAILING;
      promise.complete(new StoreReply(reply, baseline));
    }
  }

  private void handleCallFailure(Promise<StoreReply> promise, Throwable failure) {
    recordFailure();
    boolean sent = !(failure instanceof CallFailedException call) || call.sent();
    promise.fail(new StoreException(sent ? Kind.UNKNOWN : Kind.REFUSED, failure.getMessage()));
  }

  private void recordFailure() {
    if (failingSince < 0) {
      failingSince = clock.now();
    }
  }
}
