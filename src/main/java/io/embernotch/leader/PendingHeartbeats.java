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
 * Agents' heartbeats that come before the store is loaded. They are kept until it is, since an
 * answer that renews their leases counts from the heartbeat's sending. Agents that would give up
 * earlier get an answer without a token: it renews nothing, but its agent keeps the connection. A
 * thousand agents that gave up and connected anew would take the time that loading needs.
 */
final class PendingHeartbeats {
  /** Heartbeats released in one iteration of the loop, so that everything else gets its own. */
  private static final int MAX_PER_ITERATION = 32;

  /** The last heartbeat of each machine that nobody waits for any more. */
  private final Map<String, Heartbeat> unawaited = new LinkedHashMap<>();

  /** The heartbeat of each machine whose agent waits for the answer. */
  private final Map<String, LeaderMessage.HeartbeatReceived> awaited = new LinkedHashMap<>();

  /**
   * A heartbeat whose agent waits; it is answered without a token unless {@link #drain} comes
   * first.
   */
  void add(LeaderMessage.HeartbeatReceived message, Timers timers) {
    String machine = message.heartbeat().machine();
    LeaderMessage.HeartbeatReceived before = awaited.put(machine, message);
    if (before != null) {
      before.reply().tryComplete(WorkerCodec.emptyResponse());
    }
    timers.after(
        HeartbeatForwarder.RESPONSE_TIMEOUT_S,
        () -> {
          if (awaited.remove(machine, message)) {
            add(message.heartbeat());
            message.reply().tryComplete(WorkerCodec.emptyResponse());
          }
        });
  }

  /** A heartbeat that nobody waits for; dropped if a newer one of the machine is known. */
  void add(Heartbeat heartbeat) {
    unawaited.merge(
        heartbeat.machine(),
        heartbeat,
        (known, added) -> added.newerThan(known.agentEpoch(), known.seq()) ? added : known);
  }

  /**
   * Releases those that are waited for, and then the others, some in each iteration of the loop.
   *
   * @param handler handles a heartbeat
   */
  void drain(Executor loop, Consumer<LeaderMessage> handler) {
    ArrayDeque<LeaderMessage> pending = new ArrayDeque<>(awaited.values());
    unawaited
        .values()
        .forEach(heartbeat -> pending.add(new LeaderMessage.HeartbeatHandedOver(heartbeat)));
    awaited.clear();
    unawaited.clear();
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

  /** The store will not be loaded here: those that are waited for get no answer. */
  void refuse() {
    awaited.values().forEach(message -> message.reply().tryComplete(null));
    awaited.clear();
  }
}
