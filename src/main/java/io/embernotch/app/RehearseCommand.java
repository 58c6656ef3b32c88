package io.embernotch.app;

import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;

/**
 * Runs a controller on loopback for a moment, against a server that answers like an empty store and
 * cloud. The class archive that the JVM writes at the end holds what a start needs; loading classes
 * is what takes a controller with a share of a core longest.
 */
@Command(
    name = "rehearse",
    hidden = true,
    description = "Runs briefly, for the JVM to record what a start loads.")
final class RehearseCommand implements Callable<Integer> {
  private static final double DURATION_S = 4;

  @Override
  public Integer call() throws Exception {
    Path program = ownLocation();
    if (Files.isRegularFile(program)) {
      ClassPreloader.loadAll(program);
    }
    int client = freePort();
    int peers = freePort();
    int services = freePort();
    Vertx vertx = Vertx.vertx();
    HttpServer standIn = vertx.createHttpServer().requestHandler(RehearseCommand::answer);
    standIn
        .listen(services, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(5, TimeUnit.SECONDS);
    Server.start(
        SettingsReader.parse(settings(client, peers, services)), OperatorSettings.DEFAULTS);
    long end = System.nanoTime() + (long) (DURATION_S * 1e9);
    while (System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(200);
      send(vertx, client, HttpMethod.GET, "/ready", "");
      send(vertx, client, HttpMethod.POST, "/api/jobs", JOB);
      send(vertx, client, HttpMethod.GET, "/api/jobs/j-1", "");
      send(vertx, client, HttpMethod.POST, "/hello", HEARTBEAT);
      send(vertx, client, HttpMethod.GET, "/overview", "");
    }
    return 0;
  }

  private static void send(Vertx vertx, int port, HttpMethod method, String path, String body) {
    vertx
        .createHttpClient()
        .request(method, port, "127.0.0.1", path)
        .compose(request -> request.send(body))
        .compose(response -> response.body());
  }

  /** The jar that this program runs from, or a directory of classes. */
  private static Path ownLocation() throws URISyntaxException {
    return Path.of(
        RehearseCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static void answer(HttpServerRequest request) {
    String path = request.path();
    request
        .body()
        .onSuccess(
            body -> {
              if (path.startsWith("/store/") || path.equals("/machines/delete")) {
                request
                    .response()
                    .setStatusCode(path.startsWith("/store/") ? 404 : 200)
                    .end("{\"epoch\":1}");
              } else if (path.equals("/changes")) {
                request.response().closeHandler(v -> {});
              } else {
                request.response().end(ALL);
              }
            });
  }

  /** All answers in one: readers ignore fields that they do not know. */
  private static final String ALL =
      "{\"epoch\":2,\"permit\":1,\"pairs\":[],\"truncated\":false,\"hearths\":[],\"events\":[],\"flavors\":["
          + "{\"name\":\"t\",\"cores\":8,\"cards\":1,\"mem_gb\":64,\"local_gb\":10,\"fetch_gb_per_s\":1,"
          + "\"rate\":1,\"market_price\":1,\"boot_s\":1,\"rooms\":[\"a\"]}]}";

  private static final String JOB =
      "{\"ref\":\"j-1\",\"jobclass\":\"c\",\"owner\":\"t\",\"shape\":\"array\",\"rank\":\"standard\",\"shards\":1,"
          + "\"cores\":1,\"cards\":0,\"mem_gb\":1,\"bundle\":\"i\",\"size_gb\":1,\"one_zone\":false,"
          + "\"scatter\":false,\"loaner\":true,\"expect_s\":1,\"snapshot_s\":0,\"flush_s\":0}";

  private static final String HEARTBEAT =
      "{\"hearth\":\"n-1\",\"address\":\"127.0.0.1:1\",\"flavor\":\"t\",\"room\":\"a\",\"loaner\":false,"
          + "\"tenure\":1,\"tick\":1,\"baton\":0,\"shards\":[]}";

  private static String settings(int client, int peers, int services) {
    return "node='r'\nlocation='a'\nclient_listen='127.0.0.1:"
        + client
        + "'\nback='127.0.0.1:"
        + peers
        + "'\n"
        + "[[members]]\nnode='s'\nlocation='a'\naddress='127.0.0.1:"
        + peers
        + "'\n"
        + "[external]\ncloud='127.0.0.1:"
        + services
        + "'\nstate='127.0.0.1:"
        + services
        + "'\n"
        + "[cluster]\ncount=1\nzones=['a']\n[[cluster.teams]]\nname='t'\n"
        + "[cluster.workers]\nreport_s=1\nlease_s=10\ngang_wait_s=10\ngang_peer_s=4\ncancel_s=20\n"
        + "[cluster.state]\nrps=100\nwrite_rps=100\nvalue_kb=8\ntxn_ops=10\n"
        + "[cluster.cloud]\nrps=5\nlist_lag_s=1\n[cluster.quota]\ncpu_share=1\nmemory_mb=256\nmax_connections=100\n";
  }
}
