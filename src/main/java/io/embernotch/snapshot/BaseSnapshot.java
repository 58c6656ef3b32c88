package io.embernotch.snapshot;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.Versions;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The snapshot that an incarnation began with. It lies in the store as blocks, and the store's keys
 * are laid over it: a key that was written in this incarnation is newer than the snapshot, one that
 * was left from before is older. Of a job that the snapshot says has ended nothing else counts.
 */
public final class BaseSnapshot {
  /** An incarnation that began with nothing. */
  public static final BaseSnapshot EMPTY =
      new BaseSnapshot(ClusterSnapshot.newBuilder().setComplete(true).build(), 0);

  private final boolean complete;
  private final boolean jobsMissing;
  private final long madeMs;
  private final long since;

  /** Serialized: jobs that nobody asks for are never parsed. */
  private final Map<String, byte[]> jobs = new LinkedHashMap<>();

  private final Map<String, ClusterState.EndedJob> endedJobs = new HashMap<>();

  /** Jobs that have ended, and have attempts whose end is not proven. */
  private final Set<String> endedWithAttempts = new HashSet<>();

  private final Map<String, ObjectNode> shared = new TreeMap<>();

  /**
   * @param since keys with a higher modification revision are newer than the snapshot
   */
  public BaseSnapshot(ClusterSnapshot snapshot, long since) {
    this.complete = snapshot.getComplete();
    this.jobsMissing = snapshot.getJobsMissing();
    this.madeMs = snapshot.getWallMs();
    this.since = since;
    for (JobSnapshot job : snapshot.getJobList()) {
      jobs.put(job.getRef(), job.toByteArray());
      if (job.hasEnd()) {
        endedWithAttempts.add(job.getRef());
      }
    }
    for (EndedJobSnapshot endedJob : snapshot.getEndedList()) {
      endedJobs.put(endedJob.getRef(), JobSnapshots.readEnded(endedJob));
    }
    snapshot
        .getSharedList()
        .forEach(
            entry -> shared.put(entry.getName(), Json.parseObject(entry.getValue().toByteArray())));
  }

  /** False if tasks may run that neither it nor the keys left in the store know of. */
  public boolean complete() {
    return complete;
  }

  /** Whether jobs may have been accepted before that nothing of this incarnation holds. */
  public boolean jobsMissing() {
    return jobsMissing;
  }

  /** The time of day at which it was made, in milliseconds. */
  public long madeMs() {
    return madeMs;
  }

  /**
   * Keys of this modification revision or a lower one are older than the snapshot; 0 if there is
   * none.
   */
  public long since() {
    return since;
  }

  /** Whether it holds a job: that was accepted, and is not to be written as a new one. */
  public boolean has(String ref) {
    return jobs.containsKey(ref) || endedJobs.containsKey(ref);
  }

  /** Whether it tells how a job has ended. */
  public boolean tellsEnd(String ref) {
    return endedJobs.containsKey(ref) || endedWithAttempts.contains(ref);
  }

  /** The end of a job of which nothing else is left; null if it holds no such job. */
  public ClusterState.EndedJob ended(String ref) {
    return endedJobs.get(ref);
  }

  /** The ends of all jobs of which nothing else is left, by id. */
  public Map<String, ClusterState.EndedJob> allEnded() {
    return endedJobs;
  }

  /**
   * The store's keys under a prefix, laid over this snapshot.
   *
   * @param stored all keys that the store holds under the prefix
   */
  public WatchEvents overlay(String prefix, WatchEvents stored) {
    if (jobs.isEmpty() && endedJobs.isEmpty()) {
      return stored;
    }
    Map<String, VersionedEntry> entries = new LinkedHashMap<>();
    for (byte[] job : jobs.values()) {
      addEntries(job, prefix, entries);
    }
    stored.events().forEach(entry -> layOver(entry, entries));
    return new WatchEvents(stored.revision(), List.copyOf(entries.values()));
  }

  /**
   * The store's shared state entries, laid over this snapshot: of each the later value, with the
   * modification revision that the store has.
   */
  public List<VersionedEntry> overlayShared(WatchEvents stored) {
    Map<String, VersionedEntry> entries = new TreeMap<>();
    shared.forEach(
        (name, value) ->
            entries.put(
                JobProgressCodec.SHARED + name,
                new VersionedEntry(JobProgressCodec.SHARED + name, value, 0)));
    for (VersionedEntry entry : stored.events()) {
      if (entry.present()) {
        VersionedEntry base = entries.get(entry.key());
        entries.put(
            entry.key(),
            base == null
                ? entry
                : new VersionedEntry(
                    entry.key(), Versions.later(base.value(), entry.value()), entry.modRevision()));
      }
    }
    return List.copyOf(entries.values());
  }

  /**
   * The store's keys of one job under a prefix, laid over this snapshot.
   *
   * @param stored all keys of the job that the store holds under the prefix
   */
  public List<VersionedEntry> overlay(String ref, String prefix, List<VersionedEntry> stored) {
    Map<String, VersionedEntry> entries = new LinkedHashMap<>();
    if (jobs.containsKey(ref)) {
      addEntries(jobs.get(ref), prefix, entries);
    }
    stored.forEach(entry -> layOver(entry, entries));
    return List.copyOf(entries.values());
  }

  private static void addEntries(byte[] job, String prefix, Map<String, VersionedEntry> entries) {
    try {
      for (VersionedEntry entry : JobSnapshots.entries(JobSnapshot.parseFrom(job))) {
        if (entry.key().startsWith(prefix)) {
          entries.put(entry.key(), entry);
        }
      }
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedInputException("a job of the base: " + e.getMessage());
    }
  }

  private void layOver(VersionedEntry entry, Map<String, VersionedEntry> entries) {
    String ref = entry.key().split("/", -1)[1];
    if (endedJobs.containsKey(ref)) {
      return;
    }
    if (!jobs.containsKey(ref) || entry.modRevision() > since) {
      entries.put(entry.key(), entry);
    } else if (entries.containsKey(entry.key())) {
      // Older than the snapshot, but the next write conditions on the key's modification revision.
      entries.put(
          entry.key(),
          new VersionedEntry(entry.key(), entries.get(entry.key()).value(), entry.modRevision()));
    }
  }
}
