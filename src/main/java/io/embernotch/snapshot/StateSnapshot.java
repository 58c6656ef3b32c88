package io.embernotch.snapshot;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.SharedStateEntry;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes snapshots of a leader's cluster state, or of what is left in the store. */
public final class StateSnapshot {
  private static final Logger LOG = LoggerFactory.getLogger(StateSnapshot.class);

  private StateSnapshot() {}

  /**
   * Takes a snapshot of a leader's cluster state: all that the store held, and changes that the
   * leader had not written yet. It is complete, since a leader commits the start of an attempt
   * before it sends it to a machine.
   *
   * @param shardSize returns the number of tasks in a shard of the job with a given id
   * @param shared shared state entries by name
   * @param epoch epoch of the leader
   * @param wallMs current wall-clock time, in milliseconds since the Unix epoch
   */
  public static ClusterSnapshot of(
      ClusterState state,
      ToIntFunction<String> shardSize,
      Map<String, ObjectNode> shared,
      long epoch,
      long wallMs) {
    ClusterSnapshot.Builder snapshot =
        ClusterSnapshot.newBuilder().setEpoch(epoch).setWallMs(wallMs).setComplete(true);
    shared.forEach((name, value) -> snapshot.addShared(sharedEntry(name, value)));
    state.jobs.forEach(
        (ref, job) -> snapshot.addJob(JobSnapshots.write(job, shardSize.applyAsInt(ref))));
    state.endedJobs.forEach(
        (ref, endedJob) -> snapshot.addEnded(JobSnapshots.writeEnded(ref, endedJob)));
    return snapshot.build();
  }

  /**
   * Takes a snapshot of what is left in the store, where keys may stem from different times. It is
   * marked as incomplete: unreadable values and shards without their job's submission are left out.
   */
  public static ClusterSnapshot of(
      WatchEvents jobs, WatchEvents shards, WatchEvents refinedShards, WatchEvents shared) {
    StoredJobs stored = new StoredJobs();
    read(jobs, stored::readJob);
    read(shards, stored::readShard);
    read(refinedShards, stored::readRefinedShard);
    stored.applyRefinedShards();
    ClusterSnapshot.Builder snapshot = ClusterSnapshot.newBuilder().setComplete(false);
    for (VersionedEntry entry : shared.events()) {
      if (entry.present()) {
        String name = entry.key().substring(JobProgressCodec.SHARED_STATE_PREFIX.length());
        snapshot.addShared(sharedEntry(name, entry.value()));
      }
    }
    stored.jobs.forEach(
        (ref, job) -> snapshot.addJob(JobSnapshots.write(job, stored.shardSizes.get(ref))));
    return snapshot.build();
  }

  /**
   * Takes a snapshot of what is left in the store of an incarnation, overlaid on the incarnation's
   * base snapshot, which alone contains what was not written since. It is marked as incomplete.
   */
  public static ClusterSnapshot of(
      BaseSnapshot baseSnapshot,
      WatchEvents jobs,
      WatchEvents shards,
      WatchEvents refinedShards,
      WatchEvents shared) {
    ClusterSnapshot.Builder snapshot =
        of(
            baseSnapshot.overlay(JobProgressCodec.JOB_PREFIX, jobs),
            baseSnapshot.overlay(JobProgressCodec.SHARD, shards),
            baseSnapshot.overlay(JobProgressCodec.REFINED_SHARD, refinedShards),
            new WatchEvents(shared.revision(), baseSnapshot.overlayShared(shared)))
            .toBuilder();
    new TreeMap<>(baseSnapshot.endedJobs())
        .forEach((ref, end) -> snapshot.addEnded(JobSnapshots.writeEnded(ref, end)));
    return snapshot.build();
  }

  /** The snapshot of a job that is reduced to its end. */
  public static EndedJobSnapshot endedJob(String ref, ClusterState.EndedJob endedJob) {
    return JobSnapshots.writeEnded(ref, endedJob);
  }

  /**
   * Reads the end of one job from all its entries in the store; empty if the job has not ended, has
   * open attempts, or its entries can't be read.
   */
  public static Optional<ClusterState.EndedJob> endOf(
      List<VersionedEntry> submissions,
      List<VersionedEntry> shards,
      List<VersionedEntry> refinedShards) {
    StoredJobs stored = new StoredJobs();
    submissions.forEach(entry -> read(entry, stored::readJob));
    shards.forEach(entry -> read(entry, stored::readShard));
    refinedShards.forEach(entry -> read(entry, stored::readRefinedShard));
    stored.applyRefinedShards();
    return stored.jobs.values().stream()
        .filter(job -> job.finalPhase != null && job.openAttempts.isEmpty())
        .map(ClusterState.EndedJob::of)
        .findFirst();
  }

  private static SharedStateEntry sharedEntry(String name, ObjectNode value) {
    return SharedStateEntry.newBuilder()
        .setName(name)
        .setValue(ByteString.copyFrom(Json.bytes(value)))
        .build();
  }

  private static void read(WatchEvents entries, Consumer<VersionedEntry> reader) {
    entries.events().forEach(entry -> read(entry, reader));
  }

  private static void read(VersionedEntry entry, Consumer<VersionedEntry> reader) {
    try {
      reader.accept(entry);
    } catch (RuntimeException failure) {
      // Catches everything: one bad entry must not prevent the others from being restored.
      LOG.warn("ignoring the unreadable value of {}: {}", entry.key(), failure.toString());
    }
  }

  /** Jobs assembled from the store's entries. */
  private static final class StoredJobs {
    final Map<String, Job> jobs = new LinkedHashMap<>();

    /** Number of tasks in a shard by job id; of the smallest refined shards if the job has any. */
    final Map<String, Integer> shardSizes = new HashMap<>();

    /** Refined shards by job id. */
    private final Map<String, List<ProgressShard>> refinedShards = new LinkedHashMap<>();

    void readJob(VersionedEntry entry) {
      Job job = JobProgressCodec.readJob(entry.value());
      shardSizes.put(job.spec.ref(), JobProgressCodec.readShardSize(entry.value()));
      jobs.put(job.spec.ref(), job);
    }

    void readShard(VersionedEntry entry) {
      Job job = jobs.get(entry.key().split("/", -1)[1]);
      if (job != null) {
        JobProgressCodec.readShard(
            entry.value(),
            job,
            shardSizes.get(job.spec.ref()),
            JobProgressCodec.shardNumber(entry.key()));
      }
    }

    void readRefinedShard(VersionedEntry entry) {
      ProgressShard shard = ProgressShard.of(entry);
      if (jobs.containsKey(shard.ref())) {
        refinedShards.computeIfAbsent(shard.ref(), ref -> new ArrayList<>()).add(shard);
      }
    }

    void applyRefinedShards() {
      refinedShards.forEach(
          (ref, shards) -> {
            for (ProgressShard shard : ProgressShard.largestFirst(shards)) {
              read(shard.entry(), entry -> shard.applyTo(jobs.get(ref)));
              shardSizes.merge(ref, shard.size(), Math::min);
            }
          });
    }
  }
}
