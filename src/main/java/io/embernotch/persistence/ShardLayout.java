package io.embernotch.persistence;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.model.Job;
import io.embernotch.settings.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * Maps the tasks of each job to the shards that hold their progress. A job starts with the shard
 * size that was fixed when it was accepted. Once a shard no longer fits the store, the job is
 * switched permanently to smaller, refined shards. The larger shards stay valid for the tasks that
 * no refined shard holds yet.
 */
public final class ShardLayout {
  /**
   * A range of a job's tasks whose progress is kept under one key.
   *
   * @param size number of tasks in a shard; the job's last shard may have fewer
   * @param index index of the shard in the job, from 0
   * @param refined whether the job was switched to smaller shards
   */
  record Shard(Job job, int size, int index, boolean refined) {
    String key() {
      String ref = job.spec.ref();
      return refined
          ? JobProgressCodec.refinedShardKey(ref, size, index)
          : JobProgressCodec.shardKey(ref, index);
    }

    /** Number of the shard's first task. */
    int firstTask() {
      return index * size;
    }

    /** Encodes the job's present progress as the value to store. */
    ObjectNode value() {
      return JobProgressCodec.writeShard(job, size, index);
    }
  }

  private final int defaultSize;
  private final Map<String, Integer> sizes = new HashMap<>();
  private final Map<String, Integer> refinedSizes = new HashMap<>();

  /**
   * Creates a layout without any jobs.
   *
   * @param defaultSize number of tasks per shard that fits the lowest limits of the store
   */
  public ShardLayout(int defaultSize) {
    this.defaultSize = defaultSize;
  }

  /** Returns the number of tasks per shard that fits the lowest store limits of the settings. */
  public static int defaultSize(Settings settings) {
    return JobProgressCodec.shardSize(settings.minStoreLimits().valueKb(), settings.zones());
  }

  /** Records the shard size, in tasks, that was fixed when the job was accepted. */
  public void recordShardSize(String ref, int size) {
    sizes.put(ref, size);
  }

  /** Records that the store holds refined shards of this size; the smallest size applies. */
  public void recordRefinedSize(String ref, int size) {
    refinedSizes.merge(ref, size, Math::min);
  }

  /** Whether any job was switched to refined shards. */
  public boolean hasRefinedJobs() {
    return !refinedSizes.isEmpty();
  }

  /** Returns the number of tasks per shard with which the job is written now. */
  public int shardSize(String ref) {
    Integer refined = refinedSizes.get(ref);
    return refined != null ? refined : sizes.getOrDefault(ref, defaultSize);
  }

  /** Returns the shard in which the task is written now. */
  Shard shardOf(Job job, int task) {
    String ref = job.spec.ref();
    int size = shardSize(ref);
    return new Shard(job, size, task / size, refinedSizes.containsKey(ref));
  }

  /** Switches the job to smaller shards; returns false if there is no smaller size. */
  boolean refine(String ref) {
    int size = shardSize(ref);
    if (size <= 1) {
      return false;
    }
    refinedSizes.put(ref, size > defaultSize ? defaultSize : Math.max(1, size / 2));
    return true;
  }
}
