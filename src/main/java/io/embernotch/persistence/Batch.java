package io.embernotch.persistence;

import io.embernotch.model.Job;
import io.embernotch.store.Transaction;
import java.util.List;
import java.util.Map;

/**
 * Shards that are written by one transaction.
 *
 * @param shards those that the transaction writes, by key, in the order they are written
 * @param oversized jobs that were left out since a shard of theirs is too large for the store
 */
record Batch(Transaction transaction, Map<String, DirtyShard> shards, List<Job> oversized) {
  boolean isEmpty() {
    return shards.isEmpty();
  }

  int size() {
    return shards.size();
  }
}
