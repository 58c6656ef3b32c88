package io.embernotch.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.SystemClock;
import io.embernotch.actor.VertxTimers;
import io.embernotch.settings.HostPort;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections of the outgoing HTTP client. */
class VertxHttpCallerTest {
  private Vertx vertx;
  private Context loop;
  private HttpServer server;

  @BeforeEach
  void listen() throws Exception {
    vertx = Vertx.vertx();
    loop = vertx.getOrCreateContext();
    server = vertx.createHttpServer();
    server.requestHandler(
        r -> {
          if (!r.path().equals("/never")) {
            r.response().end("ok");
          }
        });
    server.listen(0, "0.0.0.0").toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private Future<HttpReply> call(
      VertxHttpCaller caller, String host, String path, double timeoutS) {
    Promise<HttpReply> reply = Promise.promise();
    loop.runOnContext(
        v ->
            caller
                .call("GET", new HostPort(host, server.actualPort()), path, null, timeoutS)
                .onComplete(reply));
    return reply.future();
  }

  private static HttpReply get(Future<HttpReply> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /**
   * If idle connections were kept, commands to further machines would fail for most of a heartbeat
   * interval.
   */
  @Test
  void idleConnectionIsClosedForAnotherHostAndABusyOneIsNot() throws Exception {
    VertxHttpCaller caller =
        new VertxHttpCaller(vertx, new SystemClock(), new VertxTimers(vertx, loop), 1, 1, 5, 60);
    for (String host : new String[] {"127.0.0.1", "127.0.0.2", "127.0.0.1", "127.0.0.3"}) {
      assertThat(get(call(caller, host, "/", 8)).status()).isEqualTo(200);
    }
    Future<HttpReply> busy = call(caller, "127.0.0.4", "/never", 1);
    assertThat(call(caller, "127.0.0.1", "/", 8).toCompletionStage().toCompletableFuture())
        .failsWithin(10, TimeUnit.SECONDS)
        .withThrowableThat()
        .havingCause()
        .isInstanceOfSatisfying(CallFailedException.class, e -> assertThat(e.tried()).isFalse());
    assertThat(busy.toCompletionStage().toCompletableFuture()).failsWithin(10, TimeUnit.SECONDS);
    assertThat(get(call(caller, "127.0.0.1", "/", 8)).status()).isEqualTo(200);
  }
}
