package io.embernotch.testkit;

import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Carries frames between controllers. */
final class PeerNetwork {
  private final FakeTime time;
  private final NetworkFaults faults;
  private final MessageBuffer buffer;
  private final List<ControllerNode> nodes;
  private int frameCount;

  PeerNetwork(
      FakeTime time, NetworkFaults faults, MessageBuffer buffer, List<ControllerNode> nodes) {
    this.time = time;
    this.faults = faults;
    this.buffer = buffer;
    this.nodes = nodes;
  }

  /** The link over which a node reaches the others. */
  PeerLink linkOf(ControllerNode node) {
    return new Link(node);
  }

  /** Frames that were sent so far, delivered or not. */
  int frameCount() {
    return frameCount;
  }

  private void send(ControllerNode from, ControllerNode to, Frame frame) {
    frameCount++;
    if (faults.delayFrames) {
      buffer.delay(() -> receive(from, to, frame));
      return;
    }
    time.after(
        HttpNetwork.HOP_S,
        () -> {
          boolean partitioned = faults.separates(from.settings.location(), to.settings.location());
          if (!from.down
              && !to.down
              && !from.peersUnreachable
              && !to.peersUnreachable
              && !partitioned) {
            receive(from, to, frame);
          }
        });
  }

  private void receive(ControllerNode from, ControllerNode to, Frame frame) {
    to.receive(frame, reply -> send(to, from, reply));
  }

  private final class Link implements PeerLink {
    private final ControllerNode from;

    Link(ControllerNode from) {
      this.from = from;
    }

    @Override
    public void onFrame(BiConsumer<Frame, ReplyChannel> handler) {
      from.onFrame(handler);
    }

    /** A process that is started connects to the others, which greet it. */
    @Override
    public void onConnected(Consumer<ReplyChannel> greeter) {
      from.onConnected(greeter);
      for (ControllerNode to : nodes) {
        if (to != from) {
          time.after(HttpNetwork.HOP_S, () -> connected(to));
        }
      }
    }

    private void connected(ControllerNode to) {
      if (!to.down) {
        to.greet(frame -> PeerNetwork.this.send(to, from, frame));
      }
    }

    @Override
    public void send(String name, Frame frame) {
      for (ControllerNode to : nodes) {
        if (to.settings.node().equals(name)) {
          PeerNetwork.this.send(from, to, frame);
        }
      }
    }

    @Override
    public void reconnect(String name) {
      // Simulated connections do not hang.
    }
  }
}
