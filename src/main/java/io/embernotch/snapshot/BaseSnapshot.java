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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What an incarnation began with. It lies in the store as blocks and stands beneath its keys: a key
 * that was written in this incarnation is newer than the base, one that was left from before is
 * older. Of a job that the base says has ended nothing else counts.
 */
public final class BaseSnapshot {
  /** An incarnation that began with nothing. */
  public static final BaseSnapshot EMPTY =
      new BaseSnapshot(ClusterSnapshot.newBuilder().setComplete(true).build(), 0);

  private final boolean complete;
  private final long since;

  /** Packed: jobs that nobody asks for are never taken apart. */
  private final Map<String, byte[]> jobs = new LinkedHashMap<>();

  private final Map<String, ClusterState.EndedJob> ended = new HashMap<>();
  private final Map<String, ObjectNode> shared = new TreeMap<>();

  /**
   * @param since keys with a higher modification revision are newer than the copy
   */
  public BaseSnapshot(ClusterSnapshot snapshot, long since) {
    this.complete = snapshot.getComplete();
    this.since = since;
    for (JobSnapshot job : snapshot.getJobList()) {
      jobs.put(job.getRef(), job.toByteArray());
    }
    for (EndedJobSnapshot endedJob : snapshot.getEndedList()) {
      ended.put(endedJob.getRef(), StateSnapshot.ended(endedJob));
    }
    snapshot
        .getSharedList()
        .forEach(s -> shared.put(s.getName(), Json.parseObject(s.getValue().toByteArray())));
  }

  /** False if tasks may run of which neither it nor the keys left in the store know. */
  public boolean complete() {
    return complete;
  }

  /**
   * Keys of this modification revision or a lower one are older than the copy; 0 if there is none.
   */
  public long since() {
    return since;
  }

  /** It holds the job: it was accepted, and is not to be written as a new one. */
  public boolean has(String ref) {
    return jobs.containsKey(ref) || ended.containsKey(ref);
  }

  /** The end of a job of which nothing else is left; null if it is not such a one. */
  public ClusterState.EndedJob ended(String ref) {
    return ended.get(ref);
  }

  public Map<String, ClusterState.EndedJob> allEnded() {
    return ended;
  }

  /** The store's keys under a prefix, {@code stored}, with what stands beneath them. */
  public WatchEvents overlay(String prefix, WatchEvents stored) {
    if (jobs.isEmpty() && ended.isEmpty()) {
      return stored;
    }
    Map<String, VersionedEntry> entries = new LinkedHashMap<>();
    for (byte[] job : jobs.values()) {
      lay(job, prefix, entries);
    }
    stored.events().forEach(entry -> over(entry, entries));
    return new WatchEvents(stored.revision(), List.copyOf(entries.values()));
  }

  /**
   * The store's shared facts with what stands beneath them: of each the later value, under the
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

  /** The same of one job. */
  public List<VersionedEntry> overlay(String ref, String prefix, List<VersionedEntry> stored) {
    Map<String, VersionedEntry> entries = new LinkedHashMap<>();
    if (jobs.containsKey(ref)) {
      lay(jobs.get(ref), prefix, entries);
    }
    stored.forEach(entry -> over(entry, entries));
    return List.copyOf(entries.values());
  }

  private static void lay(byte[] job, String prefix, Map<String, VersionedEntry> entries) {
    try {
      for (VersionedEntry entry : StateSnapshot.entries(JobSnapshot.parseFrom(job))) {
        if (entry.key().startsWith(prefix)) {
          entries.put(entry.key(), entry);
        }
      }
    } catch (InvalidProtocolBufferException endedJob) {
      throw new MalformedInputException("a job of the base: " + endedJob.getMessage());
    }
  }

  private void over(VersionedEntry entry, Map<String, VersionedEntry> entries) {
    String ref = entry.key().split("/")[1];
    if (ended.containsKey(ref)) {
      return;
    }
    if (!jobs.containsKey(ref) || entry.modRevision() > since) {
      entries.put(entry.key(), entry);
    } else if (entries.containsKey(entry.key())) {
      // Older than the base, but whoever writes it next conditions on its modification revision.
      entries.put(
          entry.key(),
          new VersionedEntry(entry.key(), entries.get(entry.key()).value(), entry.modRevision()));
    }
  }
}
