package io.embernotch.persistence;

import io.embernotch.actor.LatencyRecorder;
import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.Optional;

/** Counts transactions and changes, and records latencies from decision to commit. */
final class WriteStatistics {
  private static final String URGENT_COMMIT = "urgent commit";
  private static final String COMMIT = "commit";

  private final LatencyRecorder latencies = new LatencyRecorder();
  private long transactions;
  private long changes;

  void recordTransaction(int shards) {
    transactions++;
    changes += shards;
  }

  /** Records the commit latency of a shard that is stored now, if something waited for it. */
  void recordLatency(DirtyShard dirtyShard, double now) {
    if (dirtyShard.isWaitedFor()) {
      boolean urgent = dirtyShard.priority() == RequestPriority.HIGH;
      latencies.record(urgent ? URGENT_COMMIT : COMMIT, now - dirtyShard.waitingSince());
    }
  }

  /**
   * Returns a line about the writes since the last line and resets the counters; empty if no
   * latency was recorded.
   */
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
