package io.embernotch.snapshot;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.Job;
import io.embernotch.store.VersionedEntry;
import java.util.ArrayList;
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
  /**
   * The shard that a key holds.
   *
   * @throws MalformedInputException if its size or index is no number
   */
  public static ProgressShard of(VersionedEntry entry) {
    String[] names = entry.key().substring(JobProgressCodec.REFINED_SHARD.length()).split("/", -1);
    try {
      return new ProgressShard(
          names[0], Integer.parseInt(names[1]), Integer.parseInt(names[2]), entry);
    } catch (NumberFormatException e) {
      throw new MalformedInputException(e.getMessage());
    }
  }

  /**
   * Applies refined shards to a job that its other shards were applied to. Smaller shards are newer
   * than larger ones, so these go first.
   */
  public static void applyAll(Job job, List<ProgressShard> shards) {
    List<ProgressShard> largestFirst = new ArrayList<>(shards);
    largestFirst.sort(Comparator.comparingInt((ProgressShard shard) -> -shard.size()));
    largestFirst.forEach(
        shard ->
            JobProgressCodec.readRefinedShard(
                shard.entry().value(), job, shard.size(), shard.index()));
  }
}
