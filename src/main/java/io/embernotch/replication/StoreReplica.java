package io.embernotch.replication;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.EndedJobSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.JobSnapshot;
import io.embernotch.state.ClusterState.EndedJob;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An in-memory replica of the store's jobs and shared state within one store incarnation: the
 * newest known entry of each key. Entries may arrive in any order and more than once; the one with
 * the highest modification revision is kept. A job that has ended and has no open attempts is
 * reduced to its end. Owned by the controller's event loop.
 */
public final class StoreReplica {
  private static final Logger LOG = LoggerFactory.getLogger(StoreReplica.class);

  /** Estimated memory of an entry besides its key and its value. */
  private static final int ENTRY_OVERHEAD_BYTES = 120;

  /** Estimated memory of a job's end besides the job's id. */
  private static final int END_OVERHEAD_BYTES = 160;

  /** An entry with its value as JSON text: smaller than if parsed, and rarely read. */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are never compared.
  private record SerializedEntry(byte[] value, long modRevision) {}

  private final long maxBytes;

  /** Entries of jobs, by the id of the job, then by key. */
  private final Map<String, Map<String, SerializedEntry>> jobs = new LinkedHashMap<>();

  /** Ends of jobs that are reduced to their end, by id, in the order of addition. */
  private final Map<String, EndedJob> endedJobs = new LinkedHashMap<>();

  /** Shared state entries, by key. */
  private final Map<String, SerializedEntry> shared = new TreeMap<>();

  /** Ids of jobs that an entry says have ended, and that are not yet reduced to their end. */
  private final Set<String> endedJobsWithEntries = new LinkedHashSet<>();

  private boolean fillComplete = true;
  private BaseSnapshot baseSnapshot = BaseSnapshot.EMPTY;

  /**
   * Contents that another controller reported, used in place of {@link #baseSnapshot} while the
   * replica is being filled; null if there are none.
   */
  private BaseSnapshot provisionalBase;

  private long bytes;
  private boolean evicted;

