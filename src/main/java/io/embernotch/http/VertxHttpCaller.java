package io.embernotch.http;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.settings.HostPort;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Calls over Vert.x's client, each with a time limit of its own. */
public final class VertxHttpCaller implements HttpCaller {
  private final HttpClient client;
  private final Clock clock;
  private final Timers timers;
  private final int most;

  /** Hosts with a connection, or one being made, that which was called longest ago first. */
  private final Map<String, Host> hosts = new LinkedHashMap<>(16, 0.75f, true);

  private static final class Host {
    final Set<HttpConnection> open = new HashSet<>();
    int calls;
  }

  /**
   * @param most hosts to be connected to at a time; a call to one more fails unsent
   * @param keepS idle connections are closed after this time
   */
  public VertxHttpCaller(
      Vertx vertx,
      Clock clock,
      Timers timers,
      int connectionsPerHost,
      int most,
      double connectS,
      double keepS) {
    this.clock = clock;
    this.timers = timers;
    this.most = most;
    HttpClientOptions options = new HttpClientOptions();
    options.setConnectTimeout((int) Math.max(1, connectS * 1000));
    options.setTcpNoDelay(true);
    options.setKeepAliveTimeout((int) Math.max(1, keepS));
    this.client =
        vertx
            .httpClientBuilder()
            .with(options)
            .with(new PoolOptions().setHttp1MaxSize(connectionsPerHost))
            .withConnectHandler(this::opened)
            .build();
  }

  @Override
  public Future<HttpReply> call(
      String method, HostPort to, String path, byte[] body, double timeoutS) {
    String host = to.host() + ":" + to.port();
    Host known = hosts.get(host);
    if (known == null) {
      if (hosts.size() >= most && !makeRoom()) {
        return Future.failedFuture(CallFailedException.untried("too many connections"));
      }
      known = new Host();
      hosts.put(host, known);
    }
    Host called = known;
    called.calls++;
    Call call = new Call(clock.now() + timeoutS);
    call.promise
        .future()
        .onComplete(
            r -> {
              called.calls--;
              forget(host, called);
            });
    call.cancelTimer = timers.after(timeoutS, call::timeOut);
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.valueOf(method))
            .setHost(to.host())
            .setPort(to.port())
            .setURI(path);
    client
        .request(options)
        .onFailure(entry -> call.fail(entry.getMessage()))
        .onSuccess(request -> call.send(request, body));
    return call.promise.future();
  }

  private void opened(HttpConnection connection) {
    String host =
        connection.remoteAddress().hostAddress() + ":" + connection.remoteAddress().port();
    Host to = hosts.computeIfAbsent(host, k -> new Host());
    to.open.add(connection);
    connection.closeHandler(
        v -> {
          to.open.remove(connection);
          forget(host, to);
        });
  }

  private void forget(String name, Host host) {
    if (host.calls == 0 && host.open.isEmpty()) {
      hosts.remove(name, host);
    }
  }

  /** Closes the connections to a host that nothing is asked of; false if there is none. */
  private boolean makeRoom() {
    for (Map.Entry<String, Host> entry : hosts.entrySet()) {
      if (entry.getValue().calls == 0) {
        hosts.remove(entry.getKey());
        List.copyOf(entry.getValue().open).forEach(HttpConnection::close);
        return true;
      }
    }
    return false;
  }

  /** One call under way; the first of answer, failure and time limit settles it. */
  private final class Call {
    final Promise<HttpReply> promise = Promise.promise();
    Runnable cancelTimer;
    HttpClientRequest request;
    boolean settled;
    final double until;

    Call(double until) {
      this.until = until;
    }

    void send(HttpClientRequest req, byte[] body) {
      if (settled || clock.now() >= until) {
        // Given up while it waited for a connection, or about to be: a process that stood still may
        // find the
        // connection before the timer. Nothing has left yet, and nothing may. Without a handler the
        // library
        // logs the reset as an error of its own.
        req.exceptionHandler(entry -> {});
        req.reset();
        fail("not sent in time");
        return;
      }
      request = req;
      req.exceptionHandler(entry -> fail(entry.getMessage()));
      if (body != null) {
        req.putHeader("content-type", "application/json");
      }
      Future<io.vertx.core.http.HttpClientResponse> response =
          body == null ? req.send() : req.send(Buffer.buffer(body));
      response
          .compose(r -> r.body().map(b -> new HttpReply(r.statusCode(), b.getBytes())))
          .onSuccess(this::succeed)
          .onFailure(entry -> fail(entry.getMessage()));
    }

    void succeed(HttpReply reply) {
      if (!settled) {
        settled = true;
        cancelTimer.run();
        promise.complete(reply);
      }
    }

    void fail(String why) {
      if (!settled) {
        settled = true;
        cancelTimer.run();
        promise.fail(new CallFailedException(request != null, why));
      }
    }

    void timeOut() {
      if (!settled) {
        settled = true;
        promise.fail(new CallFailedException(request != null, "no answer in time"));
        if (request != null) {
          request.reset();
        }
      }
    }
  }
}
