package io.embernotch.controller;

import io.embernotch.election.PeerLiveness;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.forwarding.PendingRequests;
import io.embernotch.http.HttpResponse;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.store.StoreClient;
import io.vertx.core.Future;
import java.util.function.LongFunction;

/**
 * Gives the heartbeat forwarder access to the other controllers, and shows it whether this
 * controller is partitioned from the store.
 */
final class ForwardingContext implements HeartbeatForwarder.Host {
  private final StoreClient store;
  private final PeerLink peers;
  private final PendingRequests pendingRequests;
  private final PeerLiveness peerLiveness;

  ForwardingContext(
      StoreClient store,
      PeerLink peers,
      PendingRequests pendingRequests,
      PeerLiveness peerLiveness) {
    this.store = store;
    this.peers = peers;
    this.pendingRequests = pendingRequests;
    this.peerLiveness = peerLiveness;
  }

  @Override
  public Future<HttpResponse> sendRequest(
      String node, LongFunction<Frame> request, double timeoutS) {
    return pendingRequests.send(node, request, timeoutS);
  }

  @Override
  public void send(String node, Frame frame) {
    peers.send(node, frame);
  }

  @Override
  public boolean isPartitionedFromStore() {
    return store.failingForS() > 0
        && (peerLiveness.live().isEmpty() || peerLiveness.isAnyReachingStore());
  }
}
