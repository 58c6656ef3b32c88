package io.embernotch.persistence;

import io.embernotch.model.Job;
import io.embernotch.persistence.DirtyShard.Waiter;
import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * The shards that differ from what the store is known to hold, by key: those that are yet to be
 * sent, and those of the transaction in flight. A shard that changes while it is in flight is in
 * both.
 */
final class DirtyShards {
  private final ShardLayout layout;
  private final Map<String, DirtyShard> pending = new LinkedHashMap<>();
  private Map<String, DirtyShard> inFlight = Map.of();

  DirtyShards(ShardLayout layout) {
    this.layout = layout;
  }

  boolean contains(Job job, int task) {
    String key = layout.shardOf(job, task).key();
    return pending.containsKey(key) || inFlight.containsKey(key);
  }

  boolean contains(Job job) {
    int size = layout.shardSize(job.spec.ref());
    int shards = (job.spec.tasks() + size - 1) / size;
    return IntStream.range(0, shards).anyMatch(index -> contains(job, index * size));
  }

  /** Those that are yet to be sent, in the order they were marked. */
  Collection<DirtyShard> pending() {
    return pending.values();
  }

  int pendingCount() {
    return pending.size();
  }

  /** The pending shard with this key; null if there is none. */
  DirtyShard pending(String key) {
    return pending.get(key);
  }

  /** Marks the shard with {@code task} as dirty, to be written by {@code due}. */
  DirtyShard mark(Job job, int task, RequestPriority priority, double due) {
    DirtyShard dirtyShard = pendingShardOf(job, task, priority, due);
    dirtyShard.expedite(priority, due);
    dirtyShard.addTask(task);
    return dirtyShard;
  }

  /** Runs {@code action} once the shard with {@code task} is stored; false if it is not dirty. */
  boolean addWaiter(Job job, int task, Runnable action) {
    String key = layout.shardOf(job, task).key();
    DirtyShard dirtyShard = pending.getOrDefault(key, inFlight.get(key));
    if (dirtyShard == null) {
      return false;
    }
    dirtyShard.addWaiter(task, action);
    return true;
  }

  /**
   * Runs {@code action} once the first shard of the job that the store may hold unknown done marks
   * of is stored; false if there is none.
   */
  boolean addDoneMarkWaiter(Job job, Runnable action) {
    int size = layout.shardSize(job.spec.ref());
    for (int task = 0; task < job.spec.tasks(); task += size) {
      String key = layout.shardOf(job, task).key();
      for (DirtyShard dirtyShard : Arrays.asList(inFlight.get(key), pending.get(key))) {
        if (dirtyShard != null && dirtyShard.mayBeStored()) {
          dirtyShard.addWaiter(task, action);
          return true;
        }
      }
    }
    return false;
  }

  /** The shards of a transaction that is sent now. */
  void sent(Map<String, DirtyShard> batch) {
    batch.keySet().forEach(pending::remove);
    batch.values().forEach(DirtyShard::sent);
    inFlight = batch;
  }

  /** The transaction in flight was applied. */
  void stored() {
    Map<String, DirtyShard> batch = inFlight;
    inFlight = Map.of();
    batch.values().forEach(DirtyShard::stored);
  }

  /** The shards of the transaction in flight are to be written again. */
  void putBack() {
    Map<String, DirtyShard> batch = inFlight;
    inFlight = Map.of();
    batch.forEach(
        (key, dirtyShard) -> {
          DirtyShard newer = pending.putIfAbsent(key, dirtyShard);
          if (newer != null) {
            newer.takeOver(dirtyShard);
          }
        });
  }

  /**
   * Has a job go over to smaller shards, with all of it that is still to be sent. False if there
   * are none smaller.
   */
  boolean refine(Job job) {
    List<DirtyShard> larger =
        pending.values().stream().filter(dirtyShard -> dirtyShard.shard().job() == job).toList();
    if (!layout.refine(job.spec.ref())) {
      return false;
    }
    larger.forEach(this::split);
    return true;
  }

  private void split(DirtyShard larger) {
    Job job = larger.shard().job();
    pending.remove(larger.shard().key());
    larger.tasks().stream()
        .forEach(
            task ->
                pendingShardOf(job, task, larger.priority(), larger.due())
                    .takeOverTask(task, larger));
    for (Waiter waiter : larger.waiters()) {
      String key = layout.shardOf(job, waiter.task()).key();
      pending.get(key).addWaiter(waiter.task(), waiter.action());
    }
  }

  private DirtyShard pendingShardOf(Job job, int task, RequestPriority priority, double due) {
    ShardLayout.Shard shard = layout.shardOf(job, task);
    return pending.computeIfAbsent(shard.key(), key -> new DirtyShard(shard, priority, due));
  }
}
