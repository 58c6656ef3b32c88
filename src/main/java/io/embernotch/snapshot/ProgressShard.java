package io.embernotch.snapshot;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.model.Job;
import io.embernotch.store.VersionedEntry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A part of a job's progress by its key. */
public record ProgressShard(String ref, int size, int index, VersionedEntry entry) {
  public static ProgressShard of(VersionedEntry entry) {
    String[] names = entry.key().substring(JobProgressCodec.REFINED_SHARD.length()).split("/");
    return new ProgressShard(
        names[0], Integer.parseInt(names[1]), Integer.parseInt(names[2]), entry);
  }

  /** Smaller parts are newer than larger ones, and these than shards. */
  public static void applyAll(Job job, List<ProgressShard> shards) {
    List<ProgressShard> order = new ArrayList<>(shards);
    order.sort(Comparator.comparingInt((ProgressShard p) -> -p.size()));
    order.forEach(
        p -> JobProgressCodec.readRefinedShard(p.entry().value(), job, p.size(), p.index()));
  }
}
