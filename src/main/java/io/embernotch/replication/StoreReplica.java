package io.embernotch.replication;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The newest known entry of each key that the store holds of jobs and shared state, within one
 * store incarnation. Entries may come in any order and more than once: that of the highest
 * modification revision stays. Of a job that has ended, with no attempt open, only its end is kept.
 * Owned by the controller's event loop.
 */
public final class StoreReplica {
  private static final Logger LOG = LoggerFactory.getLogger(StoreReplica.class);

  /** Bytes that an entry takes besides its key and its value. */
  private static final int ENTRY_OVERHEAD = 120;

  /** Bytes that the end of a job takes besides its reference. */
  private static final int END_OVERHEAD = 160;

  /** A value as JSON: it is smaller than parsed, and seldom needed. */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are never compared.
  private record HeldEntry(byte[] value, long modRevision) {}

  private final long maxBytes;

  /** By the id of the job, then by key. */
  private final Map<String, Map<String, HeldEntry>> jobs = new LinkedHashMap<>();

  /** By the id of the job, in the order in which they became known. */
  private final Map<String, EndedJob> ended = new LinkedHashMap<>();

  private final Map<String, HeldEntry> shared = new TreeMap<>();

  /** Jobs of which an entry states the end, and that are held whole. */
  private final Set<String> endsTold = new LinkedHashSet<>();

  private boolean filled = true;
  private BaseSnapshot base = BaseSnapshot.EMPTY;

  /** Told by another controller, in place of what is not put yet; null if there is none. */
  private BaseSnapshot told;

  private long bytes;
  private boolean evicted;

