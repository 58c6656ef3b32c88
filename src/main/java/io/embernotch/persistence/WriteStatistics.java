package io.embernotch.persistence;

import io.embernotch.actor.LatencyRecorder;
import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.Optional;

/** Counts what was written, and how long it took from a decision to its commit. */
final class WriteStatistics {
  private static final String URGENT_COMMIT = "urgent commit";
  private static final String COMMIT = "commit";

  private final LatencyRecorder latencies = new LatencyRecorder();
  private long transactions;
  private long changes;

  void transactionSent(int shards) {
    transactions++;
    changes += shards;
  }

  /** Records the latency of a shard that is stored now, if anybody waited for it. */
  void stored(DirtyShard dirtyShard, double now) {
    if (dirtyShard.isWaitedFor()) {
      boolean urgent = dirtyShard.priority() == RequestPriority.HIGH;
      latencies.record(urgent ? URGENT_COMMIT : COMMIT, now - dirtyShard.waitingSince());
    }
  }

  /** One line on what was written since the last line; empty if nothing was. Starts anew. */
  Optional<String> takeLine(int pendingShards) {
    String delays = latencies.line();
    if (delays == null) {
      return Optional.empty();
    }
    String line =
        delays
            + "; "
            + changes
            + " changes in "
            + transactions
            + " transactions, "
            + pendingShards
            + " wait";
    transactions = 0;
    changes = 0;
    return Optional.of(line);
  }
}
