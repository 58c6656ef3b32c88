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
 * Sends this controller's commits to the replicas of the other controllers, and applies theirs to
 * this controller's replica. A commit is reported to its caller, and so to users and workers, only
 * after another controller has acknowledged it. Without a live replica, or when none acknowledges
 * within a bounded time, the commit is reported all the same and counted as unreplicated. Owned by
 * the controller's event loop.
 */
public final class StateReplicator implements StoreClient.CommitListener {
  private static final Logger LOG = LoggerFactory.getLogger(StateReplicator.class);

  /**
   * The timeout of an acknowledgement is a heartbeat interval divided by this: several round trips,
   * but a small part of the time that a user waits for a response.
   */
  private static final double ACK_TIMEOUTS_PER_HEARTBEAT = 40;

  private final ControllerContext context;
  private final PeerLink peers;
  private final PeerLiveness peerLiveness;
  private final StoreReplica replica;
  private final ReplicaFeed feed;
  private final Supplier<String> incarnation;
  private final double ackTimeoutS;

  /** Commits that await an acknowledgement, by the id of their update. */
  private final Map<Long, Promise<Void>> unacknowledged = new HashMap<>();

  private long lastUpdateId;

  /** Whether an acknowledgement has timed out and none has arrived since. */
  private boolean peersUnresponsive;

  private int unreplicatedCommits;

  /**
   * @param incarnation supplies the name of the store incarnation whose contents are intact, as far
   *     as this controller knows or another one has reported; null while there is none
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
    this.lastUpdateId = ProcessIncarnation.begin(context.nameGenerator());
  }

  /** Number of commits that were reported without an acknowledgement of another controller. */
  public int unreplicatedCommits() {
    return unreplicatedCommits;
  }

  @Override
  public Future<Void> committed(Transaction transaction, long revision) {
    List<Frame.StateEntry> entries = replicatedEntries(transaction);
    String currentIncarnation = incarnation.get();
    if (entries.isEmpty() || currentIncarnation == null) {
      return Future.succeededFuture();
    }
    applyToReplica(entries, revision);
    List<String> receivers = peerLiveness.liveReplicas();
    if (receivers.isEmpty()) {
      unreplicatedCommits++;
      return Future.succeededFuture();
    }
    long id = ++lastUpdateId;
    Frame update = new Frame.StateUpdate(id, currentIncarnation, revision, entries);
    receivers.forEach(receiver -> peers.send(receiver, update));
    return awaitAcknowledgement(id);
  }

  private static List<Frame.StateEntry> replicatedEntries(Transaction transaction) {
    List<Frame.StateEntry> entries = new ArrayList<>();
    for (Map.Entry<String, ObjectNode> write : transaction.writes().entrySet()) {
      if (StoreReplica.isReplicated(write.getKey())) {
        entries.add(new Frame.StateEntry(write.getKey(), Json.bytes(write.getValue())));
      }
    }
    return entries;
  }

  private void applyToReplica(List<Frame.StateEntry> entries, long revision) {
    if (feed.isActive()) {
      entries.forEach(entry -> replica.put(entry.key(), entry.value(), revision));
    }
  }

  /** Completes when another controller acknowledges the update, or on a timeout. */
  private Future<Void> awaitAcknowledgement(long id) {
    Promise<Void> acknowledged = Promise.promise();
    unacknowledged.put(id, acknowledged);
    if (peersUnresponsive) {
      // Commits run one after the other, so don't delay each of them by a timeout.
      handleTimeout(id);
    } else {
      context.timers().after(ackTimeoutS, () -> handleTimeout(id));
    }
    return acknowledged.future();
  }

  private void handleTimeout(long id) {
    Promise<Void> pending = unacknowledged.remove(id);
    if (pending == null) {
      return;
    }
    unreplicatedCommits++;
    if (!peersUnresponsive) {
      peersUnresponsive = true;
      LOG.info("no other controller acknowledges commits in time: commits no longer wait");
    }
    pending.complete();
  }

  /** Called when another controller acknowledges an update, which may have timed out before. */
  public void handleAck(Frame.StateUpdateAck ack) {
    if (ProcessIncarnation.of(ack.id()) != ProcessIncarnation.of(lastUpdateId)) {
      return;
    }
    peersUnresponsive = false;
    Promise<Void> pending = unacknowledged.remove(ack.id());
    if (pending != null) {
      pending.complete();
    }
  }

  /** Applies an update of another controller to the replica, and records its revision. */
  public void apply(Frame.StateUpdate update) {
    applyToReplica(update.entries(), update.revision());
    for (Frame.StateEntry entry : update.entries()) {
      // Lets this controller detect a store that is rolled back to before this revision.
      context.store().recordRemoteWrite(entry.key(), update.revision());
    }
  }

  /**
   * Applies and acknowledges an update, if it is of the current incarnation and the feed is active.
   */
  public void handleUpdate(Frame.StateUpdate update, PeerLink.ReplyChannel replies) {
    if (!feed.isActive() || !update.incarnation().equals(incarnation.get())) {
      return;
    }
    apply(update);
    replies.send(new Frame.StateUpdateAck(update.id()));
  }
}
