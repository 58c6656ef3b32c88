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
 * The shards with changes that the store is not known to hold, by key: the pending ones, which are
 * still to be sent, and those of the transaction in flight. A shard that changes while it is in
 * flight is in both sets.
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

  /** The shards that are still to be sent, in the order in which they were marked dirty. */
  Collection<DirtyShard> pending() {
    return pending.values();
  }

  int pendingCount() {
    return pending.size();
  }

  /** Returns the pending shard with this key, or null if there is none. */
  DirtyShard pending(String key) {
    return pending.get(key);
  }

  /** Marks the shard of {@code task} as dirty; the write is due at {@code due} or earlier. */
  DirtyShard mark(Job job, int task, RequestPriority priority, double due) {
    DirtyShard dirtyShard = pendingShardOf(job, task, priority, due);
    dirtyShard.expedite(priority, due);
    dirtyShard.addTask(task);
    return dirtyShard;
  }

  /**
   * Runs {@code action} once the shard of {@code task} is stored. Returns false, and never runs it,
   * if that shard is not dirty.
   */
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
   * Finds the first shard of the job of which the store may hold unknown done marks, and runs
   * {@code action} once that shard is stored. Returns false, and never runs it, if there is no such
   * shard.
   */
  boolean addDoneMarkWaiter(Job job, Runnable action) {
    int size = layout.shardSize(job.spec.ref());
    for (int task = 0; task < job.spec.tasks(); task += size) {
      String key = layout.shardOf(job, task).key();
      for (DirtyShard dirtyShard : Arrays.asList(inFlight.get(key), pending.get(key))) {
        if (dirtyShard != null && dirtyShard.hasUnknownMarks()) {
          dirtyShard.addWaiter(task, action);
          return true;
        }
      }
    }
    return false;
  }

  /** Called when a transaction of these shards is sent. */
  void onSent(Map<String, DirtyShard> batch) {
    batch.keySet().forEach(pending::remove);
    batch.values().forEach(DirtyShard::onSent);
    inFlight = batch;
  }

  /** Called when the transaction in flight was applied. */
  void onStored() {
    Map<String, DirtyShard> batch = inFlight;
    inFlight = Map.of();
    batch.values().forEach(DirtyShard::onStored);
  }

  /** Makes the shards of the transaction in flight pending again. */
  void requeueInFlight() {
    Map<String, DirtyShard> batch = inFlight;
    inFlight = Map.of();
    batch.forEach(
        (key, dirtyShard) -> {
          DirtyShard newer = pending.putIfAbsent(key, dirtyShard);
          if (newer != null) {
            newer.mergeEarlier(dirtyShard);
          }
        });
  }

  /**
   * Switches a job to smaller shards and splits its pending shards. Returns false if there is no
   * smaller shard size.
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
                pendingShardOf(job, task, larger.priority(), larger.due()).mergeTask(task, larger));
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
