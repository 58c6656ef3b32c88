package io.embernotch.leader;

import io.embernotch.actor.Timers;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.model.Heartbeat;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Agents' heartbeats that arrive before the store is loaded. They are kept until then, since a
 * response renews leases from the time at which the heartbeat was sent. Agents that would give up
 * earlier get a response without a fencing token: it renews nothing, but the agent keeps its
 * connection. If a thousand agents gave up and reconnected, that would take the processor time that
 * loading needs.
 */
final class PendingHeartbeats {
  /**
   * Maximum number of heartbeats handled in one iteration of the loop, so that other work is not
   * delayed.
   */
  private static final int MAX_PER_ITERATION = 32;

  /** The last heartbeat of each machine to which no response is awaited. */
  private final Map<String, Heartbeat> withoutReply = new LinkedHashMap<>();

  /** The last heartbeat of each machine whose agent awaits a response. */
  private final Map<String, LeaderMessage.HeartbeatReceived> awaitingReply = new LinkedHashMap<>();

  /**
   * Adds a heartbeat whose agent awaits a response. Unless {@link #drain} is called in time, it is
   * answered without a token.
   */
  void add(LeaderMessage.HeartbeatReceived message, Timers timers) {
    String machine = message.heartbeat().machine();
    LeaderMessage.HeartbeatReceived replaced = awaitingReply.put(machine, message);
    if (replaced != null) {
      replaced.reply().tryComplete(WorkerCodec.emptyResponse());
    }
    timers.after(
        HeartbeatForwarder.RESPONSE_TIMEOUT_S,
        () -> {
          if (awaitingReply.remove(machine, message)) {
            add(message.heartbeat());
            message.reply().tryComplete(WorkerCodec.emptyResponse());
          }
        });
  }

  /**
   * Adds a heartbeat to which no response is awaited; drops it if a newer one of the machine is
   * known.
   */
  void add(Heartbeat heartbeat) {
    withoutReply.merge(
        heartbeat.machine(),
        heartbeat,
        (known, added) -> added.isNewerThan(known.agentEpoch(), known.seq()) ? added : known);
  }

  /**
   * Removes all heartbeats and has them handled in batches, one in each iteration of the loop.
   * Those whose agents await a response come first.
   *
   * @param loop executor of the event loop
   * @param handler handles a heartbeat
   */
  void drain(Executor loop, Consumer<LeaderMessage> handler) {
    ArrayDeque<LeaderMessage> pending = new ArrayDeque<>(awaitingReply.values());
    withoutReply
        .values()
        .forEach(heartbeat -> pending.add(new LeaderMessage.HeartbeatWithoutReply(heartbeat)));
    awaitingReply.clear();
    withoutReply.clear();
    drainSome(pending, loop, handler);
  }

  private static void drainSome(
      ArrayDeque<LeaderMessage> pending, Executor loop, Consumer<LeaderMessage> handler) {
    for (int i = 0; i < MAX_PER_ITERATION && !pending.isEmpty(); i++) {
      handler.accept(pending.poll());
    }
    if (!pending.isEmpty()) {
      loop.execute(() -> drainSome(pending, loop, handler));
    }
  }

  /**
   * Refuses the heartbeats whose agents await a response: the leader was stopped before it loaded
   * the store.
   */
  void refuseAll() {
    awaitingReply.values().forEach(message -> message.reply().tryComplete(null));
    awaitingReply.clear();
  }
}
