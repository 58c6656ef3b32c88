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
 * What workers report before the store is read. Their heartbeats wait for that, since an answer
 * that renews them counts from the heartbeat's sending; before they would give up they are told to
 * stay: an answer without a token renews nothing, but its worker keeps the connection. Left to give
 * up, a thousand workers connected anew and took the time that the reading needed.
 */
final class PendingHeartbeats {
  /** Reports taken in one turn, so that everything else gets its own. */
  private static final int SLICE = 32;

  private final Map<String, Heartbeat> latest = new LinkedHashMap<>();
  private final Map<String, LeaderMessage.HeartbeatReceived> waiting = new LinkedHashMap<>();

  /** A heartbeat whose worker waits; told to stay unless {@link #drain} comes first. */
  void add(LeaderMessage.HeartbeatReceived m, Timers timers) {
    String machine = m.heartbeat().machine();
    LeaderMessage.HeartbeatReceived before = waiting.put(machine, m);
    if (before != null) {
      before.reply().tryComplete(WorkerCodec.emptyResponse());
    }
    timers.after(
        HeartbeatForwarder.PATIENCE_S,
        () -> {
          if (waiting.remove(machine, m)) {
            add(m.heartbeat());
            m.reply().tryComplete(WorkerCodec.emptyResponse());
          }
        });
  }

  void add(Heartbeat heartbeat) {
    latest.merge(
        heartbeat.machine(),
        heartbeat,
        (old, now) -> now.newerThan(old.agentEpoch(), old.seq()) ? now : old);
  }

  /** Hands over those that wait for an answer, and then what else was heard, a slice a turn. */
  void drain(Executor loop, Consumer<LeaderMessage> to) {
    ArrayDeque<LeaderMessage> left = new ArrayDeque<>(waiting.values());
    latest
        .values()
        .forEach(heartbeat -> left.add(new LeaderMessage.HeartbeatHandedOver(heartbeat)));
    waiting.clear();
    latest.clear();
    slice(left, loop, to);
  }

  private static void slice(
      ArrayDeque<LeaderMessage> left, Executor loop, Consumer<LeaderMessage> to) {
    for (int i = 0; i < SLICE && !left.isEmpty(); i++) {
      to.accept(left.poll());
    }
    if (!left.isEmpty()) {
      loop.execute(() -> slice(left, loop, to));
    }
  }

  /** Nobody will read the store here any more. */
  void refuse() {
    waiting.values().forEach(m -> m.reply().tryComplete(null));
    waiting.clear();
  }
}
