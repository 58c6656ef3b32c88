package io.embernotch.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.VertxTimers;
import io.embernotch.settings.HostPort;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two controllers on loopback, of which one is started while the other one is up. */
class VertxPeerLinkTest {
  private static final String HOST = "127.0.0.1";

  /** Long enough for any connection; a retry of one would take as long as a heartbeat interval. */
  private static final int AT_ONCE_MS = 400;

  private static final int UP_FOR_MS = 3000;
  private static final int STARTED_S = 5;

  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();

  /** Nobody listens on the third one. */
  private final int[] ports = {freePort(), freePort(), freePort()};

  private final BlockingQueue<String> receivedByFirst = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> receivedBySecond = new LinkedBlockingQueue<>();
  private final VertxPeerLink first = link(0, receivedByFirst);
  private final VertxPeerLink second = link(1, receivedBySecond);

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private VertxPeerLink link(int index, BlockingQueue<String> received) {
    String toml = SimulatedCluster.settingsToml(index);
    for (int node = 0; node < ports.length; node++) {
      toml = toml.replace("'10.0.0." + (node + 1) + ":8081'", "'" + HOST + ":" + ports[node] + "'");
    }
    VertxPeerLink link =
        new VertxPeerLink(vertx, new VertxTimers(vertx, loop), SettingsReader.parse(toml));
    link.onFrame((frame, replies) -> received.add(((Frame.PeerHeartbeat) frame).node()));
    link.onConnected(replies -> replies.send(heartbeatOf(index)));
    return link;
  }

  private static Frame heartbeatOf(int index) {
    return new Frame.PeerHeartbeat("c" + index, null, 0, true, true);
  }

  private void start(VertxPeerLink link, int index) throws Exception {
    HostPort address = HostPort.parse(HOST + ":" + ports[index]);
    Promise<Void> started = Promise.promise();
    loop.runOnContext(v -> link.start(vertx, address).onComplete(started));
    started.future().await(STARTED_S, TimeUnit.SECONDS);
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().await(STARTED_S, TimeUnit.SECONDS);
  }

  /** Guards against a process that hears of the others only with their next heartbeats. */
  @Test
  void whoeverConnectsIsGreeted() throws Exception {
    start(first, 0);
    start(second, 1);
    assertThat(receivedBySecond.poll(AT_ONCE_MS, TimeUnit.MILLISECONDS)).isEqualTo("c0");
  }

  /** Guards against answers that are waited for from a process that has ended. */
  @Test
  void whoeverDoesNotListenIsNotConnected() throws Exception {
    start(first, 0);
    start(second, 1);
    Thread.sleep(AT_ONCE_MS);
    BlockingQueue<Boolean> connected = new LinkedBlockingQueue<>();
    loop.runOnContext(
        v -> {
          connected.add(first.isConnected("c1"));
          connected.add(first.isConnected("c2"));
        });
    assertThat(connected.poll(AT_ONCE_MS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(connected.poll(AT_ONCE_MS, TimeUnit.MILLISECONDS)).isFalse();
  }

  /** Guards against frames that are dropped until the next retry of a connection. */
  @Test
  void whoeverConnectsIsConnectedToAtOnce() throws Exception {
    start(first, 0);
    Thread.sleep(UP_FOR_MS);
    start(second, 1);
    Thread.sleep(AT_ONCE_MS);
    receivedBySecond.clear();
    loop.runOnContext(v -> first.send("c1", heartbeatOf(0)));
    assertThat(receivedBySecond.poll(AT_ONCE_MS, TimeUnit.MILLISECONDS)).isEqualTo("c0");
  }
}
