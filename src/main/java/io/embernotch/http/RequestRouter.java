package io.embernotch.http;

import io.embernotch.actor.Timers;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.model.Heartbeat;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/** Finds the handler of a request by path and method. On the server's event loop only. */
final class RequestRouter {
  /** Path on which workers send heartbeats. */
  static final String HEARTBEAT_PATH = "/hello";

  private static final String READY_PATH = "/ready";
  private static final String OVERVIEW_PATH = "/overview";
  private static final String JOBS_PATH = "/api/jobs";
  private static final String ABORT_SUFFIX = "/abort";

  /** Seconds after which a worker has given up ("Workers" in the protocol). */
  private static final double HEARTBEAT_PATIENCE_S = 4;

  /** Seconds after which a user who polls has given up ("Users" in the protocol). */
  private static final double POLL_PATIENCE_S = 2;

  /** Seconds after which a user who submits or cancels has given up. */
  static final double SUBMIT_PATIENCE_S = 5;

  /** A health check waits a second; after half of it, what was last known is answered. */
  static final double READY_TIMEOUT_S = 0.5;

  private static final String GET = "GET";
  private static final String POST = "POST";

  private final RequestHandler handler;
  private final CoreDispatcher dispatcher;
  private final Timers timers;
  private HttpResponse lastReady = HttpResponse.unavailable("starting");

  /**
   * @param timers those of the server's event loop
   */
  RequestRouter(RequestHandler handler, CoreDispatcher dispatcher, Timers timers) {
    this.handler = handler;
    this.dispatcher = dispatcher;
    this.timers = timers;
  }

  /** The kind of request that a path stands for, by which latencies are logged. */
  static String kind(String path) {
    if (path.startsWith(JOBS_PATH)) {
      return path.equals(JOBS_PATH) ? "submit" : path.endsWith(ABORT_SUFFIX) ? "abort" : "poll";
    }
    return path.equals(HEARTBEAT_PATH) ? "report" : "other";
  }

  /** Serves a request; a future that fails is an internal error. */
  Future<HttpResponse> route(String method, String path, byte[] body) {
    try {
      return switch (path) {
        case HEARTBEAT_PATH -> method.equals(POST) ? heartbeat(body) : wrongMethod(POST);
        case READY_PATH -> method.equals(GET) ? ready() : wrongMethod(GET);
        case OVERVIEW_PATH ->
            method.equals(GET)
                ? dispatcher.dispatch(SUBMIT_PATIENCE_S, handler::overview)
                : wrongMethod(GET);
        case JOBS_PATH ->
            method.equals(POST)
                ? dispatcher.dispatch(SUBMIT_PATIENCE_S, () -> handler.submit(body))
                : wrongMethod(POST);
        default ->
            path.startsWith(JOBS_PATH + "/")
                ? job(method, path.substring(JOBS_PATH.length() + 1))
                : noSuchPath();
      };
    } catch (RuntimeException e) {
      // A fault here fails its request, not the event loop: the caller gets a response.
      return Future.failedFuture(e);
    }
  }

  private Future<HttpResponse> job(String method, String path) {
    if (path.endsWith(ABORT_SUFFIX)) {
      String ref = path.substring(0, path.length() - ABORT_SUFFIX.length());
      return method.equals(POST)
          ? dispatcher.dispatch(SUBMIT_PATIENCE_S, () -> handler.abort(ref))
          : wrongMethod(POST);
    }
    if (path.indexOf('/') < 0) {
      return method.equals(GET)
          ? dispatcher.dispatch(POLL_PATIENCE_S, () -> handler.poll(path))
          : wrongMethod(GET);
    }
    return noSuchPath();
  }

  private Future<HttpResponse> heartbeat(byte[] body) {
    Heartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.read(body);
    } catch (MalformedInputException e) {
      return Future.succeededFuture(HttpResponse.error(400, e.getMessage()));
    }
    return dispatcher.dispatch(HEARTBEAT_PATIENCE_S, () -> handler.handleHeartbeat(heartbeat));
  }

  private Future<HttpResponse> ready() {
    Promise<HttpResponse> response = Promise.promise();
    dispatcher
        .dispatch(SUBMIT_PATIENCE_S, () -> Future.succeededFuture(handler.ready()))
        .onSuccess(
            ready -> {
              lastReady = ready;
              response.tryComplete(ready);
            });
    timers.after(READY_TIMEOUT_S, () -> response.tryComplete(lastReady));
    return response.future();
  }

  private static Future<HttpResponse> wrongMethod(String right) {
    return Future.succeededFuture(HttpResponse.error(405, "use " + right));
  }

  private static Future<HttpResponse> noSuchPath() {
    return Future.succeededFuture(HttpResponse.error(404, "no such path"));
  }
}
