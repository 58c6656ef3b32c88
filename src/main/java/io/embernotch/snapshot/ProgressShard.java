package io.embernotch.snapshot;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.Job;
import io.embernotch.store.VersionedEntry;
import java.util.Comparator;
import java.util.List;

/**
 * A refined shard: a part of a job's progress that replaces part of a larger shard.
 *
 * @param ref id of the job
 * @param size number of tasks in the shard
 * @param index index of the shard among the job's shards of this size, from 0
 * @param entry the shard's entry in the store
 */
public record ProgressShard(String ref, int size, int index, VersionedEntry entry) {
  /** Number of parts of a key after its prefix: the job's id, the size and the index. */
  private static final int KEY_PARTS = 3;

  /**
   * Parses the key of a refined shard's entry; the value is not read.
   *
   * @throws MalformedInputException if the key has another form, or its size or index is not a
   *     number or out of range
   */
  public static ProgressShard of(VersionedEntry entry) {
    String[] keyParts =
        entry.key().substring(JobProgressCodec.REFINED_SHARD.length()).split("/", -1);
    if (keyParts.length != KEY_PARTS) {
      throw new MalformedInputException("not JOB/SIZE/INDEX");
    }
    try {
      ProgressShard shard =
          new ProgressShard(
              keyParts[0], Integer.parseInt(keyParts[1]), Integer.parseInt(keyParts[2]), entry);
      if (shard.size < 1 || shard.index < 0) {
        throw new MalformedInputException("shard size or index out of range");
      }
      Math.multiplyExact(shard.size, shard.index + 1);
      return shard;
    } catch (NumberFormatException | ArithmeticException e) {
      throw new MalformedInputException(e.getMessage());
    }
  }

  /**
   * Applies refined shards to a job whose other shards have been applied before.
   *
   * @throws MalformedInputException if a value is malformed
   */
  public static void applyAll(Job job, List<ProgressShard> shards) {
    largestFirst(shards).forEach(shard -> shard.applyTo(job));
  }

  /** Sorts shards in the order to apply them: smaller shards are newer than larger ones. */
  public static List<ProgressShard> largestFirst(List<ProgressShard> shards) {
    return shards.stream()
        .sorted(Comparator.comparingInt((ProgressShard shard) -> -shard.size()))
        .toList();
  }

  /**
   * Replaces the progress of this shard's tasks in the job by that in this shard's value.
   *
   * @throws MalformedInputException if the value is malformed
   */
  public void applyTo(Job job) {
    JobProgressCodec.readRefinedShard(entry.value(), job, size, index);
  }
}
