package io.embernotch.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.VertxTimers;
import io.embernotch.settings.HostPort;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Connects two controllers over loopback; the second starts while the first is running. */
class VertxPeerLinkTest {
  private static final String HOST = "127.0.0.1";

  /** Long enough that no test reaches the first connection retry, after 1/96 of the interval. */
  private static final String HEARTBEAT_INTERVAL = "report_s = 600.0";

  private static final String LEASE = "lease_s = 6000.0";
  private static final String CANCEL = "cancel_s = 9000.0";

  /** Timeout for immediate actions; shorter than the delay of the first connection retry. */
  private static final int IMMEDIATE_TIMEOUT_MS = 5000;

  private static final int STEP_MS = 50;

  private final Vertx vertx = Vertx.vertx();
  private final Context loop = vertx.getOrCreateContext();

  /** Ports of the three controllers; nothing listens on the third. */
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
    return link(vertx, index, received);
  }

  private VertxPeerLink link(Vertx client, int index, BlockingQueue<String> received) {
    String toml =
        SimulatedCluster.settingsToml(index)
            .replace("report_s = 3.0", HEARTBEAT_INTERVAL)
            .replace("lease_s = 30.0", LEASE)
            .replace("cancel_s = 50.0", CANCEL);
    for (int node = 0; node < ports.length; node++) {
      toml = toml.replace("'10.0.0." + (node + 1) + ":8081'", "'" + HOST + ":" + ports[node] + "'");
    }
    VertxPeerLink link =
        new VertxPeerLink(client, new VertxTimers(vertx, loop), SettingsReader.parse(toml));
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
    started.future().await(IMMEDIATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().await(IMMEDIATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Guards against a started process that waits for the next heartbeats of the others. */
  @Test
  void connectingControllerIsGreeted() throws Exception {
    start(first, 0);
    start(second, 1);
    assertThat(receivedBySecond.poll(IMMEDIATE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo("c0");
  }

  /** Guards against waiting for responses from a process that has ended. */
  @Test
  void controllerThatDoesNotListenIsNotConnected() throws Exception {
    start(first, 0);
    start(second, 1);
    awaitConnected("c1");
    assertThat(isConnected("c2")).isFalse();
  }

  /** Guards against dropping frames until the next connection retry. */
  @Test
  void connectionToAConnectingControllerIsOpenedImmediately() throws Exception {
    start(first, 0);
    start(second, 1);
    awaitConnected("c1");
    receivedBySecond.clear();
    loop.runOnContext(v -> first.send("c1", heartbeatOf(0)));
    assertThat(receivedBySecond.poll(IMMEDIATE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo("c0");
  }

  /** A Vert.x instance whose clients' connections are made, or fail, when the test says so. */
  private Vertx withPendingConnections(List<Promise<NetSocket>> attempts) {
    InvocationHandler client =
        (proxy, method, arguments) -> {
          Promise<NetSocket> attempt = Promise.promise();
          attempts.add(attempt);
          return attempt.future();
        };
    ClassLoader loader = getClass().getClassLoader();
    Object netClient = Proxy.newProxyInstance(loader, new Class<?>[] {NetClient.class}, client);
    InvocationHandler instance =
        (proxy, method, arguments) ->
            method.getName().equals("createNetClient")
                ? netClient
                : method.invoke(vertx, arguments);
    return (Vertx) Proxy.newProxyInstance(loader, new Class<?>[] {Vertx.class}, instance);
  }

  /**
   * Guards against waiting for the next retry after a connection attempt that began just before the
   * member listened, and fails after the member has connected.
   */
  @Test
  void attemptInProgressWhenAMemberConnectsIsRepeatedOnceItFails() throws Exception {
    List<Promise<NetSocket>> attempts = new CopyOnWriteArrayList<>();
    VertxPeerLink link = link(withPendingConnections(attempts), 0, receivedByFirst);
    start(link, 0);
    awaitSize(attempts, 2);
    Promise<Void> greeted = Promise.promise();
    vertx
        .createNetClient()
        .connect(ports[0], HOST)
        .onSuccess(socket -> socket.handler(greeting -> greeted.tryComplete()));
    greeted.future().await(IMMEDIATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    loop.runOnContext(v -> attempts.get(0).fail("connection refused"));
    awaitSize(attempts, 3);
  }

  private void awaitSize(List<?> attempts, int size) throws Exception {
    for (int waitedMs = 0;
        attempts.size() < size && waitedMs < IMMEDIATE_TIMEOUT_MS;
        waitedMs += STEP_MS) {
      Thread.sleep(STEP_MS);
    }
    assertThat(attempts).hasSize(size);
  }

  private void awaitConnected(String node) throws Exception {
    boolean connected = isConnected(node);
    for (int waitedMs = 0; !connected && waitedMs < IMMEDIATE_TIMEOUT_MS; waitedMs += STEP_MS) {
      Thread.sleep(STEP_MS);
      connected = isConnected(node);
    }
    assertThat(connected).as("connected to " + node).isTrue();
  }

  private boolean isConnected(String node) throws Exception {
    Promise<Boolean> answer = Promise.promise();
    loop.runOnContext(v -> answer.complete(first.isConnected(node)));
    return answer.future().await(IMMEDIATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
