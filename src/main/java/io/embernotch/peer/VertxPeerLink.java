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
 * Maintains one outgoing TCP connection to each of the other controllers. Replies are sent on the
 * connection on which the request arrived.
 */
public final class VertxPeerLink implements PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(VertxPeerLink.class);

  /**
   * First retry delay as a share of the maximum. It is short because a restarted process may accept
   * connections again immediately; the delay doubles with each retry.
   */
  private static final double FIRST_RETRY_SHARE = 1.0 / 32;

  /** Minimum number of connection retries per heartbeat interval. */
  private static final int RETRIES_PER_HEARTBEAT = 3;

  private static final int MS_PER_S = 1000;

  private final Timers timers;
  private final NetClient client;
  private final double maxRetryDelayS;
  private final Map<String, OutgoingConnection> outgoing = new HashMap<>();
  private BiConsumer<Frame, ReplyChannel> handler = (frame, reply) -> {};
  private Consumer<ReplyChannel> connectedCallback = replies -> {};

  /** Creates a link to all members in the settings; {@link #start} connects it. */
  public VertxPeerLink(Vertx vertx, Timers timers, Settings settings) {
    this.timers = timers;
    this.maxRetryDelayS = settings.workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT;
    NetClientOptions options = new NetClientOptions();
    options.setConnectTimeout((int) (maxRetryDelayS * MS_PER_S)).setTcpNoDelay(true);
    this.client = vertx.createNetClient(options);
    for (Settings.Member member : settings.members()) {
      outgoing.put(member.node(), new OutgoingConnection(member.address()));
    }
  }

  /**
   * Listens for connections of the members and connects to them. The future fails if this
   * controller cannot listen on the address.
   */
  public Future<Void> start(Vertx vertx, HostPort listen) {
    NetServerOptions options = new NetServerOptions();
    options.setTcpNoDelay(true).setReuseAddress(true);
    return vertx
        .createNetServer(options)
        .connectHandler(this::accept)
        .listen(listen.port(), listen.host())
        .onSuccess(listening -> outgoing.values().forEach(OutgoingConnection::connect))
        .mapEmpty();
  }

  /**
   * Accepts a connection. Its controller may just have started, so this controller greets it and
   * connects to all unconnected members immediately instead of waiting for the next retry.
   */
  private void accept(NetSocket socket) {
    Outbox outbox = attach(socket);
    connectedCallback.accept(outbox::add);
    outgoing.values().forEach(OutgoingConnection::connectImmediately);
  }

  @Override
  public void onFrame(BiConsumer<Frame, ReplyChannel> newHandler) {
    handler = newHandler;
  }

  @Override
  public void onConnected(Consumer<ReplyChannel> newCallback) {
    connectedCallback = newCallback;
  }

  @Override
  public void send(String node, Frame frame) {
    OutgoingConnection connection = outgoing.get(node);
    if (connection != null && connection.socket != null) {
      connection.outbox.add(frame);
    }
  }

  @Override
  public boolean isConnected(String node) {
    OutgoingConnection connection = outgoing.get(node);
    return connection != null && connection.socket != null;
  }

  @Override
  public void reconnect(String node) {
    OutgoingConnection connection = outgoing.get(node);
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
            LOG.info("closing a peer connection after a malformed frame: {}", e.getMessage());
            socket.close();
          }
        });
    socket.exceptionHandler(e -> LOG.debug("peer connection failed: {}", e.getMessage()));
    return outbox;
  }

  /**
   * Batches the frames that one iteration of the event loop sends on a connection, which saves
   * packets and system calls when many heartbeats are forwarded.
   */
  private static final class Outbox {
    private final NetSocket socket;
    private Buffer batch;

    Outbox(NetSocket socket) {
      this.socket = socket;
    }

    void add(Frame frame) {
      // Drop the frame: a peer that does not read must not exhaust this process's memory. Senders
      // repeat frames later.
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

  /** The outgoing connection to one member; retries until it is established. */
  private final class OutgoingConnection {
    final HostPort address;
    NetSocket socket;
    Outbox outbox;
    double retryDelayS = FIRST_RETRY_SHARE * maxRetryDelayS;
    boolean connecting;

    /** Whether to connect again at once if the attempt in progress fails. */
    boolean connectAgain;

    OutgoingConnection(HostPort address) {
      this.address = address;
    }

    /**
     * Connects, unless a connection exists. An attempt in progress may have begun before the member
     * listened, so it is repeated at once if it fails.
     */
    void connectImmediately() {
      connectAgain = connecting;
      connect();
    }

    /** Connects, unless a connection exists or an attempt is in progress. */
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
                connectAgain = false;
                socket = connected;
                outbox = attach(connected);
                retryDelayS = FIRST_RETRY_SHARE * maxRetryDelayS;
                connected.closeHandler(
                    v -> {
                      socket = null;
                      retry();
                    });
              })
          .onFailure(e -> connectAgainOrRetry());
    }

    private void connectAgainOrRetry() {
      if (connectAgain) {
        connectAgain = false;
        connect();
      } else {
        retry();
      }
    }

    private void retry() {
      timers.after(retryDelayS, this::connect);
      retryDelayS = Math.min(maxRetryDelayS, 2 * retryDelayS);
    }
  }
}