  /**
   * Creates an empty replica.
   *
   * @param maxBytes approximate limit on the memory of the entries, in bytes; beyond it the oldest
   *     ends are evicted first, then the oldest jobs
   */
  public StoreReplica(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Removes all entries, for the entries of another incarnation.
   *
   * @param newBase snapshot that the other incarnation began with
   */
  public void reset(BaseSnapshot newBase) {
    jobs.clear();
    endedJobs.clear();
    shared.clear();
    baseSnapshot = newBase;
    provisionalBase = null;
    bytes = 0;
    evicted = false;
    endedJobsWithEntries.clear();
    fillComplete = true;
  }

  /** Called before all entries of the store are put. */
  public void beginFilling() {
    fillComplete = false;
  }

  /**
   * Sets contents that another controller reported as the base of the entries until the replica is
   * filled. With it, a shard can be used though the submission of its job was not put yet. Ignored
   * if the replica is filled already.
   */
  public void setProvisionalBase(BaseSnapshot reportedContents) {
    if (!fillComplete) {
      provisionalBase = reportedContents;
    }
  }

  /**
   * Reduces jobs to their ends while the replica is being filled. A job whose shards were not all
   * put yet may have an open attempt in one of them.
   *
   * @param isComplete whether all shards of the job with the given id were put
   */
  public void compactEndedJobs(Predicate<String> isComplete) {
    List<String> complete = endedJobsWithEntries.stream().filter(isComplete).toList();
    complete.forEach(this::compactIfEnded);
  }

  /** Called after all entries of the store were put. */
  public void finishFilling() {
    fillComplete = true;
    provisionalBase = null;
    compactEndedJobs(ref -> true);
  }

  /** Approximate memory of the entries, in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Whether anything was evicted since the last reset, to stay within the memory limit. */
  public boolean hasEvicted() {
    return evicted;
  }

  /** Adds an entry of the store; ignored if it is absent or its key is not replicated. */
  public void put(VersionedEntry entry) {
    if (entry.present() && isReplicated(entry.key())) {
      put(entry.key(), Json.bytes(entry.value()), entry.modRevision());
    }
  }

  /**
   * Adds an entry of the store; ignored if its key is not replicated.
   *
   * @param value JSON text of the value
   * @param modRevision modification revision of the key
   */
  public void put(String key, byte[] value, long modRevision) {
    if (key.startsWith(JobProgressCodec.SHARED_STATE_PREFIX)) {
      putIfNewer(shared, key, new SerializedEntry(value, modRevision));
    } else if (isReplicated(key)) {
      putJobEntry(refOf(key), key, new SerializedEntry(value, modRevision));
    }
    evictBeyondLimit();
  }

  /** Whether a key is replicated: those of jobs, their progress and shared state are. */
  static boolean isReplicated(String key) {
    return key.startsWith(JobProgressCodec.JOB_PREFIX)
        || key.startsWith(JobProgressCodec.SHARD)
        || key.startsWith(JobProgressCodec.REFINED_SHARD)
        || key.startsWith(JobProgressCodec.SHARED_STATE_PREFIX);
  }

  private static String refOf(String key) {
    return key.split("/", -1)[1];
  }

  private void putJobEntry(String ref, String key, SerializedEntry entry) {
    if (endedJobs.containsKey(ref) || baseSnapshot.endedJob(ref) != null) {
      return;
    }
    Map<String, SerializedEntry> entries = jobs.computeIfAbsent(ref, unknown -> new TreeMap<>());
    putIfNewer(entries, key, entry);
    if (isFirstShard(ref, key) && recordsEnd(entry)) {
      endedJobsWithEntries.add(ref);
    }
    if (fillComplete && endedJobsWithEntries.contains(ref)) {
      compactIfEnded(ref);
    }
  }

  /** Whether a key is that of the first shard, refined or not, which also holds the job's end. */
  private static boolean isFirstShard(String ref, String key) {
    return key.equals(JobProgressCodec.shardKey(ref, 0))
        || (key.startsWith(JobProgressCodec.REFINED_SHARD) && key.endsWith("/0"));
  }

  private static boolean recordsEnd(SerializedEntry entry) {
    try {
      return JobProgressCodec.readEnd(Json.parseObject(entry.value)) != null;
    } catch (MalformedInputException e) {
      return false;
    }
  }

  private void putIfNewer(Map<String, SerializedEntry> entries, String key, SerializedEntry entry) {
    SerializedEntry current = entries.get(key);
    if (current == null || current.modRevision < entry.modRevision) {
      entries.put(key, entry);
      bytes += sizeOf(key, entry) - (current == null ? 0 : sizeOf(key, current));
    }
  }

  /** Reduces a job to its end, if it has ended and has no open attempts. */
  private void compactIfEnded(String ref) {
    List<VersionedEntry> jobEntries = parseEntries(jobs.get(ref));
    StateSnapshot.endOf(
            baseSnapshot.overlay(
                ref,
                JobProgressCodec.JOB_PREFIX,
                withPrefix(JobProgressCodec.JOB_PREFIX, jobEntries)),
            baseSnapshot.overlay(
                ref, JobProgressCodec.SHARD, withPrefix(JobProgressCodec.SHARD, jobEntries)),
            baseSnapshot.overlay(
                ref,
                JobProgressCodec.REFINED_SHARD,
                withPrefix(JobProgressCodec.REFINED_SHARD, jobEntries)))
        .ifPresent(
            end -> {
              removeJob(ref);
              endedJobsWithEntries.remove(ref);
              endedJobs.put(ref, end);
              bytes += sizeOfEnd(ref);
            });
  }

  private void removeJob(String ref) {
    endedJobsWithEntries.remove(ref);
    jobs.remove(ref).forEach((key, entry) -> bytes -= sizeOf(key, entry));
  }

  private static long sizeOf(String key, SerializedEntry entry) {
    return ENTRY_OVERHEAD_BYTES + (long) key.length() + entry.value.length;
  }

  private static long sizeOfEnd(String ref) {
    return END_OVERHEAD_BYTES + (long) ref.length();
  }

  private void evictBeyondLimit() {
    while (bytes > maxBytes && !(endedJobs.isEmpty() && jobs.isEmpty())) {
      if (!evicted) {
        evicted = true;
        LOG.warn("the replica exceeds {} KiB: evicting the oldest ended jobs", maxBytes >> 10);
      }
      if (endedJobs.isEmpty()) {
        removeJob(jobs.keySet().iterator().next());
      } else {
        Iterator<String> oldest = endedJobs.keySet().iterator();
        bytes -= sizeOfEnd(oldest.next());
        oldest.remove();
      }
    }
  }

  /**
   * A snapshot of all entries, overlaid on the contents that another controller reported, or else
   * on the incarnation's base snapshot. It is marked as incomplete, since attempts may have been
   * started that are not replicated yet.
   */
  public ClusterSnapshot snapshot() {
    List<VersionedEntry> jobEntries = new ArrayList<>();
    jobs.values().forEach(entries -> jobEntries.addAll(parseEntries(entries)));
    List<VersionedEntry> sharedEntries = parseEntries(shared);
    ClusterSnapshot.Builder snapshot =
        StateSnapshot.of(
            provisionalBase == null ? baseSnapshot : provisionalBase,
            eventsWithPrefix(JobProgressCodec.JOB_PREFIX, jobEntries),
            eventsWithPrefix(JobProgressCodec.SHARD, jobEntries),
            eventsWithPrefix(JobProgressCodec.REFINED_SHARD, jobEntries),
            new WatchEvents(0, sharedEntries))
            .toBuilder();
    if (provisionalBase != null) {
      removeEndedJobs(snapshot);
    }
    endedJobs.forEach((ref, end) -> snapshot.addEnded(StateSnapshot.endedJob(ref, end)));
    return snapshot.build();
  }

  /** Removes jobs of the provisional base of which the replica holds the end. */
  private void removeEndedJobs(ClusterSnapshot.Builder snapshot) {
    List<JobSnapshot> jobsLeft =
        snapshot.getJobList().stream().filter(job -> !endedJobs.containsKey(job.getRef())).toList();
    List<EndedJobSnapshot> endsLeft =
        snapshot.getEndedList().stream()
            .filter(job -> !endedJobs.containsKey(job.getRef()))
            .toList();
    snapshot.clearJob().addAllJob(jobsLeft).clearEnded().addAllEnded(endsLeft);
  }

  private static WatchEvents eventsWithPrefix(String prefix, List<VersionedEntry> entries) {
    return new WatchEvents(0, withPrefix(prefix, entries));
  }

  private static List<VersionedEntry> withPrefix(String prefix, List<VersionedEntry> entries) {
    return entries.stream().filter(entry -> entry.key().startsWith(prefix)).toList();
  }

  /** Parses entries; leaves out unreadable ones, so that the others can still be restored. */
  private static List<VersionedEntry> parseEntries(Map<String, SerializedEntry> entries) {
    List<VersionedEntry> parsed = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          try {
            ObjectNode value = Json.parseObject(entry.value);
            parsed.add(new VersionedEntry(key, value, entry.modRevision()));
          } catch (MalformedInputException e) {
            LOG.warn("ignoring the unreadable value of {} in the replica: {}", key, e.getMessage());
          }
        });
    return parsed;
  }
}
