package io.embernotch.store;

import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Future;

/** Sends requests to grant, renew and revoke leases of the store. */
final class LeaseClient {
  private final StoreTransport transport;
  private final double timeoutS;

  LeaseClient(StoreTransport transport, double timeoutS) {
    this.transport = transport;
    this.timeoutS = timeoutS;
  }

  Future<Long> grant(double leaseTtlS) {
    byte[] body = StoreProtocol.grantBody(leaseTtlS);
    return transport
        .send(StoreRequest.post(StoreProtocol.LEASES_PATH, body, RequestPriority.URGENT), timeoutS)
        .compose(
            reply ->
                reply.status() == StatusCodes.OK
                    ? Future.succeededFuture(StoreProtocol.readLeaseId(reply.json()))
                    : reply.unexpected());
  }

  Future<Boolean> renewIfPresent(long leaseId) {
    String path = StoreProtocol.leaseRenewalPath(leaseId);
    return transport
        .send(StoreRequest.post(path, null, RequestPriority.NORMAL), timeoutS)
        .compose(
            reply ->
                switch (reply.status()) {
                  case StatusCodes.OK -> Future.succeededFuture(true);
                  case StatusCodes.NOT_FOUND -> Future.succeededFuture(false);
                  default -> reply.unexpected();
                });
  }

  Future<Void> revoke(long leaseId) {
    String path = StoreProtocol.leasePath(leaseId);
    return transport.send(StoreRequest.delete(path, RequestPriority.URGENT), timeoutS).mapEmpty();
  }
}
