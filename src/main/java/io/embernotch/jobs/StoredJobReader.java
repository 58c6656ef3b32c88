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
 * Puts the jobs together that the store holds, for a new leader. Whatever is wrong with one entry,
 * all others are read: if it failed the whole load, this and every later leader would retry for
 * ever. What can't be read is unknown, not absent:
 *
 * <ul>
 *   <li>a job whose submission can't be read stays known, and can't run; if it has ended, that is
 *       told;
 *   <li>a job of which a shard can't be read starts nothing until no task of it can run that only
 *       an earlier leader knew of;
 *   <li>a job whose end can't be read is neither started nor written nor told about: it may have
 *       ended, and its user may have been told so.
 * </ul>
 */
final class StoredJobReader {
  private static final Logger LOG = LoggerFactory.getLogger(StoredJobReader.class);

  /** Of a value that can't be read so many characters are logged: it may be overwritten later. */
  private static final int MAX_LOGGED_CHARACTERS = 2000;

  private final ClusterState state;
  private final ShardLayout shardLayout;
  private final long baseSince;
  private final double noTaskRunsAfter;
  private final Map<String, StoredSubmission> recovered = new LinkedHashMap<>();

  /**
   * @param state receives what can't be read, and the ends of jobs of which nothing else can
   * @param shardLayout receives the sizes of refined shards
   * @param baseSince revision that the present store incarnation began with
   * @param noTaskRunsAfter when, by the steady clock, no task runs any more that only an earlier
   *     leader knew of
   */
  StoredJobReader(
      ClusterState state, ShardLayout shardLayout, long baseSince, double noTaskRunsAfter) {
    this.state = state;
    this.shardLayout = shardLayout;
    this.baseSince = baseSince;
    this.noTaskRunsAfter = noTaskRunsAfter;
  }

  /** The jobs whose submission and end could be read, by id. */
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

  /** The id of the job that a {@code run/} or {@code part/} entry belongs to. */
  static String refOf(VersionedEntry entry) {
    return entry.key().split("/", -1)[1];
  }

  private void readSubmission(VersionedEntry entry) {
    String ref = entry.key().substring(JobProgressCodec.JOB.length());
    boolean readable =
        tryRead(
            entry,
            () -> {
              StoredSubmission found = StoredSubmission.read(entry.value());
              found.job().restoredAfterLoss |= entry.modRevision() <= baseSince;
              recovered.put(ref, found);
            });
    if (!readable) {
      state.unreadable.addSubmission(
          ref, new UnreadableSubmission(StoredSubmission.readDependencies(entry.value()), true));
    }
  }

  private void readShard(VersionedEntry entry) {
    String ref = refOf(entry);
    boolean first = entry.key().equals(JobProgressCodec.shardKey(ref, 0));
    StoredSubmission owner = recovered.get(ref);
    if (owner != null) {
      if (!tryRead(entry, () -> readShard(entry, owner))) {
        holdBack(owner);
        if (first && !JobProgressCodec.tellsEnd(entry.value())) {
          recovered.remove(ref);
          state.unreadable.addUnknownEnd(owner.job());
        }
      }
    } else if (first) {
      readEndAlone(entry, ref);
    }
  }

  private static void readShard(VersionedEntry entry, StoredSubmission owner) {
    JobProgressCodec.readShard(
        entry.value(), owner.job(), owner.shardSize(), JobProgressCodec.shardOf(entry.key()));
  }

  /** Of a job whose submission can't be read, its end is told all the same. */
  private void readEndAlone(VersionedEntry entry, String ref) {
    if (!state.unreadable.isStarted(ref)) {
      return;
    }
    if (!JobProgressCodec.tellsEnd(entry.value())) {
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
        holdBack(owner);
      }
    }
    recovered.forEach(
        (ref, owner) -> {
          for (ProgressShard shard :
              ProgressShard.largestFirst(shardsByJob.getOrDefault(ref, List.of()))) {
            if (!tryRead(shard.entry(), () -> shard.applyTo(owner.job()))) {
              holdBack(owner);
            }
            // Also if its value can't be read: what larger shards state of its tasks stays
            // overridden.
            shardLayout.recordRefinedSize(ref, shard.size());
          }
        });
  }

  /** Which tasks of the job run is not known, so it waits until none can. */
  private void holdBack(StoredSubmission job) {
    job.job().notBefore = noTaskRunsAfter;
  }

  /** Returns whether {@code read} succeeded; otherwise its entry is logged and left out. */
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
