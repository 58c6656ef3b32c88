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
 * The snapshot that a store incarnation began with. It is stored as blocks, and the store's keys
 * are overlaid on it: a key that was written in this incarnation overrides the snapshot, and the
 * snapshot overrides a key from before. If the snapshot has a job reduced to its end, all keys of
 * that job are ignored.
 */
public final class BaseSnapshot {
  /** The base of an incarnation that began without any contents. */
  public static final BaseSnapshot EMPTY =
      new BaseSnapshot(ClusterSnapshot.newBuilder().setComplete(true).build(), 0);

  private final boolean complete;
  private final boolean jobsMissing;
  private final long takenAtMs;
  private final long since;

  /** Serialized jobs by id; each is parsed only when it is read. */
  private final Map<String, byte[]> jobs = new LinkedHashMap<>();

  private final Map<String, ClusterState.EndedJob> endedJobs = new HashMap<>();

  /** Ids of jobs that have ended but have attempts not yet confirmed to have ended. */
  private final Set<String> endedWithOpenAttempts = new HashSet<>();

  private final Map<String, ObjectNode> shared = new TreeMap<>();

  /**
   * @param since modification revision; keys with a higher one are newer than the snapshot, the
   *     others are older
   */
  public BaseSnapshot(ClusterSnapshot snapshot, long since) {
    this.complete = snapshot.getComplete();
    this.jobsMissing = snapshot.getJobsMissing();
    this.takenAtMs = snapshot.getWallMs();
    this.since = since;
    for (JobSnapshot job : snapshot.getJobList()) {
      jobs.put(job.getRef(), job.toByteArray());
      if (job.hasEnd()) {
        endedWithOpenAttempts.add(job.getRef());
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

  /** False if tasks may be running that neither the snapshot nor the store's keys contain. */
  public boolean complete() {
    return complete;
  }

  /** Whether jobs may have been accepted before this incarnation that it does not contain. */
  public boolean jobsMissing() {
    return jobsMissing;
  }

  /** Wall-clock time at which the snapshot was taken, in milliseconds since the Unix epoch. */
  public long takenAtMs() {
    return takenAtMs;
  }

  /**
   * Modification revision; keys with this one or a lower one are older than the snapshot. 0 if the
   * incarnation began without a snapshot.
   */
  public long sinceRevision() {
    return since;
  }

  /** Whether it contains a job, which therefore must not be accepted again as a new one. */
  public boolean containsJob(String ref) {
    return jobs.containsKey(ref) || endedJobs.containsKey(ref);
  }

  /** Whether it contains the end of a job, with or without open attempts. */
  public boolean containsEnd(String ref) {
    return endedJobs.containsKey(ref) || endedWithOpenAttempts.contains(ref);
  }

  /** The end of a job that is reduced to its end; null if the snapshot has no such job. */
  public ClusterState.EndedJob endedJob(String ref) {
    return endedJobs.get(ref);
  }

  /** The ends of all jobs that are reduced to their end, by id. */
  public Map<String, ClusterState.EndedJob> endedJobs() {
    return endedJobs;
  }

  /**
   * Overlays the store's entries under a prefix on this snapshot.
   *
   * @param stored all entries that the store holds under the prefix
   * @return the combined entries; those that only the snapshot contains have modification revision
   *     0
   */
  public WatchEvents overlay(String prefix, WatchEvents stored) {
    if (jobs.isEmpty() && endedJobs.isEmpty()) {
      return stored;
    }
    Map<String, VersionedEntry> entries = new LinkedHashMap<>();
    for (byte[] job : jobs.values()) {
      addEntries(job, prefix, entries);
    }
    stored.events().forEach(entry -> overlayEntry(entry, entries));
    return new WatchEvents(stored.revision(), List.copyOf(entries.values()));
  }

  /**
   * Overlays the store's shared state entries on those of this snapshot: of each, the value with
   * the higher version is used, with the modification revision of the store's key; 0 if the store
   * has no such key.
   */
  public List<VersionedEntry> overlayShared(WatchEvents stored) {
    Map<String, VersionedEntry> entries = new TreeMap<>();
    shared.forEach(
        (name, value) ->
            entries.put(
                JobProgressCodec.SHARED_STATE_PREFIX + name,
                new VersionedEntry(JobProgressCodec.SHARED_STATE_PREFIX + name, value, 0)));
    for (VersionedEntry entry : stored.events()) {
      if (entry.present()) {
        VersionedEntry snapshotEntry = entries.get(entry.key());
        entries.put(
            entry.key(),
            snapshotEntry == null
                ? entry
                : new VersionedEntry(
                    entry.key(),
                    Versions.later(snapshotEntry.value(), entry.value()),
                    entry.modRevision()));
      }
    }
    return List.copyOf(entries.values());
  }

  /**
   * Overlays the store's entries of one job under a prefix on this snapshot.
   *
   * @param ref id of the job
   * @param stored all entries of the job that the store holds under the prefix
   * @return the combined entries; those that only the snapshot contains have modification revision
   *     0
   */
  public List<VersionedEntry> overlay(String ref, String prefix, List<VersionedEntry> stored) {
    Map<String, VersionedEntry> entries = new LinkedHashMap<>();
    if (jobs.containsKey(ref)) {
      addEntries(jobs.get(ref), prefix, entries);
    }
    stored.forEach(entry -> overlayEntry(entry, entries));
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
      throw new MalformedInputException("base snapshot: unreadable job: " + e.getMessage());
    }
  }

  private void overlayEntry(VersionedEntry entry, Map<String, VersionedEntry> entries) {
    String ref = entry.key().split("/", -1)[1];
    if (endedJobs.containsKey(ref)) {
      return;
    }
    if (!jobs.containsKey(ref) || entry.modRevision() > since) {
      entries.put(entry.key(), entry);
    } else if (entries.containsKey(entry.key())) {
      // The snapshot's value is newer, but the next write conditions on the key's revision.
      entries.put(
          entry.key(),
          new VersionedEntry(entry.key(), entries.get(entry.key()).value(), entry.modRevision()));
    }
  }
}
