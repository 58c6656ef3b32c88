package io.embernotch.shared;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.Versions;
import io.embernotch.context.ControllerContext;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreException;
import io.embernotch.store.Transaction;
import io.embernotch.store.TransactionResult;
import io.embernotch.store.VersionedEntry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Entries under {@code shared/} in the store that pass state from one leader's term to the next. A
 * new leader reads them before it plans. Only the leader writes them, on condition of the
 * modification revisions of its leader key and of each entry. {@link #get} and {@link
 * #storedValues} return only values that the store is known to hold: a change appears there once
 * its commit is answered. The outcome of a commit without an answer is unknown; the entries are
 * then read again before the next write.
 *
 * <p>Each value has a version that is higher than all earlier ones; if two copies of the state
 * differ, the higher version wins ({@link Versions}). The rate of changes is limited to a share of
 * the store's write limit.
 *
 * <p>Not thread-safe: confined to the leader's event loop.
 */
public final class SharedState {
  private static final Logger LOG = LoggerFactory.getLogger(SharedState.class);

  /** Share of the store's write limit that shared state entries may use. */
  static final double MAX_WRITE_SHARE = 0.05;

  /** A commit has at most the store's limit of operations per transaction divided by this. */
  private static final int TXN_OPS_DIVISOR = 2;

  /** Bytes of an entry in a transaction besides its value and its two copies of the key. */
  private static final int BYTES_PER_ENTRY = 100;

  /** Shortest timer delay in seconds; batches the changes of one event-loop iteration. */
  private static final double MIN_DELAY_S = 0.001;

  /** Failed requests are retried after a heartbeat interval divided by this. */
  private static final double RETRIES_PER_HEARTBEAT = 6;

  /** A stored value; modification revision 0 if only the incarnation's base snapshot holds it. */
  private record StoredEntry(ObjectNode value, long modRevision) {}

  /** A value to write, and the actions to run once the store holds it or a later version. */
  private record PendingChange(ObjectNode value, List<Runnable> durable) {}

  private final ControllerContext context;
  private final long leaderModRevision;
  private final int maxChanges;
  private final Runnable onDeposed;
  private final Map<String, StoredEntry> stored = new TreeMap<>();

  /** Changes that the store is not known to hold, oldest first. */
  private final Map<String, PendingChange> pending = new LinkedHashMap<>();

  /** The highest version of any entry. */
  private long version;

  private boolean commitInFlight;
  private boolean closed;

  /** Earliest time of the next commit, in seconds of the monotonic clock. */
  private double nextCommitAt;

  private boolean timerArmed;
  private long committedChanges;
  private long changeCounter;

  /**
   * Creates the shared state of one term. Callers must call {@link #load} before any other method.
   *
   * @param context clock, timers, store and settings
   * @param leaderModRevision modification revision of the leader's key
   * @param firstVersion a version above those of former terms; this term's versions are higher
   * @param onDeposed called if a commit fails because the leader's key has changed
   */
  public SharedState(
      ControllerContext context, long leaderModRevision, long firstVersion, Runnable onDeposed) {
    this.context = context;
    this.leaderModRevision = leaderModRevision;
    this.version = firstVersion;
    this.maxChanges = Math.max(1, context.settings().minStoreLimits().txnOps() / TXN_OPS_DIVISOR);
    this.onDeposed = onDeposed;
  }

  /**
   * Replaces the known stored values.
   *
   * @param entries the store's entries; one with modification revision 0 is from the incarnation's
   *     base snapshot
   */
  public void load(List<VersionedEntry> entries) {
    changeCounter++;
    stored.clear();
    for (VersionedEntry entry : entries) {
      if (entry.present()) {
        stored.put(
            entry.key().substring(JobProgressCodec.SHARED_STATE_PREFIX.length()),
            new StoredEntry(entry.value(), entry.modRevision()));
        version = Math.max(version, Versions.of(entry.value()));
      }
    }
  }

  /** Stops all writing; later answers are ignored. */
  public void close() {
    closed = true;
  }

  /** Returns the value that the store is known to hold; null if there is none. */
  public ObjectNode get(String name) {
    StoredEntry entry = stored.get(name);
    return entry == null ? null : entry.value;
  }

  /** Returns the new value of a pending change, which the store may hold; null if there is none. */
  public ObjectNode pendingValue(String name) {
    PendingChange change = pending.get(name);
    return change == null ? null : change.value;
  }

  /** Returns the values that the store is known to hold, by name, of names with this prefix. */
  public Map<String, ObjectNode> storedValues(String prefix) {
    Map<String, ObjectNode> matching = new TreeMap<>();
    stored.forEach(
        (name, entry) -> {
          if (name.startsWith(prefix)) {
            matching.put(name, entry.value);
          }
        });
    return matching;
  }

  /** Returns all entries by name, including the pending changes; used for snapshots. */
  public Map<String, ObjectNode> copyWithPendingChanges() {
    Map<String, ObjectNode> copy = storedValues("");
    pending.forEach((name, change) -> copy.put(name, change.value));
    return copy;
  }

  /** A counter that increases whenever the stored values or the pending changes change. */
  public long changeCounter() {
    return changeCounter;
  }

  /** Number of changes committed in this term. */
  public long committedChanges() {
    return committedChanges;
  }

  /** Whether the entry has a pending change, which the store is not known to hold. */
  public boolean hasPendingChange(String name) {
    return pending.containsKey(name);
  }

  /**
   * Schedules a write of an entry, replacing an earlier pending change. To remove an entry, write
   * an empty object: the entry's version must be kept.
   *
   * @param value the new value; copied
   * @param onDurable runs once the store is known to hold this value or a later version
   */
  public void put(String name, ObjectNode value, Runnable onDurable) {
    ObjectNode versioned = value.deepCopy();
    versioned.put(Versions.FIELD, ++version);
    PendingChange before = pending.remove(name);
    List<Runnable> all = before == null ? new ArrayList<>() : before.durable;
    all.add(onDurable);
    changeCounter++;
    pending.put(name, new PendingChange(versioned, all));
    armTimer();
  }

  private void armTimer() {
    if (timerArmed || commitInFlight || closed || pending.isEmpty()) {
      return;
    }
    timerArmed = true;
    context
        .timers()
        .after(
            Math.max(MIN_DELAY_S, nextCommitAt - context.clock().now()),
            () -> {
              timerArmed = false;
              commit();
            });
  }

  private void commit() {
    if (commitInFlight || closed || pending.isEmpty()) {
      return;
    }
    Map<String, PendingChange> batch = nextBatch();
    Transaction transaction = new Transaction().when(JobProgressCodec.LEADER, leaderModRevision);
    batch.forEach(
        (name, change) -> {
          StoredEntry entry = stored.get(name);
          String key = JobProgressCodec.SHARED_STATE_PREFIX + name;
          transaction.when(key, entry == null ? 0 : entry.modRevision).write(key, change.value);
        });
    commitInFlight = true;
    context
        .store()
        .commit(transaction, RequestPriority.NORMAL)
        .onSuccess(result -> committed(result, batch))
        .onFailure(failure -> commitFailed(failure, batch));
  }

  /** Returns the oldest pending changes, as many as fit one transaction. */
  private Map<String, PendingChange> nextBatch() {
    Map<String, PendingChange> batch = new LinkedHashMap<>();
    int bytes = 0;
    for (Map.Entry<String, PendingChange> entry : pending.entrySet()) {
      bytes +=
          Json.bytes(entry.getValue().value).length + 2 * entry.getKey().length() + BYTES_PER_ENTRY;
      if (batch.size() >= maxChanges || (bytes > Transaction.MAX_BYTES && !batch.isEmpty())) {
        break;
      }
      batch.put(entry.getKey(), entry.getValue());
    }
    return batch;
  }

  private void committed(TransactionResult result, Map<String, PendingChange> batch) {
    if (closed) {
      return;
    }
    if (!result.applied()) {
      if (result.conflicts().contains(JobProgressCodec.LEADER)) {
        closed = true;
        onDeposed.run();
        return;
      }
      reread();
      return;
    }
    committedChanges += batch.size();
    double changesPerS = MAX_WRITE_SHARE * context.settings().minStoreLimits().writeRps();
    nextCommitAt = context.clock().now() + batch.size() / changesPerS;
    batch.forEach(
        (name, change) -> stored.put(name, new StoredEntry(change.value, result.revision())));
    commitInFlight = false;
    removeStoredChanges();
    armTimer();
  }

  private void commitFailed(Throwable failure, Map<String, PendingChange> batch) {
    if (closed) {
      return;
    }
    LOG.info("commit of shared state entries {} failed: {}", batch.keySet(), failure.getMessage());
    if (StoreException.kindOf(failure) == StoreException.Kind.MALFORMED) {
      // A rejected change must not block the others: drop it, the stored value stays in effect.
      LOG.error(
          "dropping changes of shared state entries {}: the store rejects them as malformed",
          batch.keySet());
      batch.forEach(pending::remove);
    }
    if (StoreException.kindOf(failure) == StoreException.Kind.UNKNOWN) {
      reread();
    } else {
      retryLater(
          () -> {
            commitInFlight = false;
            armTimer();
          });
    }
  }

  private void retryLater(Runnable action) {
    context
        .timers()
        .after(
            context.settings().workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT,
            () -> {
              if (!closed) {
                action.run();
              }
            });
  }

  /**
   * Reads all entries again. The last commit may have been applied or may be applied late; a later
   * commit, conditional on the modification revisions read here, makes a late one fail.
   */
  private void reread() {
    context
        .store()
        .list(JobProgressCodec.SHARED_STATE_PREFIX)
        .onSuccess(
            read -> {
              if (!closed) {
                reload(read.events());
              }
            })
        .onFailure(failure -> retryLater(this::reread));
  }

  private void reload(List<VersionedEntry> entries) {
    Map<String, StoredEntry> before = new TreeMap<>(stored);
    load(entries);
    // The listing doesn't contain entries that only the incarnation's base snapshot holds.
    before.forEach(
        (name, entry) -> {
          if (entry.modRevision == 0) {
            stored.putIfAbsent(name, entry);
          }
        });
    removeStoredChanges();
    commitInFlight = false;
    armTimer();
  }

  /**
   * Removes pending changes of which the store holds this or a later version; runs their actions.
   */
  private void removeStoredChanges() {
    changeCounter++;
    List<Runnable> durable = new ArrayList<>();
    pending
        .entrySet()
        .removeIf(
            change -> {
              boolean isStored = holds(stored.get(change.getKey()), change.getValue());
              if (isStored) {
                durable.addAll(change.getValue().durable);
              }
              return isStored;
            });
    durable.forEach(Runnable::run);
  }

  private static boolean holds(StoredEntry entry, PendingChange change) {
    return entry != null
        && entry.modRevision > 0
        && Versions.of(entry.value) >= Versions.of(change.value);
  }
}
