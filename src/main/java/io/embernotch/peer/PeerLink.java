package io.embernotch.peer;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Sends and receives frames. Delivery is not guaranteed. Confined to the core loop. */
public interface PeerLink {
  /** Sends frames on the connection on which a frame arrived. */
  interface ReplyChannel {
    /** Sends a frame, or drops it if the connection is congested. */
    void send(Frame frame);
  }

  /** Sets the handler of all incoming frames; replaces the previous one. */
  void onFrame(BiConsumer<Frame, ReplyChannel> handler);

  /**
   * Sets the callback for each controller that connects to this one; replaces the previous one. It
   * receives the channel to the connected controller.
   */
  default void onConnected(Consumer<ReplyChannel> callback) {}

  /** Sends a frame to a controller, or drops it if the connection is missing or congested. */
  void send(String node, Frame frame);

  /** Returns whether a connection to a controller exists; without one, frames are dropped. */
  default boolean isConnected(String node) {
    return true;
  }

  /** Closes the connection to an unresponsive controller and reconnects. */
  void reconnect(String node);
}
