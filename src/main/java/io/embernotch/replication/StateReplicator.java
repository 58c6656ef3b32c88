package io.embernotch.replication;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.ProcessIncarnation;
import io.embernotch.election.PeerLiveness;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.store.StoreClient;
import io.embernotch.store.Transaction;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends what this controller commits to the replicas of the others, and takes what they commit.
 * Whoever committed something, and so users and workers, learns of it only once another controller
 * holds it, as long as one that takes it is live and acknowledges within a bounded time. Owned by
 * the controller's event loop.
 */
public final class StateReplicator implements StoreClient.CommitListener {
  private static final Logger LOG = LoggerFactory.getLogger(StateReplicator.class);

  /**
   * An acknowledgement is waited for a heartbeat interval divided by this: several round trips, and
   * little of the time that a user waits for an answer.
   */
  private static final double ACK_TIMEOUTS_PER_HEARTBEAT = 40;

  private final ControllerContext context;
  private final PeerLink peers;
  private final PeerLiveness peerLiveness;
  private final StoreReplica replica;
  private final ReplicaFeed feed;
  private final Supplier<String> incarnation;
  private final double ackTimeoutS;

  /** Updates that nobody has acknowledged yet, by number. */
  private final Map<Long, Promise<Void>> unacknowledged = new HashMap<>();

  private long lastId;

  /** The last update that was waited for was not acknowledged in time, nor any since. */
  private boolean unresponsive;

  private int unreplicated;

  /**
   * @param incarnation name of the store incarnation whose contents are intact as far as is known
   *     or told; null while there is none
   */
  public StateReplicator(
      ControllerContext context,
      PeerLink peers,
      PeerLiveness peerLiveness,
      StoreReplica replica,
      ReplicaFeed feed,
      Supplier<String> incarnation) {
    this.context = context;
    this.peers = peers;
    this.peerLiveness = peerLiveness;
    this.replica = replica;
    this.feed = feed;
    this.incarnation = incarnation;
    this.ackTimeoutS =
        context.settings().workers().heartbeatIntervalS() / ACK_TIMEOUTS_PER_HEARTBEAT;
    this.lastId = ProcessIncarnation.begin(context.names());
  }

  /** How many commits were told without another controller that is known to hold them. */
  public int unreplicated() {
    return unreplicated;
  }

  @Override
  public Future<Void> committed(Transaction transaction, long revision) {
    List<Frame.StateEntry> entries = entriesOf(transaction);
    String name = incarnation.get();
    if (entries.isEmpty() || name == null) {
      return Future.succeededFuture();
    }
    take(entries, revision);
    List<String> receivers = peerLiveness.liveReplicas();
    if (receivers.isEmpty()) {
      unreplicated++;
      return Future.succeededFuture();
    }
    long id = ++lastId;
    Frame update = new Frame.StateUpdate(id, name, revision, entries);
    receivers.forEach(receiver -> peers.send(receiver, update));
    return acknowledgementOf(id);
  }

  private static List<Frame.StateEntry> entriesOf(Transaction transaction) {
    List<Frame.StateEntry> entries = new ArrayList<>();
    for (Map.Entry<String, ObjectNode> write : transaction.writes().entrySet()) {
      if (StoreReplica.holds(write.getKey())) {
        entries.add(new Frame.StateEntry(write.getKey(), Json.bytes(write.getValue())));
      }
    }
    return entries;
  }

  private void take(List<Frame.StateEntry> entries, long revision) {
    if (feed.isActive()) {
      entries.forEach(entry -> replica.put(entry.key(), entry.value(), revision));
    }
  }

  /** Completes when another controller holds the update, or none is waited for any longer. */
  private Future<Void> acknowledgementOf(long id) {
    Promise<Void> acknowledged = Promise.promise();
    unacknowledged.put(id, acknowledged);
    if (unresponsive) {
      // Commits follow one another, so none waits for a peer that did not answer the last one.
      timedOut(id);
    } else {
      context.timers().after(ackTimeoutS, () -> timedOut(id));
    }
    return acknowledged.future();
  }

  private void timedOut(long id) {
    Promise<Void> waiting = unacknowledged.remove(id);
    if (waiting == null) {
      return;
    }
    unreplicated++;
    if (!unresponsive) {
      unresponsive = true;
      LOG.info("no other controller acknowledges what is committed here: not waited for");
    }
    waiting.complete();
  }

  /** Another controller holds an update, which may have been given up. */
  public void acknowledged(Frame.StateUpdateAck ack) {
    if (ProcessIncarnation.of(ack.id()) != ProcessIncarnation.of(lastId)) {
      return;
    }
    unresponsive = false;
    Promise<Void> waiting = unacknowledged.remove(ack.id());
    if (waiting != null) {
      waiting.complete();
    }
  }

  /** Puts what another controller has committed into the replica, and notes the revision. */
  public void take(Frame.StateUpdate update) {
    take(update.entries(), update.revision());
    for (Frame.StateEntry entry : update.entries()) {
      // So contents that are put back to before it are noticed here too.
      context.store().noteRevision(entry.key(), update.revision());
    }
  }

  /** Another controller has committed something; acknowledged if it is held here from now on. */
  public void received(Frame.StateUpdate update, PeerLink.ReplyChannel replies) {
    if (!feed.isActive() || !update.incarnation().equals(incarnation.get())) {
      return;
    }
    take(update);
    replies.send(new Frame.StateUpdateAck(update.id()));
  }
}
