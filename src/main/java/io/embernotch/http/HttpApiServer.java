package io.embernotch.http;

import io.embernotch.actor.Clock;
import io.embernotch.actor.LatencyRecorder;
import io.embernotch.actor.Timers;
import io.embernotch.settings.HostPort;
import io.embernotch.settings.Settings;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The server that users, workers and health checks reach. It has an event loop of its own: after a
 * failover a thousand workers connect to a process with a fifth of a core, and if connections,
 * requests and JSON shared a loop with leadership, the lease would expire behind them.
 *
 * <p>A worker's connection is closed with the response while there are too many. A controller whose
 * peers are down may have more workers than sockets; those that come later would find none, and
 * lose what they run, live services too. So connections rotate among the workers, and none depends
 * on having come first.
 */
public final class HttpApiServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpApiServer.class);

  /** Most bytes of a request's body. */
  public static final int MAX_BODY = 64 * 1024;

  private final RequestHandler handler;
  private final Executor core;
  private final Clock clock;
  private final Timers timers;
  private final double logEveryS;
  private final LatencyRecorder latencies = new LatencyRecorder();
  private final int connectionPressureThreshold;
  private final int backlog;

  /** The open connections whose requests are handled. */
  private final Set<HttpConnection> connections = new HashSet<>();

  private double lastIterationAt;
  private double staleUntil = Clock.NEVER;
  private RequestRouter router;

  /** Referenced for as long as this object lives, so that the library does not close it. */
  private HttpServer server;

  /**
   * @param core runs tasks on the core loop, where {@code handler} is called
   * @param timers those of the loop that {@link #listen} is called on
   */
  public HttpApiServer(
      RequestHandler handler, Executor core, Clock clock, Timers timers, Settings settings) {
    this.handler = handler;
    this.core = core;
    this.clock = clock;
    this.timers = timers;
    this.logEveryS = settings.workers().leaseS();
    this.connectionPressureThreshold = settings.quota().connectionPressureThreshold();
    this.backlog = settings.quota().maxConnections();
  }

  /** Listens on the loop of the context it is called on; fails if the address can't be bound. */
  public Future<Void> listen(Vertx vertx, HostPort address) {
    Context eventLoop = vertx.getOrCreateContext();
    router = new RequestRouter(handler, new CoreDispatcher(core, eventLoop, clock), timers);
    HttpServerOptions options = new HttpServerOptions();
    options.setTcpNoDelay(true).setReuseAddress(true).setAcceptBacklog(backlog);
    server = vertx.createHttpServer(options);
    server.requestHandler(this::handle);
    server.connectionHandler(this::opened);
    lastIterationAt = clock.now();
    tick();
    server.exceptionHandler(e -> LOG.debug("connection failed: {}", e.getMessage()));
    timers.after(logEveryS, this::logLatencies);
    return server.listen(address.port(), address.host()).mapEmpty();
  }

  private void opened(HttpConnection connection) {
    if (stale()) {
      logConnection("closed as it opened", connection);
      connection.close();
      return;
    }
    logConnection("opened", connection);
    connections.add(connection);
    connection.closeHandler(
        v -> {
          logConnection("gone", connection);
          connections.remove(connection);
        });
  }

  private void logConnection(String event, HttpConnection connection) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "connection from {} {} at {}, requests are stale until {}",
          connection.remoteAddress(),
          event,
          clock.now(),
          staleUntil);
    }
  }

  private void tick() {
    stale();
    timers.after(RequestRouter.READY_TIMEOUT_S, this::tick);
  }

  /**
   * After a process was paused for longer than any caller waits, nothing that its buffers hold is
   * handled: heartbeats that old would make tasks and machines that are gone look alive to a new
   * leader. All connections are closed, and so are those that open in the next moment, which have
   * waited to be accepted. True within that moment.
   *
   * <p>A connection that is being closed may still deliver what had arrived on it, later than that
   * moment too: what it delivers is dropped whenever it comes ({@link #handles}).
   */
  private boolean stale() {
    double now = clock.now();
    double pausedS = now - lastIterationAt;
    lastIterationAt = now;
    if (pausedS > RequestRouter.SUBMIT_PATIENCE_S) {
      LOG.info(
          "process was paused for {} s, {} connections are closed",
          Math.round(pausedS),
          connections.size());
      staleUntil = now + RequestRouter.READY_TIMEOUT_S;
      List<HttpConnection> closing = List.copyOf(connections);
      connections.clear();
      closing.forEach(HttpConnection::close);
    }
    return now < staleUntil;
  }

  /** Whether what a connection delivers now is handled; closes the connection if it is not. */
  private boolean handles(HttpConnection connection) {
    if (!stale() && connections.contains(connection)) {
      return true;
    }
    logConnection("closed with its request", connection);
    connection.close();
    return false;
  }

  private void logLatencies() {
    String line = latencies.line();
    if (line != null) {
      LOG.info("answered {}", line);
    }
    timers.after(logEveryS, this::logLatencies);
  }

  private void handle(HttpServerRequest request) {
    if (!handles(request.connection())) {
      return;
    }
    request.exceptionHandler(e -> LOG.debug("request failed: {}", e.getMessage()));
    BodyCollector collector = new BodyCollector(request);
    request.handler(collector::add);
    request.endHandler(v -> collector.end());
  }

  /** Collects a request's body, and drops it as soon as it exceeds the limit. */
  private final class BodyCollector {
    private final HttpServerRequest request;
    private final double receivedAt = clock.now();

    /** Null once it has exceeded the limit. */
    private Buffer body = Buffer.buffer();

    BodyCollector(HttpServerRequest request) {
      this.request = request;
    }

    void add(Buffer chunk) {
      if (body == null) {
        return;
      }
      if (body.length() + chunk.length() > MAX_BODY) {
        body = null;
        request.response().putHeader("connection", "close");
        write(request.response(), HttpResponse.error(413, "body exceeds 64 KiB"));
        return;
      }
      body.appendBuffer(chunk);
    }

    void end() {
      if (body != null && handles(request.connection())) {
        router
            .route(request.method().name(), request.path(), body.getBytes())
            .onComplete(result -> respond(request, result, receivedAt));
      }
    }
  }

  private void respond(
      HttpServerRequest request, AsyncResult<HttpResponse> result, double receivedAt) {
    if (result.failed()) {
      LOG.error("{} {} failed", request.method(), request.path(), result.cause());
    }
    latencies.record(RequestRouter.kind(request.path()), clock.now() - receivedAt);
    boolean close =
        connections.size() > connectionPressureThreshold
            && request.path().equals(RequestRouter.HEARTBEAT_PATH);
    if (close) {
      request.response().putHeader("connection", "close");
    }
    Future<Void> written =
        write(
            request.response(),
            result.succeeded() ? result.result() : HttpResponse.error(500, "internal error"));
    if (close) {
      written.onComplete(v -> request.connection().close());
    }
  }

  private static Future<Void> write(HttpServerResponse out, HttpResponse response) {
    if (out.ended() || out.closed()) {
      return Future.succeededFuture();
    }
    out.setStatusCode(response.status()).putHeader("content-type", "application/json");
    if (response.retryAfterS() > 0) {
      out.putHeader("retry-after", Integer.toString(response.retryAfterS()));
    }
    return out.end(Buffer.buffer(response.body()));
  }
}
