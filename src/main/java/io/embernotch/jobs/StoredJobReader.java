package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.JobPhase;
import io.embernotch.persistence.ShardLayout;
import io.embernotch.persistence.StoredSubmission;
import io.embernotch.snapshot.ProgressShard;
import io.embernotch.state.ClusterState;
import io.embernotch.state.UnreadableEntries.UnreadableSubmission;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconstructs the jobs that the store holds, for a new leader. An entry that can't be read does
 * not fail the load: otherwise this and every later leader would retry the load for ever. What
 * can't be read is unknown, not absent:
 *
 * <ul>
 *   <li>a job whose submission can't be read stays known, and can't run; if it has ended, its end
 *       is reported;
 *   <li>a job of which a shard can't be read starts no task until no task of it can run that only
 *       an earlier leader knew of;
 *   <li>a job whose end can't be read is neither started nor written, and its state is not
 *       reported: it may have ended, and its end may have been reported to its user.
 * </ul>
 */
final class StoredJobReader {
  private static final Logger LOG = LoggerFactory.getLogger(StoredJobReader.class);

  /** Characters of an unreadable value that are logged; the value may be overwritten later. */
  private static final int MAX_LOGGED_CHARACTERS = 2000;

  private final ClusterState state;
  private final ShardLayout shardLayout;
  private final long baseRevision;
  private final double unknownTasksEndAt;
  private final Map<String, StoredSubmission> recovered = new LinkedHashMap<>();

  /**
   * @param state receives the unreadable entries, and the ends of jobs whose submission can't be
   *     read
   * @param shardLayout receives the sizes of refined shards
   * @param baseRevision revision that the current store incarnation started with
   * @param unknownTasksEndAt time, in seconds of the steady clock, after which no task runs that
   *     only an earlier leader knew of
   */
  StoredJobReader(
      ClusterState state, ShardLayout shardLayout, long baseRevision, double unknownTasksEndAt) {
    this.state = state;
    this.shardLayout = shardLayout;
    this.baseRevision = baseRevision;
    this.unknownTasksEndAt = unknownTasksEndAt;
  }

  /** Returns the jobs whose submission and end can be read, by id. */
  Map<String, StoredSubmission> read(
      WatchEvents submissions, WatchEvents shards, WatchEvents refinedShards) {
    submissions.events().forEach(this::readSubmission);
    Stream.concat(shards.events().stream(), refinedShards.events().stream())
        .map(StoredJobReader::refOf)
        .filter(ref -> state.unreadable.submission(ref).isPresent())
        .forEach(state.unreadable::addStarted);
    shards.events().forEach(this::readShard);
    readRefinedShards(refinedShards);
    return recovered;
  }

  /** Returns the id of the job that a {@code run/} or {@code part/} entry belongs to. */
  static String refOf(VersionedEntry entry) {
    return entry.key().split("/", -1)[1];
  }

  private void readSubmission(VersionedEntry entry) {
    String ref = entry.key().substring(JobProgressCodec.JOB_PREFIX.length());
    boolean readable =
        tryRead(
            entry,
            () -> {
              StoredSubmission submission = StoredSubmission.read(entry.value());
              submission.job().restoredAfterLoss |= entry.modRevision() <= baseRevision;
              recovered.put(ref, submission);
            });
    if (!readable) {
      state.unreadable.addSubmission(
          ref, new UnreadableSubmission(StoredSubmission.readDependencies(entry.value()), true));
    }
  }

  private void readShard(VersionedEntry entry) {
    String ref = refOf(entry);
    boolean holdsEnd = entry.key().equals(JobProgressCodec.shardKey(ref, 0));
    StoredSubmission owner = recovered.get(ref);
    if (owner != null) {
      if (!tryRead(entry, () -> readShard(entry, owner))) {
        delayUntilUnknownTasksEnd(owner);
        if (holdsEnd && !JobProgressCodec.determinesEnd(entry.value())) {
          recovered.remove(ref);
          state.unreadable.addUnknownEnd(owner.job());
        }
      }
    } else if (holdsEnd) {
      readEndWithoutSubmission(entry, ref);
    }
  }

  private static void readShard(VersionedEntry entry, StoredSubmission owner) {
    JobProgressCodec.readShard(
        entry.value(), owner.job(), owner.shardSize(), JobProgressCodec.shardNumber(entry.key()));
  }

  /** Reads the end of a job whose submission can't be read, so that it can be reported. */
  private void readEndWithoutSubmission(VersionedEntry entry, String ref) {
    if (!state.unreadable.isStarted(ref)) {
      return;
    }
    if (!JobProgressCodec.determinesEnd(entry.value())) {
      state.unreadable.addUnknownEnd(ref);
      return;
    }
    JobPhase end = JobProgressCodec.readEnd(entry.value());
    if (end != null) {
      state.endedJobs.put(ref, new ClusterState.EndedJob(end, 0, 0, 0));
    }
  }

  private void readRefinedShards(WatchEvents refinedShards) {
    Map<String, List<ProgressShard>> shardsByJob = new HashMap<>();
    for (VersionedEntry entry : refinedShards.events()) {
      StoredSubmission owner = recovered.get(refOf(entry));
      boolean readable =
          tryRead(
              entry,
              () ->
                  shardsByJob
                      .computeIfAbsent(refOf(entry), ref -> new ArrayList<>())
                      .add(ProgressShard.of(entry)));
      if (!readable && owner != null) {
        delayUntilUnknownTasksEnd(owner);
      }
    }
    recovered.forEach(
        (ref, owner) -> {
          for (ProgressShard shard :
              ProgressShard.largestFirst(shardsByJob.getOrDefault(ref, List.of()))) {
            if (!tryRead(shard.entry(), () -> shard.applyTo(owner.job()))) {
              delayUntilUnknownTasksEnd(owner);
            }
            // Recorded even if its value can't be read: it still overrides what larger shards state
            // of its tasks.
            shardLayout.recordRefinedSize(ref, shard.size());
          }
        });
  }

  /** Delays a job until none of its tasks can run, since it is not known which of them do. */
  private void delayUntilUnknownTasksEnd(StoredSubmission job) {
    job.job().notBefore = unknownTasksEndAt;
  }

  /** Returns whether {@code read} succeeded; otherwise logs the entry and skips it. */
  private boolean tryRead(VersionedEntry entry, Runnable read) {
    try {
      read.run();
      return true;
    } catch (RuntimeException e) {
      state.unreadable.addKey(entry.key());
      String value = new String(Json.bytes(entry.value()), StandardCharsets.UTF_8);
      LOG.error(
          "the value of {} can't be read: {}: {}",
          entry.key(),
          e,
          value.substring(0, Math.min(MAX_LOGGED_CHARACTERS, value.length())));
      return false;
    }
  }
}
