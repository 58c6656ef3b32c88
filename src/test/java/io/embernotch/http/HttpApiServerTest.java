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
 * The front before a core that is busy: its tasks are run by the test, and the time that they see
 * is the test's.
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
  private int polled;
  private int reported;

  @BeforeEach
  void listen() throws Exception {
    try (ServerSocket s = new ServerSocket(0)) {
      port = s.getLocalPort();
    }
    client = vertx.createHttpClient();
    await(vertx.deployVerticle((Deployable) this::front));
  }

  private Future<?> front(Context loop) {
    return new HttpApiServer(this, core::add, time, new VertxTimers(vertx, loop), settings)
        .listen(vertx, new HostPort("127.0.0.1", port));
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> f) throws Exception {
    return f.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  private Future<Integer> ask(HttpMethod method, String path, String body) {
    return client
        .request(method, port, "127.0.0.1", path)
        .compose(r -> r.send(body))
        .map(r -> r.statusCode());
  }

  private void runNext() throws InterruptedException {
    core.poll(20, TimeUnit.SECONDS).run();
  }

  @Test
  void whatItsUserNoLongerWaitsForDoesNotReachTheCore() throws Exception {
    Future<Integer> late = ask(HttpMethod.GET, "/api/jobs/j-1", "");
    Runnable waiting = core.poll(20, TimeUnit.SECONDS);
    // Users give a poll two seconds.
    time.advance(2.5);
    waiting.run();
    assertThat(await(late)).isEqualTo(503);
    assertThat(polled).isZero();
    Future<Integer> good = ask(HttpMethod.GET, "/api/jobs/j-1", "");
    runNext();
    assertThat(await(good)).isEqualTo(200);
    assertThat(polled).isEqualTo(1);
  }

  @Test
  void aHealthCheckIsToldWhatWasLastKnownWhileTheCoreIsBusy() throws Exception {
    Future<Integer> first = ask(HttpMethod.GET, "/ready", "");
    runNext();
    assertThat(await(first)).isEqualTo(200);
    Future<Integer> busy = ask(HttpMethod.GET, "/ready", "");
    assertThat(await(busy)).isEqualTo(200);
  }

  /** Reports that had waited in the buffers of a process that stood still were taken for fresh. */
  @Test
  void whatCameWhileTheProcessStoodStillIsGivenUp() throws Exception {
    Future<Integer> before = ask(HttpMethod.GET, "/api/jobs/j-1", "");
    runNext();
    assertThat(await(before)).isEqualTo(200);
    time.advance(30);
    Future<Integer> late = ask(HttpMethod.GET, "/api/jobs/j-1", "");
    assertThat(late.toCompletionStage().toCompletableFuture()).failsWithin(20, TimeUnit.SECONDS);
    assertThat(core).isEmpty();
    time.advance(1);
    Future<Integer> after = ask(HttpMethod.GET, "/api/jobs/j-1", "");
    runNext();
    assertThat(await(after)).isEqualTo(200);
  }

  /**
   * With fewer connections than workers, those that came first kept theirs, and the others lost
   * what they ran.
   */
  @Test
  void inACrowdWorkersTakeTurns() throws Exception {
    String heartbeat =
        "{\"hearth\":\"n-1\",\"address\":\"10.0.0.9:9\",\"flavor\":\"g8\",\"room\":\"z1\",\"loaner\":false,"
            + "\"tenure\":1,\"tick\":1,\"baton\":0,\"recall_s\":null,\"shards\":[]}";
    // A client that nobody holds any more closes its connections.
    List<HttpClient> crowd = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      HttpClient one = vertx.createHttpClient();
      crowd.add(one);
      Future<Boolean> parts =
          one.request(HttpMethod.POST, port, "127.0.0.1", "/hello")
              .compose(r -> r.send(heartbeat))
              .map(r -> "close".equals(r.getHeader("connection")));
      runNext();
      // Three quarters of what is left beside eight calls of our own.
      assertThat(await(parts)).isEqualTo(i >= 3);
    }
    assertThat(reported).isEqualTo(crowd.size());
  }

  @Test
  void aMalformedHeartbeatIsRefusedWithoutTheCore() throws Exception {
    assertThat(await(ask(HttpMethod.POST, "/hello", "{\"hearth\":"))).isEqualTo(400);
    assertThat(core).isEmpty();
    assertThat(reported).isZero();
  }

  @Override
  public Future<HttpResponse> submit(byte[] body) {
    return Future.succeededFuture(HttpResponse.error(400, "not asked here"));
  }

  @Override
  public Future<HttpResponse> poll(String ref) {
    polled++;
    return Future.succeededFuture(HttpResponse.of(200, new byte[0]));
  }

  @Override
  public Future<HttpResponse> abort(String ref) {
    return Future.succeededFuture(HttpResponse.error(400, "not asked here"));
  }

  @Override
  public Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat) {
    reported++;
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
