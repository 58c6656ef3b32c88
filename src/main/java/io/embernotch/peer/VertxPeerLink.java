package io.embernotch.peer;

import io.embernotch.actor.Timers;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.settings.HostPort;
import io.embernotch.settings.Settings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one outgoing TCP connection to each member. Responses travel back on the connection that
 * the request came by.
 */
public final class VertxPeerLink implements PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(VertxPeerLink.class);

  /**
   * A restarted process may be back at once: the first retry comes after this share of the longest
   * time between two, and the time doubles from there.
   */
  private static final double FIRST_RETRY_SHARE = 1.0 / 32;

  /** Connections are retried so many times a heartbeat interval at the least. */
  private static final int RETRIES_PER_HEARTBEAT = 3;

  private static final int MS_PER_S = 1000;

  private final Timers timers;
  private final NetClient client;
  private final double retryS;
  private final Map<String, Outgoing> outgoing = new HashMap<>();
  private BiConsumer<Frame, ReplyChannel> handler = (frame, reply) -> {};
  private Consumer<ReplyChannel> greeter = replies -> {};

  /** A link to all members of the settings; {@link #start} connects it. */
  public VertxPeerLink(Vertx vertx, Timers timers, Settings settings) {
    this.timers = timers;
    this.retryS = settings.workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT;
    NetClientOptions options = new NetClientOptions();
    options.setConnectTimeout((int) (retryS * MS_PER_S)).setTcpNoDelay(true);
    this.client = vertx.createNetClient(options);
    for (Settings.Member member : settings.members()) {
      outgoing.put(member.node(), new Outgoing(member.address()));
    }
  }

  /**
   * Listens for the members' connections, and connects to them; the future fails if the address
   * cannot be listened on.
   */
  public Future<Void> start(Vertx vertx, HostPort listen) {
    NetServerOptions options = new NetServerOptions();
    options.setTcpNoDelay(true).setReuseAddress(true);
    return vertx
        .createNetServer(options)
        .connectHandler(this::accept)
        .listen(listen.port(), listen.host())
        .onSuccess(listening -> outgoing.values().forEach(Outgoing::connect))
        .mapEmpty();
  }

  /** Whoever connects may have been started just now: it is greeted, and connected to at once. */
  private void accept(NetSocket socket) {
    Outbox outbox = attach(socket);
    greeter.accept(outbox::add);
    outgoing.values().forEach(Outgoing::connect);
  }

  @Override
  public void onFrame(BiConsumer<Frame, ReplyChannel> newHandler) {
    handler = newHandler;
  }

  @Override
  public void onConnected(Consumer<ReplyChannel> newGreeter) {
    greeter = newGreeter;
  }

  @Override
  public void send(String node, Frame frame) {
    Outgoing connection = outgoing.get(node);
    if (connection != null && connection.socket != null) {
      connection.outbox.add(frame);
    }
  }

  @Override
  public boolean isConnected(String node) {
    Outgoing connection = outgoing.get(node);
    return connection != null && connection.socket != null;
  }

  @Override
  public void renew(String node) {
    Outgoing connection = outgoing.get(node);
    if (connection != null && connection.socket != null) {
      connection.socket.close();
    }
  }

  private Outbox attach(NetSocket socket) {
    Outbox outbox = new Outbox(socket);
    FrameReader reader = new FrameReader(frame -> handler.accept(frame, outbox::add));
    socket.handler(
        bytes -> {
          try {
            reader.feed(bytes.getBytes());
          } catch (MalformedInputException e) {
            LOG.info("dropping a controller's connection: {}", e.getMessage());
            socket.close();
          }
        });
    socket.exceptionHandler(
        e -> LOG.debug("connection to a controller failed: {}", e.getMessage()));
    return outbox;
  }

  /**
   * Collects the frames of one iteration of the event loop, so that forwarded heartbeats share
   * packets and system calls.
   */
  private static final class Outbox {
    private final NetSocket socket;
    private Buffer batch;

    Outbox(NetSocket socket) {
      this.socket = socket;
    }

    void add(Frame frame) {
      // A peer that does not read must not fill this process's memory: frames are dropped, and
      // repeated later.
      if (socket.writeQueueFull()) {
        return;
      }
      if (batch == null) {
        batch = Buffer.buffer();
        Vertx.currentContext().runOnContext(v -> flush());
      }
      batch.appendBytes(FrameCodec.encode(frame));
    }

    private void flush() {
      Buffer frames = batch;
      batch = null;
      socket.write(frames);
    }
  }

  /** The connection to one member, retried until it is there. */
  private final class Outgoing {
    final HostPort address;
    NetSocket socket;
    Outbox outbox;
    double retryDelayS = FIRST_RETRY_SHARE * retryS;
    boolean connecting;

    Outgoing(HostPort address) {
      this.address = address;
    }

    /** Connects, unless it is connected or about to be. */
    void connect() {
      if (socket != null || connecting) {
        return;
      }
      connecting = true;
      client
          .connect(address.port(), address.host())
          .onComplete(attempt -> connecting = false)
          .onSuccess(
              connected -> {
                socket = connected;
                outbox = attach(connected);
                retryDelayS = FIRST_RETRY_SHARE * retryS;
                connected.closeHandler(
                    v -> {
                      socket = null;
                      retry();
                    });
              })
          .onFailure(e -> retry());
    }

    private void retry() {
      timers.after(retryDelayS, this::connect);
      retryDelayS = Math.min(retryS, 2 * retryDelayS);
    }
  }
}
