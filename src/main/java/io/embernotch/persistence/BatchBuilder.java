package io.embernotch.persistence;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.Transaction;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Builds one transaction of as many dirty shards as fit, most urgent first. The transaction is
 * conditional on the modification revisions of the leader's key and of each shard. An instance
 * builds one batch.
 */
final class BatchBuilder {
  /** Bytes of a write besides its value and its key; the key occurs twice, in the condition too. */
  private static final int BYTES_PER_WRITE = 100;

  private final Transaction transaction;
  private final ModRevisions modRevisions;
  private final ShardRefiner refiner;
  private final int maxChanges;
  private final Map<String, DirtyShard> batch = new LinkedHashMap<>();

  /** Jobs with a shard that is too large; the batch contains none of their shards. */
  private final Set<Job> oversized = new LinkedHashSet<>();

  private int bytes;

  /**
   * @param leaderModRevision modification revision of the leader's key
   * @param maxChanges largest number of shards to write
   */
  BatchBuilder(
      long leaderModRevision, ModRevisions modRevisions, ShardRefiner refiner, int maxChanges) {
    this.transaction = new Transaction().when(JobProgressCodec.LEADER, leaderModRevision);
    this.modRevisions = modRevisions;
    this.refiner = refiner;
    this.maxChanges = maxChanges;
  }

  /**
   * Builds a batch of the shards that are due.
   *
   * @param withBackground whether the batch may contain shards of background priority
   */
  Batch build(Iterable<DirtyShard> pending, double now, boolean withBackground) {
    List<DirtyShard> order = dueByPriority(pending, now, withBackground);
    findOversized(order);
    for (DirtyShard dirtyShard : order) {
      if (isFull()) {
        break;
      }
      ShardLayout.Shard shard = dirtyShard.shard();
      if (oversized.contains(shard.job()) || (dirtyShard.isSuspect() && !batch.isEmpty())) {
        continue;
      }
      ObjectNode value = shard.value();
      int valueBytes = Json.bytes(value).length;
      String key = shard.key();
      bytes += valueBytes + 2 * key.length() + BYTES_PER_WRITE;
      if (bytes > Transaction.MAX_BYTES && !batch.isEmpty()) {
        break;
      }
      transaction.when(key, modRevisions.get(key)).write(key, value);
      batch.put(key, dirtyShard);
      if (dirtyShard.isSuspect()) {
        break;
      }
    }
    return new Batch(transaction, batch, List.copyOf(oversized));
  }

  private void findOversized(List<DirtyShard> order) {
    if (!refiner.mayRefine()) {
      return;
    }
    for (DirtyShard dirtyShard : order) {
      ShardLayout.Shard shard = dirtyShard.shard();
      if (!oversized.contains(shard.job())
          && refiner.isOversized(shard.job(), Json.bytes(shard.value()).length)) {
        oversized.add(shard.job());
      }
    }
  }

  private static List<DirtyShard> dueByPriority(
      Iterable<DirtyShard> pending, double now, boolean withBackground) {
    List<DirtyShard> order = new ArrayList<>();
    for (DirtyShard dirtyShard : pending) {
      if (dirtyShard.isDue(now)
          && (withBackground || dirtyShard.priority() != RequestPriority.BACKGROUND)) {
        order.add(dirtyShard);
      }
    }
    order.sort(Comparator.comparing(DirtyShard::priority).thenComparingDouble(DirtyShard::due));
    return order;
  }

  private boolean isFull() {
    return batch.size() >= maxChanges;
  }
}
