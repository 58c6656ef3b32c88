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
 * Entries that a term hands to the next one: under {@code shared/} in the store, read before
 * anything is planned, and written by the leader alone with its key and each entry's own
 * modification revision as conditions. What is reported of an entry is only what the store is known
 * to hold: a change counts once its commit is answered. The outcome of a commit without an answer
 * is unknown, and the keys are read again before anything else is written.
 *
 * <p>Each value carries a version, higher than all before it; where two copies of the state differ,
 * the higher one counts ({@link Versions}). All writing together is bounded to a share of the
 * changes that the store takes.
 *
 * <p>Not thread-safe: it belongs to the event loop of one leader.
 */
public final class SharedState {
  private static final Logger LOG = LoggerFactory.getLogger(SharedState.class);

  /** Share of the changes that the store takes which shared state entries may use. */
  static final double MAX_WRITE_SHARE = 0.05;

  /** A commit uses the operations that a transaction may have, divided by this. */
  private static final int TXN_OPS_DIVISOR = 2;

  /** Bytes that an entry takes in a transaction beside its value and its keys. */
  private static final int BYTES_PER_ENTRY = 100;

  /** Shortest delay of a timer in seconds: changes of one event-loop iteration go together. */
  private static final double MIN_DELAY_S = 0.001;

  /** Failed requests are retried after a heartbeat interval divided by this. */
  private static final double RETRIES_PER_HEARTBEAT = 6;

  /** What the store holds; a modification revision of 0: only the incarnation's base holds it. */
  private record StoredEntry(ObjectNode value, long modRevision) {}

  /** A value to be written, and what is to run once the store holds it or a later one. */
  private record PendingChange(ObjectNode value, List<Runnable> durable) {}

  private final ControllerContext context;
  private final long leaderModRevision;
  private final int maxChanges;
  private final Runnable onDeposed;
  private final Map<String, StoredEntry> stored = new TreeMap<>();

  /** Changes that the store is not known to hold, the oldest first. */
  private final Map<String, PendingChange> pending = new LinkedHashMap<>();

  /** The highest version that any entry has. */
  private long version;

  private boolean commitInFlight;
  private boolean closed;

  /** When the next commit may be sent, in seconds of the monotonic clock. */
  private double nextCommitAt;

  private boolean timerArmed;
  private long changes;
  private long localVersion;

  /**
   * Creates the shared state of one term; {@link #load} comes before any other call.
   *
   * @param context clock, timers, store and settings
   * @param modRevision modification revision of the leader's key
   * @param firstVersion the version that is below all of this term and above all of former terms
   * @param onDeposed called when a commit fails on the leader's key
   */
  public SharedState(
      ControllerContext context, long modRevision, long firstVersion, Runnable onDeposed) {
    this.context = context;
    this.leaderModRevision = modRevision;
    this.version = firstVersion;
    this.maxChanges = Math.max(1, context.settings().minStoreLimits().txnOps() / TXN_OPS_DIVISOR);
    this.onDeposed = onDeposed;
  }

  /** Takes over what the store holds, with the base of its incarnation beneath it. */
  public void load(List<VersionedEntry> entries) {
    localVersion++;
    stored.clear();
    for (VersionedEntry entry : entries) {
      if (entry.present()) {
        stored.put(
            entry.key().substring(JobProgressCodec.SHARED.length()),
            new StoredEntry(entry.value(), entry.modRevision()));
        version = Math.max(version, Versions.of(entry.value()));
      }
    }
  }

  /** Ends all writing; answers that come later are ignored. */
  public void close() {
    closed = true;
  }

  /** What the store is known to hold of an entry; null if nothing. */
  public ObjectNode get(String name) {
    StoredEntry entry = stored.get(name);
    return entry == null ? null : entry.value;
  }

  /** A change that the store is not known to hold, though it may; null if there is none. */
  public ObjectNode inFlight(String name) {
    PendingChange change = pending.get(name);
    return change == null ? null : change.value;
  }

