package io.embernotch.snapshot;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.Job;
import io.embernotch.store.VersionedEntry;
import java.util.Comparator;
import java.util.List;

/**
 * A refined shard of a job's progress, by its key.
 *
 * @param ref id of the job
 * @param size tasks in each refined shard of this size
 * @param index which of them, from 0
 * @param entry the key with its value
 */
public record ProgressShard(String ref, int size, int index, VersionedEntry entry) {
  /** Parts of a key after its prefix: the job's id, the size and the index. */
  private static final int KEY_PARTS = 3;

  /**
   * The shard that a key holds.
   *
   * @throws MalformedInputException if its size or index is no number, or none that a shard has
   */
  public static ProgressShard of(VersionedEntry entry) {
    String[] names = entry.key().substring(JobProgressCodec.REFINED_SHARD.length()).split("/", -1);
    if (names.length != KEY_PARTS) {
      throw new MalformedInputException("not JOB/SIZE/INDEX");
    }
    try {
      ProgressShard shard =
          new ProgressShard(
              names[0], Integer.parseInt(names[1]), Integer.parseInt(names[2]), entry);
      if (shard.size < 1 || shard.index < 0) {
        throw new MalformedInputException("no such shard");
      }
      Math.multiplyExact(shard.size, shard.index + 1);
      return shard;
    } catch (NumberFormatException | ArithmeticException e) {
      throw new MalformedInputException(e.getMessage());
    }
  }

  /**
   * Applies refined shards to a job that its other shards were applied to.
   *
   * @throws MalformedInputException if a value is malformed
   */
  public static void applyAll(Job job, List<ProgressShard> shards) {
    largestFirst(shards).forEach(shard -> shard.applyTo(job));
  }

  /** In the order to apply them: smaller shards are newer than larger ones. */
  public static List<ProgressShard> largestFirst(List<ProgressShard> shards) {
    return shards.stream()
        .sorted(Comparator.comparingInt((ProgressShard shard) -> -shard.size()))
        .toList();
  }

  /**
   * Replaces what larger shards stated about this one's tasks.
   *
   * @throws MalformedInputException if the value is malformed
   */
  public void applyTo(Job job) {
    JobProgressCodec.readRefinedShard(entry.value(), job, size, index);
  }
}
