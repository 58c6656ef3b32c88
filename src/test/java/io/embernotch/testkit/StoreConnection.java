package io.embernotch.testkit;

import io.embernotch.http.HttpReply;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;

/** Requests of controllers to the store, with the faults that may hit them. */
final class StoreConnection {
  private static final String COMMIT = "/commit";
  private static final String LIST = "/store?";

  private final FakeTime time;
  private final NetworkFaults faults;
  private final MessageBuffer buffer;
  private final FakeStore store;

  StoreConnection(FakeTime time, NetworkFaults faults, MessageBuffer buffer, FakeStore store) {
    this.time = time;
    this.faults = faults;
    this.buffer = buffer;
    this.store = store;
  }

  /** The response to a request; it never completes if a fault takes it away. */
  Future<HttpReply> send(ControllerNode from, String method, String path, byte[] body) {
    if (from.storeUnavailable) {
      return from.storeUnresponsive ? HttpNetwork.noReply() : refusal();
    }
    if (path.startsWith("/store") && faults.hits(faults.lostReadShare)) {
      return HttpNetwork.noReply();
    }
    if (path.equals(COMMIT) && isResponseTaken(method, path, body)) {
      return HttpNetwork.noReply();
    }
    if (faults.storeLatencyS > 0 && !path.startsWith("/changes")) {
      Promise<HttpReply> slow = Promise.promise();
      time.after(
          faults.storeLatencyS, () -> store.handle(method, path, body).onSuccess(slow::complete));
      return slow.future();
    }
    if (path.equals(COMMIT)
        && faults.commitDelivery != Delivery.DELIVERED
        && new String(body, StandardCharsets.UTF_8).contains(faults.commitDeliveryFilter)) {
      return deliverAsChosen(method, path, body);
    }
    if (path.equals(COMMIT) && faults.hits(faults.lateCommitResponseShare)) {
      return lateResponse(method, path, body, faults.responseDelayS);
    }
    return from.storeListDelayS > 0 && path.startsWith(LIST)
        ? lateResponse(method, path, body, from.storeListDelayS)
        : store.handle(method, path, body);
  }

  private static Future<HttpReply> refusal() {
    return Future.succeededFuture(new HttpReply(503, "{}".getBytes(StandardCharsets.UTF_8)));
  }

  /** Whether a transaction is one of those that are carried out without a response, now or late. */
  private boolean isResponseTaken(String method, String path, byte[] body) {
    if (faults.hits(faults.lostCommitResponseShare)) {
      store.handle(method, path, body);
      return true;
    }
    // Drawn for each transaction, so that a seed's later draws do not depend on the share.
    if (faults.random.nextDouble() < faults.delayedCommitShare) {
      time.after(faults.drawCommitDelayS(), () -> store.handle(method, path, body));
      return true;
    }
    return false;
  }

  private Future<HttpReply> deliverAsChosen(String method, String path, byte[] body) {
    switch (faults.commitDelivery) {
      case DELAYED -> buffer.delay(() -> store.handle(method, path, body));
      case RESPONSE_LOST -> store.handle(method, path, body);
      case RESPONSE_LATE -> {
        return lateResponse(method, path, body, faults.responseDelayS);
      }
      default -> {}
    }
    return HttpNetwork.noReply();
  }

  private Future<HttpReply> lateResponse(String method, String path, byte[] body, double delayS) {
    Promise<HttpReply> late = Promise.promise();
    store
        .handle(method, path, body)
        .onSuccess(reply -> time.after(delayS, () -> late.complete(reply)));
    return late.future();
  }
}
