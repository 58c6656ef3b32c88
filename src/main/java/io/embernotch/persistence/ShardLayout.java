package io.embernotch.persistence;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.model.Job;
import io.embernotch.settings.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * In which shards the progress of each job is kept. A job starts with the size of shards that was
 * fixed when it was accepted. It goes over to smaller, refined shards, for good, once a shard does
 * not fit the store any more; what the larger shards say of other tasks stays valid.
 */
public final class ShardLayout {
  /**
   * Tasks of a job whose progress is kept under one key.
   *
   * @param size number of tasks in a shard; the job's last one may have fewer
   * @param index number of the shard in the job, from 0
   * @param refined whether the job has gone over to smaller shards
   */
  record Shard(Job job, int size, int index, boolean refined) {
    String key() {
      String ref = job.spec.ref();
      return refined
          ? JobProgressCodec.refinedShardKey(ref, size, index)
          : JobProgressCodec.shardKey(ref, index);
    }

    /** Number of its first task. */
    int firstTask() {
      return index * size;
    }

    /** The value to store, of the job as it is now. */
    ObjectNode value() {
      return JobProgressCodec.writeShard(job, size, index);
    }
  }

  private final int defaultSize;
  private final Map<String, Integer> sizes = new HashMap<>();
  private final Map<String, Integer> refinedSizes = new HashMap<>();

  /**
   * A layout that knows of no job yet.
   *
   * @param defaultSize tasks in a shard that fits the store under its lowest limits
   */
  public ShardLayout(int defaultSize) {
    this.defaultSize = defaultSize;
  }

  /** Tasks in a shard that fits the store under the lowest limits that the settings give. */
  public static int defaultSize(Settings settings) {
    return JobProgressCodec.shardSize(settings.minStoreLimits().valueKb(), settings.zones());
  }

  /** The size of shards that was fixed when the job was accepted. */
  public void recordShardSize(String ref, int size) {
    sizes.put(ref, size);
  }

  /** The store holds refined shards of this size; the smallest ones count. */
  public void recordRefinedSize(String ref, int size) {
    refinedSizes.merge(ref, size, Math::min);
  }

  /** Whether any job has gone over to refined shards. */
  public boolean refinedAny() {
    return !refinedSizes.isEmpty();
  }

  /** Number of tasks in a shard of the job, as it is written now. */
  public int shardSize(String ref) {
    Integer refined = refinedSizes.get(ref);
    return refined != null ? refined : sizes.getOrDefault(ref, defaultSize);
  }

  /** The shard that the task is written in now. */
  Shard shardOf(Job job, int task) {
    String ref = job.spec.ref();
    int size = shardSize(ref);
    return new Shard(job, size, task / size, refinedSizes.containsKey(ref));
  }

  /** Has the job go over to smaller shards; false if there are none smaller. */
  boolean refine(String ref) {
    int size = shardSize(ref);
    if (size <= 1) {
      return false;
    }
    refinedSizes.put(ref, size > defaultSize ? defaultSize : Math.max(1, size / 2));
    return true;
  }
}
