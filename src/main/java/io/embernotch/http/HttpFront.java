package io.embernotch.http;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Latencies;
import io.embernotch.actor.Timers;
import io.embernotch.settings.HostPort;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The server that users, workers and health checks reach. */
public final class HttpFront {
  private static final Logger LOG = LoggerFactory.getLogger(HttpFront.class);
  public static final int MAX_BODY = 64 * 1024;
  private static final String JOBS = "/api/jobs";
  private static final String ABORT = "/abort";

  private final Door door;
  private final Clock clock;
  private final Timers timers;
  private final double logEveryS;
  private final Latencies latencies = new Latencies();
  private HttpServer server;

  public HttpFront(Door door, Clock clock, Timers timers, double logEveryS) {
    this.door = door;
    this.clock = clock;
    this.timers = timers;
    this.logEveryS = logEveryS;
  }

  public Future<Void> listen(Vertx vertx, HostPort at) {
    HttpServerOptions options = new HttpServerOptions();
    options.setTcpNoDelay(true).setReuseAddress(true).setAcceptBacklog(1024);
    server = vertx.createHttpServer(options);
    server.requestHandler(this::handle);
    server.exceptionHandler(e -> LOG.debug("connection failed: {}", e.getMessage()));
    timers.after(logEveryS, this::logLatencies);
    return server.listen(at.port(), at.host()).mapEmpty();
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
        write(request.response(), Answer.error(413, "body exceeds 64 KiB"));
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
                  write(request.response(), r.succeeded() ? r.result() : Answer.error(500, "internal error"));
                });
      }
    }
  }

  private Future<Answer> route(HttpServerRequest request, byte[] body) {
    String path = request.path();
    String method = request.method().name();
    try {
      if (path.equals("/hello")) {
        return method.equals("POST") ? door.report(body) : wrongMethod("POST");
      }
      if (path.equals("/ready")) {
        return method.equals("GET") ? Future.succeededFuture(door.ready()) : wrongMethod("GET");
      }
      if (path.equals("/overview")) {
        return method.equals("GET") ? door.overview() : wrongMethod("GET");
      }
      if (path.equals(JOBS)) {
        return method.equals("POST") ? door.submit(body) : wrongMethod("POST");
      }
      if (path.startsWith(JOBS + "/")) {
        String rest = path.substring(JOBS.length() + 1);
        if (rest.endsWith(ABORT)) {
          String ref = rest.substring(0, rest.length() - ABORT.length());
          return method.equals("POST") ? door.abort(ref) : wrongMethod("POST");
        }
        if (rest.indexOf('/') < 0) {
          return method.equals("GET") ? door.poll(rest) : wrongMethod("GET");
        }
      }
      return Future.succeededFuture(Answer.error(404, "no such path"));
    } catch (RuntimeException e) {
      return Future.failedFuture(e);
    }
  }

  private static Future<Answer> wrongMethod(String right) {
    return Future.succeededFuture(Answer.error(405, "use " + right));
  }

  private static void write(HttpServerResponse response, Answer answer) {
    if (response.ended() || response.closed()) {
      return;
    }
    response.setStatusCode(answer.status()).putHeader("content-type", "application/json");
    if (answer.retryAfterS() > 0) {
      response.putHeader("retry-after", Integer.toString(answer.retryAfterS()));
    }
    response.end(Buffer.buffer(answer.body()));
  }
}
