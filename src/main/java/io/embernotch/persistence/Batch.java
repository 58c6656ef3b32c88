package io.embernotch.persistence;

import io.embernotch.model.Job;
import io.embernotch.store.Transaction;
import java.util.List;
import java.util.Map;

/**
 * The shards that one transaction writes.
 *
 * @param shards the written shards by key, in the order of the writes
 * @param oversized jobs that the batch leaves out because one of their shards is too large for the
 *     store
 */
record Batch(Transaction transaction, Map<String, DirtyShard> shards, List<Job> oversized) {
  boolean isEmpty() {
    return shards.isEmpty();
  }

  int size() {
    return shards.size();
  }
}
