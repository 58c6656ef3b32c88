package io.embernotch.persistence;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.model.Job;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.ProgressShard;
import io.embernotch.store.StoreClient;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Future;
import java.util.List;

/** Reads a single job and its progress, in shards of any size, from the store. */
public final class PersistedJob {
  private PersistedJob() {}

  /**
   * Reads the submission of a job from the store and the base snapshot of its incarnation.
   * Completes with an entry without a value if the job was never accepted; fails as the read does.
   */
  public static Future<VersionedEntry> submission(
      StoreClient store, BaseSnapshot baseSnapshot, String ref) {
    return store
        .getConfirmed(JobProgressCodec.JOB_PREFIX + ref)
        .map(
            entry ->
                baseSnapshot.overlay(ref, JobProgressCodec.JOB_PREFIX, present(entry)).stream()
                    .findFirst()
                    .orElse(VersionedEntry.absent(entry.key())));
  }

  /**
   * Reads a job, its first shard and its refined shards, with at most three requests. Completes
   * with null if the job was never accepted; fails as the first failing read does. Not applicable
   * to a job of which the base snapshot holds only the final phase.
   */
  public static Future<Job> read(StoreClient store, BaseSnapshot baseSnapshot, String ref) {
    return submission(store, baseSnapshot, ref)
        .compose(
            entry ->
                entry.present()
                    ? readProgress(store, baseSnapshot, entry)
                    : Future.succeededFuture(null));
  }

  private static Future<Job> readProgress(
      StoreClient store, BaseSnapshot baseSnapshot, VersionedEntry submission) {
    StoredSubmission stored = StoredSubmission.read(submission.value());
    Job job = stored.job();
    return store
        .get(JobProgressCodec.SHARD + job.spec.ref())
        .compose(
            firstShard -> addProgress(store, baseSnapshot, job, firstShard, stored.shardSize()));
  }

  private static List<VersionedEntry> present(VersionedEntry entry) {
    return entry.present() ? List.of(entry) : List.of();
  }

  private static Future<Job> addProgress(
      StoreClient store,
      BaseSnapshot baseSnapshot,
      Job job,
      VersionedEntry firstShard,
      int shardSize) {
    String ref = job.spec.ref();
    for (VersionedEntry shard :
        baseSnapshot.overlay(ref, JobProgressCodec.SHARD, present(firstShard))) {
      JobProgressCodec.readShard(
          shard.value(), job, shardSize, JobProgressCodec.shardNumber(shard.key()));
    }
    if (job.finalPhase != null) {
      return Future.succeededFuture(job);
    }
    // Refined shards are created only from existing shards or by the first write of a job.
    return store
        .list(JobProgressCodec.REFINED_SHARD + ref + "/")
        .map(found -> addRefinedShards(baseSnapshot, job, found.events()));
  }

  private static Job addRefinedShards(
      BaseSnapshot baseSnapshot, Job job, List<VersionedEntry> stored) {
    List<VersionedEntry> refined =
        baseSnapshot.overlay(job.spec.ref(), JobProgressCodec.REFINED_SHARD, stored);
    ProgressShard.applyAll(job, refined.stream().map(ProgressShard::of).toList());
    return job;
  }
}
