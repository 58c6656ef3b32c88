package io.embernotch.store;

import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreException.Kind;
import io.vertx.core.Future;

/** Waits for changes under a prefix with long polls. */
final class StoreWatch {
  private final StoreTransport transport;
  private final IncarnationValidator validator;
  private final double timeoutS;

  StoreWatch(StoreTransport transport, IncarnationValidator validator, double timeoutS) {
    this.transport = transport;
    this.validator = validator;
    this.timeoutS = timeoutS;
  }

  Future<WatchEvents> poll(String prefix, long revision, double longPollS) {
    String path = StoreProtocol.watchPath(prefix, revision, longPollS);
    return transport
        .send(StoreRequest.get(path, RequestPriority.NORMAL), longPollS + timeoutS)
        .compose(
            reply ->
                switch (reply.status()) {
                  case StatusCodes.OK ->
                      validator.read(reply, StoreProtocol::readEvents, WatchEvents::revision);
                  case StatusCodes.GONE ->
                      Future.failedFuture(
                          new StoreException(
                              Kind.TOO_OLD, "the changes to watch are no longer kept"));
                  default -> reply.unexpected();
                });
  }
}
