package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.persistence.JobEntryScan;
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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconstructs the jobs that the store holds, for a new leader, from entries that arrive range by
 * range. A job that has ended is passed on and dropped as soon as its entries are complete, so that
 * the memory needed does not grow with the ended jobs. An entry that can't be read does not fail
 * the load: otherwise this and every later leader would retry the load for ever. What can't be read
 * is unknown, not absent:
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

  /** Receives what has been read. */
  interface Listener {
    /** Called for a job that has ended and has no open attempts, once all its shards are read. */
    void endedJobRead(Job job);

    /** Called for each shard of a job that may still be written. */
    void shardRead(String key, long modRevision);
  }

  /** The modification revision of a shard. */
  private record ShardRevision(String key, long modRevision) {}

  private final ClusterState state;
  private final ShardLayout shardLayout;
  private final Listener listener;
  private final long baseRevision;
  private final double unknownTasksEndAt;

  /** Jobs that have not been passed to the listener, by id. */
  private final Map<String, StoredSubmission> recovered = new LinkedHashMap<>();

  /** Shards of jobs whose shards may not all have been read, by the id of the job. */
  private final Map<String, List<ShardRevision>> incompleteJobs = new LinkedHashMap<>();

  /**
   * @param state receives the unreadable entries, and the ends of jobs whose submission can't be
   *     read
   * @param shardLayout receives the sizes of refined shards
   * @param baseRevision revision that the current store incarnation started with
   * @param unknownTasksEndAt time, in seconds of the steady clock, after which no task runs that
   *     only an earlier leader knew of
   */
  StoredJobReader(
      ClusterState state,
      ShardLayout shardLayout,
      Listener listener,
      long baseRevision,
      double unknownTasksEndAt) {
    this.state = state;
    this.shardLayout = shardLayout;
    this.listener = listener;
    this.baseRevision = baseRevision;
    this.unknownTasksEndAt = unknownTasksEndAt;
  }

  /** Adds submissions, before the shards of these jobs. */
  void readSubmissions(List<VersionedEntry> submissions) {
    submissions.forEach(this::readSubmission);
  }

  /** Adds progress shards of jobs whose submissions were added. */
  void readShards(List<VersionedEntry> shards) {
    for (VersionedEntry shard : shards) {
      String ref = JobEntryScan.refOf(shard);
      markStartedIfUnreadable(ref);
      readShard(ref, shard);
      List<ShardRevision> revisions = incompleteJobs.get(ref);
      if (revisions != null) {
        revisions.add(new ShardRevision(shard.key(), shard.modRevision()));
      }
    }
  }

  /**
   * Completes the jobs all of whose shards have been added.
   *
   * @param isComplete whether they have, by the id of a job
   */
  void completeJobs(Predicate<String> isComplete) {
    Iterator<Map.Entry<String, List<ShardRevision>>> incomplete =
        incompleteJobs.entrySet().iterator();
    while (incomplete.hasNext()) {
      Map.Entry<String, List<ShardRevision>> job = incomplete.next();
      if (isComplete.test(job.getKey())) {
        incomplete.remove();
        completeJob(job.getKey(), job.getValue());
      }
    }
  }

  private void completeJob(String ref, List<ShardRevision> shards) {
    if (recovered.containsKey(ref) && !dropIfEnded(ref)) {
      shards.forEach(shard -> listener.shardRead(shard.key(), shard.modRevision()));
    }
  }

  /** Passes a job to the listener if it has ended and has no open attempts. */
  private boolean dropIfEnded(String ref) {
    Job job = recovered.get(ref).job();
    boolean ended = job.finalPhase != null && job.openAttempts.isEmpty();
    if (ended) {
      recovered.remove(ref);
      listener.endedJobRead(job);
    }
    return ended;
  }

  /**
   * Adds all refined shards, after all other shards.
   *
   * @return the jobs whose submission and end can be read and which have not ended, by id
   */
  Map<String, StoredSubmission> readRefinedShards(WatchEvents refinedShards) {
    refinedShards.events().stream().map(JobEntryScan::refOf).forEach(this::markStartedIfUnreadable);
    applyRefinedShards(refinedShards);
    List.copyOf(recovered.keySet()).forEach(this::dropIfEnded);
    refinedShards.events().stream()
        .filter(shard -> recovered.containsKey(JobEntryScan.refOf(shard)))
        .forEach(shard -> listener.shardRead(shard.key(), shard.modRevision()));
    return recovered;
  }

  private void markStartedIfUnreadable(String ref) {
    if (state.unreadable.submission(ref).isPresent()) {
      state.unreadable.addStarted(ref);
    }
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
              incompleteJobs.put(ref, new ArrayList<>(1));
            });
    if (!readable) {
      state.unreadable.addSubmission(
          ref, new UnreadableSubmission(StoredSubmission.readDependencies(entry.value()), true));
    }
  }

  private void readShard(String ref, VersionedEntry entry) {
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

  private void applyRefinedShards(WatchEvents refinedShards) {
    Map<String, List<ProgressShard>> shardsByJob = new HashMap<>();
    for (VersionedEntry entry : refinedShards.events()) {
      StoredSubmission owner = recovered.get(JobEntryScan.refOf(entry));
      boolean readable =
          tryRead(
              entry,
              () ->
                  shardsByJob
                      .computeIfAbsent(JobEntryScan.refOf(entry), ref -> new ArrayList<>())
                      .add(ProgressShard.of(entry)));
      if (!readable && owner != null) {
        delayUntilUnknownTasksEnd(owner);
      }
    }
    recovered.forEach(
        (ref, owner) -> applyRefinedShards(owner, shardsByJob.getOrDefault(ref, List.of())));
  }

  private void applyRefinedShards(StoredSubmission owner, List<ProgressShard> shards) {
    for (ProgressShard shard : ProgressShard.largestFirst(shards)) {
      if (!tryRead(shard.entry(), () -> shard.applyTo(owner.job()))) {
        delayUntilUnknownTasksEnd(owner);
      }
      // Recorded even if its value can't be read: it still overrides what larger shards state of
      // its tasks.
      shardLayout.recordRefinedSize(shard.ref(), shard.size());
    }
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
