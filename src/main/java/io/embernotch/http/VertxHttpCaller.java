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
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Makes calls over Vert.x's client, each with a time limit of its own. One event loop only. */
public final class VertxHttpCaller implements HttpCaller {
  private static final int MS_PER_S = 1000;

  private final HttpClient client;
  private final Clock clock;
  private final Timers timers;
  private final int maxHosts;

  /** Hosts with a connection, or one being made; the least recently called one first. */
  private final Map<String, Host> hosts = new LinkedHashMap<>(16, 0.75f, true);

  /** The connections to one host, and the number of calls under way. */
  private static final class Host {
    final Set<HttpConnection> open = new HashSet<>();
    int calls;
  }

  /**
   * @param connectionsPerHost most connections to a host at a time
   * @param maxHosts most hosts to be connected to at a time; a call to one more fails untried
   * @param connectS seconds after which an attempt to connect has failed
   * @param keepAliveS seconds after which an idle connection is closed
   */
  public VertxHttpCaller(
      Vertx vertx,
      Clock clock,
      Timers timers,
      int connectionsPerHost,
      int maxHosts,
      double connectS,
      double keepAliveS) {
    this.clock = clock;
    this.timers = timers;
    this.maxHosts = maxHosts;
    HttpClientOptions options = new HttpClientOptions();
    options.setConnectTimeout((int) Math.max(1, connectS * MS_PER_S));
    options.setTcpNoDelay(true);
    options.setKeepAliveTimeout((int) Math.max(1, keepAliveS));
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
    String name = to.host() + ":" + to.port();
    Host host = hosts.get(name);
    if (host == null) {
      if (hosts.size() >= maxHosts && !closeIdleHost()) {
        return Future.failedFuture(CallFailedException.untried("too many connections"));
      }
      host = new Host();
      hosts.put(name, host);
    }
    Call call = start(name, host, timeoutS);
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.valueOf(method))
            .setHost(to.host())
            .setPort(to.port())
            .setURI(path);
    client
        .request(options)
        .onFailure(e -> call.fail(e.getMessage()))
        .onSuccess(request -> call.send(request, body));
    return call.promise.future();
  }

  private Call start(String name, Host host, double timeoutS) {
    host.calls++;
    Call call = new Call(clock.now() + timeoutS);
    call.promise
        .future()
        .onComplete(
            result -> {
              host.calls--;
              removeIfUnused(name, host);
            });
    call.cancelTimer = timers.after(timeoutS, call::timeOut);
    return call;
  }

  private void opened(HttpConnection connection) {
    String name =
        connection.remoteAddress().hostAddress() + ":" + connection.remoteAddress().port();
    Host host = hosts.computeIfAbsent(name, k -> new Host());
    host.open.add(connection);
    connection.closeHandler(
        v -> {
          host.open.remove(connection);
          removeIfUnused(name, host);
        });
  }

  private void removeIfUnused(String name, Host host) {
    if (host.calls == 0 && host.open.isEmpty()) {
      hosts.remove(name, host);
    }
  }

  /** Closes the connections to a host without calls under way; false if there is none. */
  private boolean closeIdleHost() {
    for (Map.Entry<String, Host> entry : hosts.entrySet()) {
      if (entry.getValue().calls == 0) {
        hosts.remove(entry.getKey());
        List.copyOf(entry.getValue().open).forEach(HttpConnection::close);
        return true;
      }
    }
    return false;
  }

  /** One call under way; the first of reply, failure and time limit settles it. */
  private final class Call {
    final Promise<HttpReply> promise = Promise.promise();
    Runnable cancelTimer;
    private final double deadline;
    private boolean settled;

    /** Null until the request is sent. */
    private HttpClientRequest sentRequest;

    Call(double deadline) {
      this.deadline = deadline;
    }

    void send(HttpClientRequest request, byte[] body) {
      if (settled || clock.now() >= deadline) {
        abandon(request);
        return;
      }
      sentRequest = request;
      request.exceptionHandler(e -> fail(e.getMessage()));
      if (body != null) {
        request.putHeader("content-type", "application/json");
      }
      Future<HttpClientResponse> response =
          body == null ? request.send() : request.send(Buffer.buffer(body));
      response
          .compose(r -> r.body().map(b -> new HttpReply(r.statusCode(), b.getBytes())))
          .onSuccess(this::succeed)
          .onFailure(e -> fail(e.getMessage()));
    }

    /**
     * Given up while it waited for a connection, or about to be: a process that was paused may get
     * the connection before the timer. Nothing has been sent yet, and nothing may be.
     */
    private void abandon(HttpClientRequest request) {
      // Without a handler the library logs the reset as an error of its own.
      request.exceptionHandler(e -> {});
      request.reset();
      fail("not sent in time");
    }

    private void succeed(HttpReply reply) {
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
        promise.fail(new CallFailedException(sentRequest != null, why));
      }
    }

    void timeOut() {
      if (!settled) {
        settled = true;
        promise.fail(new CallFailedException(sentRequest != null, "no answer in time"));
        if (sentRequest != null) {
          sentRequest.reset();
        }
      }
    }
  }
}