  /** The entries whose names begin with the prefix, as the store is known to hold them. */
  public Map<String, ObjectNode> all(String prefix) {
    Map<String, ObjectNode> matching = new TreeMap<>();
    stored.forEach(
        (name, entry) -> {
          if (name.startsWith(prefix)) {
            matching.put(name, entry.value);
          }
        });
    return matching;
  }

  /** All entries as they are to be, with the changes that are not stored yet; for snapshots. */
  public Map<String, ObjectNode> copy() {
    Map<String, ObjectNode> copy = all("");
    pending.forEach((name, change) -> copy.put(name, change.value));
    return copy;
  }

  /** Increases whenever what the store holds, or may hold, is known to have changed. */
  public long localVersion() {
    return localVersion;
  }

  /** How many changes this term has made. */
  public long changes() {
    return changes;
  }

  /** Whether there is a change of the entry that the store is not known to hold. */
  public boolean pending(String name) {
    return pending.containsKey(name);
  }

  /**
   * Has an entry written, in place of any earlier change that is still pending. A value that is no
   * longer wanted is written as an empty object: its version must outlive it.
   *
   * @param value the new value, which is copied
   * @param durable runs once the store is known to hold this value or a later one
   */
  public void put(String name, ObjectNode value, Runnable durable) {
    ObjectNode versioned = value.deepCopy();
    versioned.put(Versions.FIELD, ++version);
    PendingChange before = pending.remove(name);
    List<Runnable> all = before == null ? new ArrayList<>() : before.durable;
    all.add(durable);
    localVersion++;
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
          String key = JobProgressCodec.SHARED + name;
          transaction.when(key, entry == null ? 0 : entry.modRevision).write(key, change.value);
        });
    commitInFlight = true;
    context
        .store()
        .commit(transaction, RequestPriority.NORMAL)
        .onSuccess(result -> committed(result, batch))
        .onFailure(failure -> commitFailed(failure, batch));
  }

  /** The oldest changes, as many as fit one transaction. */
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
    changes += batch.size();
    double changesPerS = MAX_WRITE_SHARE * context.settings().minStoreLimits().writeRps();
    nextCommitAt = context.clock().now() + batch.size() / changesPerS;
    batch.forEach(
        (name, change) -> stored.put(name, new StoredEntry(change.value, result.revision())));
    commitInFlight = false;
    settlePending();
    armTimer();
  }

  private void commitFailed(Throwable failure, Map<String, PendingChange> batch) {
    if (closed) {
      return;
    }
    LOG.info("shared state entries {} were not written: {}", batch.keySet(), failure.getMessage());
    if (StoreException.kindOf(failure) == StoreException.Kind.MALFORMED) {
      // An entry that the store rejects must not block the others; what the store holds of it
      // stays true.
      LOG.error("the store rejects the shared state entries {}", batch.keySet());
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
   * Reads all entries again. The last commit may have been applied, or be applied yet: with the
   * modification revisions that are read now as conditions, it fails from then on.
   */
  private void reread() {
    context
        .store()
        .list(JobProgressCodec.SHARED)
        .onSuccess(
            read -> {
              if (!closed) {
                loadAgain(read.events());
              }
            })
        .onFailure(failure -> retryLater(this::reread));
  }

  private void loadAgain(List<VersionedEntry> entries) {
    Map<String, StoredEntry> before = new TreeMap<>(stored);
    load(entries);
    // What only the incarnation's base holds is under none of the store's keys.
    before.forEach(
        (name, entry) -> {
          if (entry.modRevision == 0) {
            stored.putIfAbsent(name, entry);
          }
        });
    settlePending();
    commitInFlight = false;
    armTimer();
  }

  /** Removes the changes that the store holds, or has a later version of, and reports them. */
  private void settlePending() {
    localVersion++;
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
