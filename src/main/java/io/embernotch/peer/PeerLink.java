package io.embernotch.peer;

import java.util.function.BiConsumer;

/** Carries frames to the other controllers; nothing is promised about delivery. */
public interface PeerLink {
  /** Someone to answer over the connection that a frame came by. */
  interface ReplyChannel {
    void send(Frame frame);
  }

  void onFrame(BiConsumer<Frame, ReplyChannel> handler);

  void send(String node, Frame frame);

  /** Gives up the connection to a node that has fallen silent, and connects anew. */
  void renew(String node);
}
