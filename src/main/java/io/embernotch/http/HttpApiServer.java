package io.embernotch.http;

import io.embernotch.actor.Clock;
import io.embernotch.actor.LatencyRecorder;
import io.embernotch.actor.Timers;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.model.Heartbeat;
import io.embernotch.settings.HostPort;
import io.embernotch.settings.Settings;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
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
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The server that users, workers and health checks reach. It has a loop of its own: after a change
 * of leader a thousand workers connect to a process with a fifth of a core, and while connections,
 * requests and JSON shared a loop with leadership, the lease ran out behind them.
 *
 * <p>A worker's connection is closed with the answer while there are too many. A controller that is
 * left alone may have more workers than sockets; those that come later would find none, and lose
 * what they run, live services too. So all of them take turns, and none depends on having come
 * first.
 *
 * <p>What nobody waits for any more when the core comes to it is dropped there: users and workers
 * come again, and answering the gone would keep the core from those who wait.
 */
public final class HttpApiServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpApiServer.class);
  public static final int MAX_BODY = 64 * 1024;
  private static final String JOBS = "/api/jobs";
  private static final String ABORT = "/abort";

  /**
   * Seconds after which a worker, a poller and one who submits have given up ("Users", "Workers").
   */
  private static final double HEARTBEAT_INTERVAL_S = 4;

  private static final double POLL_S = 2;
  private static final double SUBMIT_S = 5;

  /** A health check waits a second; from half of it on, what was last known is told. */
  private static final double READY_S = 0.5;

  private final RequestHandler door;
  private final Executor core;
  private final Clock clock;
  private final Timers timers;
  private final double logEveryS;
  private final LatencyRecorder latencies = new LatencyRecorder();
  private final int crowd;
  private final int backlog;
  private final Set<HttpConnection> connections = new HashSet<>();
  private double turnAt;
  private double staleUntil = -1e9;
  private HttpServer server;
  private Context front;
  private HttpResponse lastReady = HttpResponse.later("starting");

  /**
   * @param core runs what is asked of the door
   * @param timers those of the loop that {@link #listen} is called on
   */
  public HttpApiServer(
      RequestHandler door, Executor core, Clock clock, Timers timers, Settings settings) {
    this.door = door;
    this.core = core;
    this.clock = clock;
    this.timers = timers;
    this.logEveryS = settings.workers().leaseS();
    this.crowd = settings.quota().connectionPressureThreshold();
    this.backlog = settings.quota().maxConnections();
  }

  /** Listens on the loop of the context it is called on. */
  public Future<Void> listen(Vertx vertx, HostPort at) {
    front = vertx.getOrCreateContext();
    HttpServerOptions options = new HttpServerOptions();
    options.setTcpNoDelay(true).setReuseAddress(true).setAcceptBacklog(backlog);
    server = vertx.createHttpServer(options);
    server.requestHandler(this::handle);
    server.connectionHandler(this::opened);
    turnAt = clock.now();
    tick();
    server.exceptionHandler(e -> LOG.debug("connection failed: {}", e.getMessage()));
    timers.after(logEveryS, this::logLatencies);
    return server.listen(at.port(), at.host()).mapEmpty();
  }

  private void opened(HttpConnection connection) {
    if (stale()) {
      connection.close();
      return;
    }
    connections.add(connection);
    connection.closeHandler(v -> connections.remove(connection));
  }

  private void tick() {
    stale();
    timers.after(READY_S, this::tick);
  }

  /**
   * After a process has stood still for longer than anybody waits, what lies in its buffers is told
   * to nobody: reports that were as old as that once made a thousand tasks and machines that were
   * gone look alive to a new leader. All that was sent so far is given up, and so is what connects
   * in the next moment, which is what has waited to be accepted. True within that moment.
   */
  private boolean stale() {
    double now = clock.now();
    double stood = now - turnAt;
    turnAt = now;
    if (stood > SUBMIT_S) {
      LOG.info(
          "process was paused for {} s, {} connections are closed",
          Math.round(stood),
          connections.size());
      staleUntil = now + READY_S;
      List.copyOf(connections).forEach(HttpConnection::close);
    }
    return now < staleUntil;
  }

  private void logLatencies() {
    String line = latencies.line();
    if (line != null) {
      LOG.info("answered {}", line);
    }
    timers.after(logEveryS, this::logLatencies);
  }

  private static String kind(String path) {
    if (path.startsWith(JOBS)) {
      return path.equals(JOBS) ? "submit" : path.endsWith(ABORT) ? "abort" : "poll";
    }
    return path.equals("/hello") ? "report" : "other";
  }

  private void handle(HttpServerRequest request) {
    if (stale()) {
      request.connection().close();
      return;
    }
    request.exceptionHandler(e -> LOG.debug("request failed: {}", e.getMessage()));
    Gather gather = new Gather(request);
    request.handler(gather::add);
    request.endHandler(v -> gather.end());
  }

  /** Collects a body and lets it go as soon as it exceeds the limit. */
  private final class Gather {
    private final HttpServerRequest request;
    private final double since = clock.now();
    private Buffer body = Buffer.buffer();

    Gather(HttpServerRequest request) {
      this.request = request;
    }

    void add(Buffer more) {
      if (body == null) {
        return;
      }
      if (body.length() + more.length() > MAX_BODY) {
        body = null;
        request.response().putHeader("connection", "close");
        write(request.response(), HttpResponse.error(413, "body exceeds 64 KiB"));
        return;
      }
      body.appendBuffer(more);
    }

    void end() {
      if (body != null) {
        route(request, body.getBytes())
            .onComplete(
                r -> {
                  if (r.failed()) {
                    LOG.error("{} {} failed", request.method(), request.path(), r.cause());
                  }
                  latencies.record(kind(request.path()), clock.now() - since);
                  boolean parts = connections.size() > crowd && request.path().equals("/hello");
                  if (parts) {
                    request.response().putHeader("connection", "close");
                  }
                  Future<Void> written =
                      write(
                          request.response(),
                          r.succeeded() ? r.result() : HttpResponse.error(500, "internal error"));
                  if (parts) {
                    written.onComplete(v -> request.connection().close());
                  }
                });
      }
    }
  }

  private Future<HttpResponse> route(HttpServerRequest request, byte[] body) {
    String path = request.path();
    String method = request.method().name();
    try {
      if (path.equals("/hello")) {
        return method.equals("POST") ? heartbeat(body) : wrongMethod("POST");
      }
      if (path.equals("/ready")) {
        return method.equals("GET") ? ready() : wrongMethod("GET");
      }
      if (path.equals("/overview")) {
        return method.equals("GET") ? ask(SUBMIT_S, door::overview) : wrongMethod("GET");
      }
      if (path.equals(JOBS)) {
        return method.equals("POST") ? ask(SUBMIT_S, () -> door.submit(body)) : wrongMethod("POST");
      }
      if (path.startsWith(JOBS + "/")) {
        String rest = path.substring(JOBS.length() + 1);
        if (rest.endsWith(ABORT)) {
          String ref = rest.substring(0, rest.length() - ABORT.length());
          return method.equals("POST") ? ask(SUBMIT_S, () -> door.abort(ref)) : wrongMethod("POST");
        }
        if (rest.indexOf('/') < 0) {
          return method.equals("GET") ? ask(POLL_S, () -> door.poll(rest)) : wrongMethod("GET");
        }
      }
      return Future.succeededFuture(HttpResponse.error(404, "no such path"));
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
  }

  private Future<HttpResponse> heartbeat(byte[] body) {
    Heartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.read(body);
    } catch (MalformedInputException e) {
      return Future.succeededFuture(HttpResponse.error(400, e.getMessage()));
    }
    return ask(HEARTBEAT_INTERVAL_S, () -> door.handleHeartbeat(heartbeat));
  }

  /** Has the core answer, unless it comes to it too late; the future completes on this loop. */
  private Future<HttpResponse> ask(double patienceS, Supplier<Future<HttpResponse>> question) {
    Promise<HttpResponse> reply = Promise.promise();
    double since = clock.now();
    core.execute(
        () -> {
          if (clock.now() - since > patienceS) {
            front.runOnContext(v -> reply.complete(HttpResponse.later("overloaded")));
            return;
          }
          Future<HttpResponse> answer;
          try {
            answer = question.get();
          } catch (RuntimeException e) {
            answer = Future.failedFuture(e);
          }
          answer.onComplete(
              r ->
                  front.runOnContext(
                      v -> {
                        if (r.succeeded()) {
                          reply.complete(r.result());
                        } else {
                          reply.fail(r.cause());
                        }
                      }));
        });
    return reply.future();
  }

  private Future<HttpResponse> ready() {
    Promise<HttpResponse> reply = Promise.promise();
    ask(SUBMIT_S, () -> Future.succeededFuture(door.ready()))
        .onSuccess(
            a -> {
              lastReady = a;
              reply.tryComplete(a);
            });
    timers.after(READY_S, () -> reply.tryComplete(lastReady));
    return reply.future();
  }

  private static Future<HttpResponse> wrongMethod(String right) {
    return Future.succeededFuture(HttpResponse.error(405, "use " + right));
  }

  private static Future<Void> write(HttpServerResponse response, HttpResponse answer) {
    if (response.ended() || response.closed()) {
      return Future.succeededFuture();
    }
    response.setStatusCode(answer.status()).putHeader("content-type", "application/json");
    if (answer.retryAfterS() > 0) {
      response.putHeader("retry-after", Integer.toString(answer.retryAfterS()));
    }
    return response.end(Buffer.buffer(answer.body()));
  }
}
