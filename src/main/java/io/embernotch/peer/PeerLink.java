package io.embernotch.peer;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Carries frames to the other controllers. Delivery is not guaranteed. Core loop only. */
public interface PeerLink {
  /** Sends frames back over the connection that a frame came by. */
  interface ReplyChannel {
    /** Sends a frame, or drops it if the connection is congested. */
    void send(Frame frame);
  }

  /** Sets the handler of all incoming frames, in place of the one before. */
  void onFrame(BiConsumer<Frame, ReplyChannel> handler);

  /** Sets what is done for a controller that connects to this one, in place of what was before. */
  default void onConnected(Consumer<ReplyChannel> greeter) {}

  /** Sends a frame to a controller, or drops it if there is no connection or it is congested. */
  void send(String node, Frame frame);

  /** Whether there is a connection to a controller, so that a frame is not dropped at once. */
  default boolean isConnected(String node) {
    return true;
  }

  /** Closes the connection to a node that has become unresponsive, and connects anew. */
  void renew(String node);
}
