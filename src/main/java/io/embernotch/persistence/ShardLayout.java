package io.embernotch.persistence;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.model.Job;
import java.util.HashMap;
import java.util.Map;

/**
 * In which shards the progress of each job is kept. A job starts with the size of shards that was
 * fixed when it was accepted. It goes over to smaller parts, for good, once a shard does not fit
 * the store any more; what the larger shards say of other tasks stays valid.
 */
public final class ShardLayout {
  /** So many tasks of a job, kept under one key. */
  public record Shard(Job job, int size, int index, boolean part) {
    String key() {
      String ref = job.spec.ref();
      return part
          ? JobProgressCodec.refinedShardKey(ref, size, index)
          : JobProgressCodec.shardKey(ref, index);
    }

    /** Number of its first task. */
    int from() {
      return index * size;
    }

    ObjectNode value() {
      return JobProgressCodec.writeShard(job, size, index);
    }
  }

  private final int usualSize;
  private final Map<String, Integer> sizes = new HashMap<>();
  private final Map<String, Integer> parts = new HashMap<>();

  /** {@code usualSize}: tasks in a shard that fits the store under its lowest limits. */
  public ShardLayout(int usualSize) {
    this.usualSize = usualSize;
  }

  public void recordShardSize(String ref, int size) {
    sizes.put(ref, size);
  }

  /** The store holds parts of this size; the smallest ones count. */
  public void recordRefinedSize(String ref, int size) {
    parts.merge(ref, size, Math::min);
  }

  public int shardSize(String ref) {
    Integer part = parts.get(ref);
    return part != null ? part : sizes.getOrDefault(ref, usualSize);
  }

  public Shard shardOf(Job job, int task) {
    String ref = job.spec.ref();
    int size = shardSize(ref);
    return new Shard(job, size, task / size, parts.containsKey(ref));
  }

  /** Has the job go over to smaller parts; false if there are none smaller. */
  public boolean refine(String ref) {
    int now = shardSize(ref);
    if (now <= 1) {
      return false;
    }
    parts.put(ref, now > usualSize ? usualSize : Math.max(1, now / 2));
    return true;
  }
}