  /**
   * An empty replica.
   *
   * @param maxBytes about so many bytes are held at most; the oldest ends are given up first, then
   *     the oldest jobs
   */
  public StoreReplica(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Forgets everything: entries of another incarnation follow, which began with this snapshot. */
  public void reset(BaseSnapshot newBase) {
    jobs.clear();
    ended.clear();
    shared.clear();
    base = newBase;
    told = null;
    bytes = 0;
    evicted = false;
    endsTold.clear();
    filled = true;
  }

  /** All that the store holds is about to be put. */
  public void beginFilling() {
    filled = false;
  }

  /**
   * What another controller has told of the store's contents: it lies beneath the entries until all
   * is put, so that a shard is of use though its job was not put yet.
   */
  public void putBeneath(BaseSnapshot toldContents) {
    if (!filled) {
      told = toldContents;
    }
  }

  /**
   * All that the store held was put. Only from then on are jobs reduced to their ends: before, a
   * shard with an open attempt may not have been read yet.
   */
  public void filled() {
    filled = true;
    told = null;
    List.copyOf(endsTold).forEach(this::keepOnlyEnd);
  }

  /** About so many bytes are held. */
  public long bytes() {
    return bytes;
  }

  /** Whether something had to be given up, to stay within the bound on memory. */
  public boolean hasEvicted() {
    return evicted;
  }

  /** Takes an entry, if its key is one of those that are held. */
  public void put(VersionedEntry entry) {
    if (entry.present() && holds(entry.key())) {
      put(entry.key(), Json.bytes(entry.value()), entry.modRevision());
    }
  }

  /** Takes the value of a key, as JSON, that was written at this modification revision. */
  public void put(String key, byte[] value, long modRevision) {
    if (key.startsWith(JobProgressCodec.SHARED)) {
      putNewer(shared, key, new HeldEntry(value, modRevision));
    } else if (holds(key)) {
      putOfJob(refOf(key), key, new HeldEntry(value, modRevision));
    }
    evictBeyondLimit();
  }

  /** Whether entries of this key belong into the replica. */
  static boolean holds(String key) {
    return key.startsWith(JobProgressCodec.JOB)
        || key.startsWith(JobProgressCodec.SHARD)
        || key.startsWith(JobProgressCodec.REFINED_SHARD)
        || key.startsWith(JobProgressCodec.SHARED);
  }

  private static String refOf(String key) {
    return key.split("/", -1)[1];
  }

  private void putOfJob(String ref, String key, HeldEntry entry) {
    if (ended.containsKey(ref) || base.ended(ref) != null) {
      return;
    }
    Map<String, HeldEntry> entries = jobs.computeIfAbsent(ref, unknown -> new TreeMap<>());
    putNewer(entries, key, entry);
    if (isFirstShard(ref, key) && tellsEnd(entry)) {
      endsTold.add(ref);
    }
    if (filled && endsTold.contains(ref)) {
      keepOnlyEnd(ref);
    }
  }

  /** The first shard, refined or not, holds the job's end too. */
  private static boolean isFirstShard(String ref, String key) {
    return key.equals(JobProgressCodec.shardKey(ref, 0))
        || (key.startsWith(JobProgressCodec.REFINED_SHARD) && key.endsWith("/0"));
  }

  private static boolean tellsEnd(HeldEntry entry) {
    try {
      return JobProgressCodec.readEnd(Json.parseObject(entry.value)) != null;
    } catch (MalformedInputException e) {
      return false;
    }
  }

  private void putNewer(Map<String, HeldEntry> entries, String key, HeldEntry entry) {
    HeldEntry held = entries.get(key);
    if (held == null || held.modRevision < entry.modRevision) {
      entries.put(key, entry);
      bytes += sizeOf(key, entry) - (held == null ? 0 : sizeOf(key, held));
    }
  }

  /** Of a job that has ended, and has no attempt open, nothing but its end is needed. */
  private void keepOnlyEnd(String ref) {
    List<VersionedEntry> held = versioned(jobs.get(ref));
    StateSnapshot.endOf(
            base.overlay(ref, JobProgressCodec.JOB, under(JobProgressCodec.JOB, held)),
            base.overlay(ref, JobProgressCodec.SHARD, under(JobProgressCodec.SHARD, held)),
            base.overlay(
                ref, JobProgressCodec.REFINED_SHARD, under(JobProgressCodec.REFINED_SHARD, held)))
        .ifPresent(
            end -> {
              removeJob(ref);
              endsTold.remove(ref);
              ended.put(ref, end);
              bytes += sizeOfEnd(ref);
            });
  }

  private void removeJob(String ref) {
    endsTold.remove(ref);
    jobs.remove(ref).forEach((key, entry) -> bytes -= sizeOf(key, entry));
  }

  private static long sizeOf(String key, HeldEntry entry) {
    return ENTRY_OVERHEAD + (long) key.length() + entry.value.length;
  }

  private static long sizeOfEnd(String ref) {
    return END_OVERHEAD + (long) ref.length();
  }

  private void evictBeyondLimit() {
    while (bytes > maxBytes && !(ended.isEmpty() && jobs.isEmpty())) {
      if (!evicted) {
        evicted = true;
        LOG.warn("the replica exceeds {} KiB: the oldest ends are given up", maxBytes >> 10);
      }
      if (ended.isEmpty()) {
        removeJob(jobs.keySet().iterator().next());
      } else {
        Iterator<String> oldest = ended.keySet().iterator();
        bytes -= sizeOfEnd(oldest.next());
        oldest.remove();
      }
    }
  }

  /**
   * All that is held, laid over what another controller has told or else the snapshot that the
   * incarnation began with. Starts that were sent may be missing from it, so it is not complete.
   */
  public ClusterSnapshot snapshot() {
    List<VersionedEntry> held = new ArrayList<>();
    jobs.values().forEach(entries -> held.addAll(versioned(entries)));
    List<VersionedEntry> heldShared = versioned(shared);
    ClusterSnapshot.Builder snapshot =
        StateSnapshot.of(
            told == null ? base : told,
            events(JobProgressCodec.JOB, held),
            events(JobProgressCodec.SHARD, held),
            events(JobProgressCodec.REFINED_SHARD, held),
            new WatchEvents(0, heldShared))
            .toBuilder();
    ended.forEach((ref, end) -> snapshot.addEnded(StateSnapshot.endedJob(ref, end)));
    return snapshot.build();
  }

  private static WatchEvents events(String prefix, List<VersionedEntry> held) {
    return new WatchEvents(0, under(prefix, held));
  }

  private static List<VersionedEntry> under(String prefix, List<VersionedEntry> held) {
    return held.stream().filter(entry -> entry.key().startsWith(prefix)).toList();
  }

  /** Entries as the store would list them; one that can't be read must not keep the others back. */
  private static List<VersionedEntry> versioned(Map<String, HeldEntry> entries) {
    List<VersionedEntry> versioned = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          try {
            ObjectNode value = Json.parseObject(entry.value);
            versioned.add(new VersionedEntry(key, value, entry.modRevision()));
          } catch (MalformedInputException e) {
            LOG.warn("the replica's value of {} can't be read: {}", key, e.getMessage());
          }
        });
    return versioned;
  }
}
