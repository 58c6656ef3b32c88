package io.embernotch.persistence;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.model.Job;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.ProgressShard;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Future;
import java.util.List;

/** A job put together from its entries in the store, whatever shards and parts it is kept in. */
public final class PersistedJob {
  private PersistedJob() {}

  /**
   * What the store and the base of its incarnation hold of a job's submission; an absent entry if
   * it was never accepted.
   */
  public static Future<VersionedEntry> submission(
      StoreClient store, BaseSnapshot baseSnapshot, String ref) {
    return store
        .getConfirmed(JobProgressCodec.JOB + ref)
        .map(
            entry ->
                baseSnapshot.overlay(ref, JobProgressCodec.JOB, present(entry)).stream()
                    .findFirst()
                    .orElse(new VersionedEntry(entry.key(), null, 0)));
  }

  /**
   * Reads a job, its first shard and its parts; null if it was never accepted. Three reads at most.
   * Not for one of which the base knows only the end.
   */
  public static Future<Job> read(StoreClient store, BaseSnapshot baseSnapshot, String ref) {
    return submission(store, baseSnapshot, ref)
        .compose(
            entry -> {
              if (!entry.present()) {
                return Future.succeededFuture(null);
              }
              Job job = JobProgressCodec.readJob(entry.value());
              return store
                  .get(JobProgressCodec.SHARD + ref)
                  .compose(
                      run ->
                          progress(
                              store,
                              baseSnapshot,
                              job,
                              run,
                              JobProgressCodec.readShardSize(entry.value())));
            });
  }

  private static List<VersionedEntry> present(VersionedEntry entry) {
    return entry.present() ? List.of(entry) : List.of();
  }

  private static Future<Job> progress(
      StoreClient store, BaseSnapshot baseSnapshot, Job job, VersionedEntry stored, int shardSize) {
    for (VersionedEntry run :
        baseSnapshot.overlay(job.spec.ref(), JobProgressCodec.SHARD, present(stored))) {
      JobProgressCodec.readShard(run.value(), job, shardSize, JobProgressCodec.shardOf(run.key()));
    }
    if (job.finalPhase != null) {
      return Future.succeededFuture(job);
    }
    // Parts are only made of shards that were there, or of a job's very first write.
    return store
        .list(JobProgressCodec.REFINED_SHARD + job.spec.ref() + "/")
        .map(
            found -> {
              List<VersionedEntry> parts =
                  baseSnapshot.overlay(
                      job.spec.ref(), JobProgressCodec.REFINED_SHARD, found.events());
              ProgressShard.applyAll(job, parts.stream().map(ProgressShard::of).toList());
              return job;
            });
  }
}
