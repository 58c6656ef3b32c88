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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One outgoing TCP connection to each member; answers travel back on the connection asked by. */
public final class VertxPeerLink implements PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(VertxPeerLink.class);

  /**
   * A process may be back at once: the first try comes after this share of the time between two.
   */
  private static final double SOON = 1.0 / 32;

  private final Timers timers;
  private final NetClient client;
  private final double retryS;
  private final Map<String, Outgoing> outgoing = new HashMap<>();
  private BiConsumer<Frame, ReplyChannel> handler = (f, b) -> {};

  public VertxPeerLink(Vertx vertx, Timers timers, Settings settings) {
    this.timers = timers;
    this.retryS = settings.workers().heartbeatIntervalS() / 3;
    NetClientOptions options = new NetClientOptions();
    options.setConnectTimeout((int) (retryS * 1000)).setTcpNoDelay(true);
    this.client = vertx.createNetClient(options);
    for (Settings.Member member : settings.members()) {
      outgoing.put(member.node(), new Outgoing(member.address()));
    }
  }

  public Future<Void> start(Vertx vertx, HostPort listen) {
    outgoing.values().forEach(Outgoing::connect);
    NetServerOptions options = new NetServerOptions();
    options.setTcpNoDelay(true).setReuseAddress(true);
    return vertx
        .createNetServer(options)
        .connectHandler(this::attach)
        .listen(listen.port(), listen.host())
        .mapEmpty();
  }

  @Override
  public void onFrame(BiConsumer<Frame, ReplyChannel> newHandler) {
    handler = newHandler;
  }

  @Override
  public void send(String node, Frame frame) {
    Outgoing out = outgoing.get(node);
    if (out != null && out.socket != null) {
      out.outbox.add(frame);
    }
  }

  @Override
  public void renew(String node) {
    Outgoing out = outgoing.get(node);
    if (out != null && out.socket != null) {
      out.socket.close();
    }
  }

  private Outbox attach(NetSocket socket) {
    Outbox out = new Outbox(socket);
    FrameReader reader = new FrameReader(f -> handler.accept(f, out::add));
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
    return out;
  }

  /**
   * Gathers the frames of one turn of the loop, so that passed-on heartbeats share packets and
   * system calls.
   */
  private static final class Outbox {
    private final NetSocket socket;
    private Buffer gathered;

    Outbox(NetSocket socket) {
      this.socket = socket;
    }

    void add(Frame frame) {
      // A peer that does not read must not fill our memory: frames are dropped, and repeated later.
      if (socket.writeQueueFull()) {
        return;
      }
      if (gathered == null) {
        gathered = Buffer.buffer();
        Vertx.currentContext().runOnContext(v -> flush());
      }
      gathered.appendBytes(FrameCodec.encode(frame));
    }

    private void flush() {
      Buffer all = gathered;
      gathered = null;
      socket.write(all);
    }
  }

  private final class Outgoing {
    final HostPort address;
    NetSocket socket;
    Outbox outbox;
    double waitS = SOON * retryS;

    Outgoing(HostPort address) {
      this.address = address;
    }

    void connect() {
      client
          .connect(address.port(), address.host())
          .onSuccess(
              s -> {
                socket = s;
                outbox = attach(s);
                waitS = SOON * retryS;
                s.closeHandler(
                    v -> {
                      socket = null;
                      again();
                    });
              })
          .onFailure(e -> again());
    }

    private void again() {
      timers.after(waitS, this::connect);
      waitS = Math.min(retryS, 2 * waitS);
    }
  }
}
