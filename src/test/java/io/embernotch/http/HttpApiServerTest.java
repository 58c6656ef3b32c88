package io.embernotch.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.VertxTimers;
import io.embernotch.model.Heartbeat;
import io.embernotch.settings.HostPort;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Context;
import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The HTTP server in front of a controller's event loop that is busy: its tasks are run by the
 * test, on a fake clock.
 */
class HttpApiServerTest implements RequestHandler {
  private final Settings settings =
      SettingsReader.parse(
          SimulatedCluster.settingsToml(0)
              .replace("max_connections = 1000", "max_connections = 12"));
  private final Vertx vertx = Vertx.vertx();
  private final FakeTime time = new FakeTime();
  private final BlockingQueue<Runnable> core = new LinkedBlockingQueue<>();
  private HttpClient client;
  private int port;
  private int pollCount;
  private int heartbeatCount;

  @BeforeEach
  void listen() throws Exception {
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    client = vertx.createHttpClient();
    await(vertx.deployVerticle((Deployable) this::startServer));
  }

  private Future<?> startServer(Context loop) {
    return new HttpApiServer(this, core::add, time, new VertxTimers(vertx, loop), settings)
        .listen(vertx, new HostPort("127.0.0.1", port));
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  private Future<Integer> request(HttpMethod method, String path, String body) {
    return client
        .request(method, port, "127.0.0.1", path)
        .compose(r -> r.send(body))
        .map(r -> r.statusCode());
  }

  private void runNext() throws InterruptedException {
    core.poll(20, TimeUnit.SECONDS).run();
  }

  @Test
  void timedOutRequestDoesNotReachTheCore() throws Exception {
    Future<Integer> late = request(HttpMethod.GET, "/api/jobs/j-1", "");
    Runnable waiting = core.poll(20, TimeUnit.SECONDS);
    // Users wait two seconds for a poll.
    time.advance(2.5);
    waiting.run();
    assertThat(await(late)).isEqualTo(503);
    assertThat(pollCount).isZero();
    Future<Integer> good = request(HttpMethod.GET, "/api/jobs/j-1", "");
    runNext();
    assertThat(await(good)).isEqualTo(200);
    assertThat(pollCount).isEqualTo(1);
  }

  @Test
  void healthCheckGetsTheLastKnownStateWhileTheCoreIsBusy() throws Exception {
    Future<Integer> first = request(HttpMethod.GET, "/ready", "");
    runNext();
    assertThat(await(first)).isEqualTo(200);
    Future<Integer> busy = request(HttpMethod.GET, "/ready", "");
    assertThat(await(busy)).isEqualTo(200);
  }

  /** Heartbeats that waited in buffers while the process paused must not be taken for fresh. */
  @Test
  void requestsThatArrivedDuringAPauseAreDropped() throws Exception {
    Future<Integer> before = request(HttpMethod.GET, "/api/jobs/j-1", "");
    runNext();
    assertThat(await(before)).isEqualTo(200);
    time.advance(30);
    Future<Integer> late = request(HttpMethod.GET, "/api/jobs/j-1", "");
    assertThat(late.toCompletionStage().toCompletableFuture()).failsWithin(20, TimeUnit.SECONDS);
    assertThat(core).isEmpty();
    time.advance(1);
    // A new client opens a new connection. The old one may still hold the connection of the first
    // request, which the server has closed: what it sends on that one before it has seen the end
    // fails at once, without having been sent, and is the caller's to repeat.
    client = vertx.createHttpClient();
    Future<Integer> after = request(HttpMethod.GET, "/api/jobs/j-1", "");
    runNext();
    assertThat(await(after)).isEqualTo(200);
  }

  /**
   * With fewer connections than workers, those that came first must not keep theirs while the
   * others lose their leases.
   */
  @Test
  void workersShareScarceConnections() throws Exception {
    String heartbeat =
        "{\"hearth\":\"n-1\",\"address\":\"10.0.0.9:9\",\"flavor\":\"g8\",\"room\":\"z1\",\"loaner\":false,"
            + "\"tenure\":1,\"tick\":1,\"baton\":0,\"recall_s\":null,\"shards\":[]}";
    // A client that is no longer referenced closes its connections.
    List<HttpClient> clients = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      HttpClient workerClient = vertx.createHttpClient();
      clients.add(workerClient);
      Future<Boolean> closesConnection =
          workerClient
              .request(HttpMethod.POST, port, "127.0.0.1", "/hello")
              .compose(r -> r.send(heartbeat))
              .map(r -> "close".equals(r.getHeader("connection")));
      runNext();
      // Three quarters of the connections that are left beside eight outgoing calls.
      assertThat(await(closesConnection)).isEqualTo(i >= 3);
    }
    assertThat(heartbeatCount).isEqualTo(clients.size());
  }

  @Test
  void malformedHeartbeatIsRejectedWithoutTheCore() throws Exception {
    assertThat(await(request(HttpMethod.POST, "/hello", "{\"hearth\":"))).isEqualTo(400);
    assertThat(core).isEmpty();
    assertThat(heartbeatCount).isZero();
  }

  @Override
  public Future<HttpResponse> submit(byte[] body) {
    return Future.succeededFuture(HttpResponse.error(400, "not asked here"));
  }

  @Override
  public Future<HttpResponse> poll(String ref) {
    pollCount++;
    return Future.succeededFuture(HttpResponse.of(200, new byte[0]));
  }

  @Override
  public Future<HttpResponse> abort(String ref) {
    return Future.succeededFuture(HttpResponse.error(400, "not asked here"));
  }

  @Override
  public Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat) {
    heartbeatCount++;
    return Future.succeededFuture(HttpResponse.of(200, new byte[0]));
  }

  @Override
  public HttpResponse ready() {
    return HttpResponse.of(200, new byte[0]);
  }

  @Override
  public Future<HttpResponse> overview() {
    return Future.succeededFuture(HttpResponse.of(200, new byte[0]));
  }
}
