package io.embernotch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.http.HttpReply;
import io.embernotch.testkit.FakeCloud;
import io.embernotch.testkit.FakeStore;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.TestJobs;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against controllers that end for lack of heap because of the ended jobs in the store, as
 * leader or while a replica is filled. {@code -Dendedjobs.count=N} sets the number of jobs.
 */
class EndedJobsIT {
  /** Three days of the deployment with the most jobs, 15.8 a minute. */
  private static final int THREE_DAYS = 68_256;

  private static final int JOBS = Integer.getInteger("endedjobs.count", THREE_DAYS);
  private static final int FIRST_REF = 1_000_000;
  private static final int REQUEST_TIMEOUT_MS = 5000;
  private static final long POLL_MS = 500;
  private static final double LOADED_WITHIN_S = 60;
  private static final Path DIRECTORY = Path.of("target", "soak", "ended-jobs");

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client = vertx.createHttpClient();
  private final FakeTime time = new FakeTime();
  private final FakeStore store = new FakeStore(time);
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private SoakSettings.Ports ports;
  private MessageLog messages;

  @AfterEach
  void endAll() throws IOException {
    controllers.forEach(ControllerProcess::close);
    await(vertx.close());
    messages.close();
  }

  private void putEndedJobs() {
    String submission =
        "{\"at\":900000,\"piece\":85,\"job\":" + TestJobs.job("REF", "array", 5) + "}";
    for (int i = 0; i < JOBS; i++) {
      String ref = "j-" + (FIRST_REF + i);
      store.put("job/" + ref, submission.replace("REF", ref));
      store.put("run/" + ref, "{\"next\":6,\"end\":\"done\",\"at\":900500}");
    }
  }

  private void startControllers() throws Exception {
    Files.createDirectories(DIRECTORY);
    SoakSettings.Ports free = new FreePorts().allocate();
    ports =
        new SoakSettings.Ports(
            free.client(),
            free.peer(),
            List.of(free.peer(), free.peer(), free.peer()),
            free.store(),
            free.cloud());
    SoakSettings settings = new SoakSettings(1, 0, 1, false, DIRECTORY);
    FakeCloud cloud =
        new FakeCloud(time, new TreeMap<>(), worker -> {}, machine -> "127.0.0.1:" + ports.cloud());
    await(listenAll(cloud));
    messages = new MessageLog(DIRECTORY.resolve("messages.log"));
    for (int node = 0; node < SoakSettings.CONTROLLERS; node++) {
      ControllerProcess controller =
          new ControllerProcess(node, settings.toml(node, ports), DIRECTORY, messages.facts());
      controllers.add(controller);
      controller.start();
    }
  }

  private Future<?> listenAll(FakeCloud cloud) {
    List<Future<?>> listening = new ArrayList<>();
    listening.add(listen(ports.cloud(), (request, body) -> answered(cloud, request, body)));
    for (int port : ports.store()) {
      listening.add(
          listen(port, (request, body) -> store.handle(method(request), request.uri(), body)));
    }
    vertx.runOnContext(v -> new RealTimeDriver(vertx, time));
    return Future.all(listening);
  }

  private static Future<HttpReply> answered(
      FakeCloud cloud, HttpServerRequest request, byte[] body) {
    return Future.succeededFuture(cloud.handle(method(request), request.path(), body));
  }

  private static String method(HttpServerRequest request) {
    return request.method().name();
  }

  /** Answers a request with a body. */
  private interface Handler {
    Future<HttpReply> handle(HttpServerRequest request, byte[] body);
  }

  private Future<?> listen(int port, Handler handler) {
    return vertx
        .createHttpServer()
        .requestHandler(
            request ->
                request.bodyHandler(
                    body ->
                        handler
                            .handle(request, body.getBytes())
                            .onSuccess(reply -> StoreServer.respond(request, reply))))
        .listen(port, "127.0.0.1");
  }

  private String get(int node, String path) {
    Future<String> body =
        Requests.send(
                client,
                HttpMethod.GET,
                ports.client().get(node),
                path,
                Buffer.buffer().getBytes(),
                REQUEST_TIMEOUT_MS)
            .map(reply -> new String(reply.body(), StandardCharsets.UTF_8))
            .otherwise("");
    return await(body);
  }

  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().orTimeout(30, TimeUnit.SECONDS).join();
  }

  private long count(String text) {
    return controllers.stream()
        .filter(controller -> get(controller.index, "/overview").contains(text))
        .count();
  }

  private boolean allRunning() {
    return controllers.stream().allMatch(ControllerProcess::isRunning);
  }

  private void awaitWhileAllRun(String what, BooleanSupplier condition)
      throws InterruptedException {
    long until = System.nanoTime() + (long) (LOADED_WITHIN_S * TimeUnit.SECONDS.toNanos(1));
    while (System.nanoTime() < until && allRunning() && !condition.getAsBoolean()) {
      Thread.sleep(POLL_MS);
    }
    assertThat(allRunning()).as("all controllers are running until %s", what).isTrue();
    assertThat(condition.getAsBoolean()).as(what).isTrue();
  }

  @Test
  void noControllerEndsForLackOfHeapWithTheEndedJobsOfThreeDays() throws Exception {
    putEndedJobs();
    startControllers();
    awaitWhileAllRun("a leader has loaded all", () -> count("\"ended\":" + JOBS) > 0);
    awaitWhileAllRun("both replicas are filled", () -> count("\"following\":true") == 2);
    // The next leader loads while the others fill replicas and request what it knows.
    ControllerProcess leader =
        controllers.stream()
            .filter(c -> get(c.index, "/overview").contains("\"ended\":" + JOBS))
            .findFirst()
            .orElseThrow();
    leader.close();
    leader.start();
    awaitWhileAllRun("the next leader has loaded all", () -> count("\"ended\":" + JOBS) > 0);
    awaitWhileAllRun("the replicas are filled", () -> count("\"following\":true") == 2);
    for (ControllerProcess controller : controllers) {
      String ref = "j-" + (FIRST_REF + JOBS / 2 + controller.index);
      assertThat(get(controller.index, "/api/jobs/" + ref)).contains("\"done\"");
    }
  }
}
