package io.embernotch.testkit;

import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpCaller;
import io.embernotch.http.HttpReply;
import io.embernotch.settings.HostPort;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/** Carries requests of controllers to the store, the cloud and the workers. */
final class HttpNetwork {
  /** What a message takes from one machine to another, in seconds. */
  static final double HOP_S = 0.002;

  private final FakeTime time;
  private final NetworkFaults faults;
  private final StoreConnection store;
  private final FakeCloud cloud;
  private final WorkerConnection workers;

  HttpNetwork(
      FakeTime time,
      NetworkFaults faults,
      StoreConnection store,
      FakeCloud cloud,
      WorkerConnection workers) {
    this.time = time;
    this.faults = faults;
    this.store = store;
    this.cloud = cloud;
    this.workers = workers;
  }

  /** A response that never comes. */
  static Future<HttpReply> noReply() {
    return Promise.<HttpReply>promise().future();
  }

  /** The caller of a node's present incarnation; later incarnations get none of its responses. */
  HttpCaller callerOf(ControllerNode node) {
    int incarnation = node.incarnation();
    return (method, to, path, body, timeoutS) -> {
      Promise<HttpReply> promise = Promise.promise();
      boolean connects = workers.connects(node, to, path);
      Runnable fail = () -> promise.tryFail(new CallFailedException(connects, "no answer in time"));
      time.after(timeoutS, () -> runIn(node, incarnation, fail));
      time.after(
          HOP_S,
          () ->
              route(node, method, to, path, body)
                  .onSuccess(
                      reply ->
                          time.after(
                              HOP_S,
                              () -> runIn(node, incarnation, () -> promise.tryComplete(reply)))));
      return promise.future();
    };
  }

  private static void runIn(ControllerNode node, int incarnation, Runnable task) {
    if (node.incarnation() == incarnation) {
      task.run();
    }
  }

  private Future<HttpReply> route(
      ControllerNode from, String method, HostPort to, String path, byte[] body) {
    boolean toStore = to.equals(from.settings.storeAddress());
    boolean toCloud = to.equals(from.settings.cloudAddress());
    if (!toStore && !toCloud) {
      return workers.send(from, to, path, body);
    }
    if (from.settings.location().equals(faults.partitionedZone)) {
      return noReply();
    }
    return toStore
        ? store.send(from, method, path, body)
        : Future.succeededFuture(cloud.handle(method, path, body));
  }
}
