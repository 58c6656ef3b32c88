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
  public BaseSnapshot(ClusterSnapshot copy, long since) {
    this.complete = copy.getComplete();
    this.since = since;
    for (JobSnapshot j : copy.getJobList()) {
      jobs.put(j.getRef(), j.toByteArray());
    }
    for (EndedJobSnapshot e : copy.getEndedList()) {
      ended.put(e.getRef(), StateSnapshot.ended(e));
    }
    copy.getSharedList()
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
  public WatchEvents beneath(String prefix, WatchEvents stored) {
    if (jobs.isEmpty() && ended.isEmpty()) {
      return stored;
    }
    Map<String, VersionedEntry> out = new LinkedHashMap<>();
    for (byte[] job : jobs.values()) {
      lay(job, prefix, out);
    }
    stored.events().forEach(entry -> over(entry, out));
    return new WatchEvents(stored.revision(), List.copyOf(out.values()));
  }

  /**
   * The store's shared facts with what stands beneath them: of each the later value, under the
   * modification revision that the store has.
   */
  public List<VersionedEntry> beneathShared(WatchEvents stored) {
    Map<String, VersionedEntry> out = new TreeMap<>();
    shared.forEach(
        (name, value) ->
            out.put(
                JobProgressCodec.SHARED + name,
                new VersionedEntry(JobProgressCodec.SHARED + name, value, 0)));
    for (VersionedEntry entry : stored.events()) {
      if (entry.present()) {
        VersionedEntry below = out.get(entry.key());
        out.put(
            entry.key(),
            below == null
                ? entry
                : new VersionedEntry(
                    entry.key(),
                    Versions.later(below.value(), entry.value()),
                    entry.modRevision()));
      }
    }
    return List.copyOf(out.values());
  }

  /** The same of one job. */
  public List<VersionedEntry> beneath(String ref, String prefix, List<VersionedEntry> stored) {
    Map<String, VersionedEntry> out = new LinkedHashMap<>();
    if (jobs.containsKey(ref)) {
      lay(jobs.get(ref), prefix, out);
    }
    stored.forEach(entry -> over(entry, out));
    return List.copyOf(out.values());
  }

  private static void lay(byte[] job, String prefix, Map<String, VersionedEntry> out) {
    try {
      for (VersionedEntry entry : StateSnapshot.entries(JobSnapshot.parseFrom(job))) {
        if (entry.key().startsWith(prefix)) {
          out.put(entry.key(), entry);
        }
      }
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedInputException("a job of the base: " + e.getMessage());
    }
  }

  private void over(VersionedEntry entry, Map<String, VersionedEntry> out) {
    String ref = entry.key().split("/")[1];
    if (ended.containsKey(ref)) {
      return;
    }
    if (!jobs.containsKey(ref) || entry.modRevision() > since) {
      out.put(entry.key(), entry);
    } else if (out.containsKey(entry.key())) {
      // Older than the base, but whoever writes it next conditions on its modification revision.
      out.put(
          entry.key(),
          new VersionedEntry(entry.key(), out.get(entry.key()).value(), entry.modRevision()));
    }
  }
}
