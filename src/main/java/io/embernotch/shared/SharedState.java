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
 * Facts that a term hands to the next one: under {@code shared/} in the store, read before anything
 * is planned, written by the leader alone with its key and each fact's own modification revision as
 * conditions. What is told of a fact is only what the store is known to hold: a change counts once
 * its commit is answered. A commit without an answer is unknown, and the keys are read again before
 * anything else is written.
 *
 * <p>Each value carries a version {@code n}, higher than all before it; where two copies of the
 * state differ, the higher one counts ({@link Versions}). All writing together is bounded to a
 * share of the store's changes.
 */
public final class SharedState {
  private static final Logger LOG = LoggerFactory.getLogger(SharedState.class);

  /** Share of the changes that the store takes that facts may use. */
  static final double SHARE = 0.05;

  private record Fact(ObjectNode value, long modRevision) {}

  private record Change(ObjectNode value, List<Runnable> durable) {}

  private final ControllerContext context;
  private final long modRevision;
  private final long firstVersion;
  private final int mostChanges;
  private final Runnable deposed;
  private final Map<String, Fact> facts = new TreeMap<>();
  private final Map<String, Change> wanted = new LinkedHashMap<>();
  private long version;
  private boolean busy;
  private boolean closed;
  private double nextAt;
  private boolean armed;
  private long changes;
  private long edition;

  /**
   * @param modRevision of the leader's key
   * @param firstVersion of what this term writes: above those of all before it
   * @param deposed told when a commit fails on the leader's key
   */
  public SharedState(
      ControllerContext context, long modRevision, long firstVersion, Runnable deposed) {
    this.context = context;
    this.modRevision = modRevision;
    this.firstVersion = firstVersion;
    this.version = firstVersion;
    this.mostChanges = Math.max(1, context.settings().minStoreLimits().txnOps() / 2);
    this.deposed = deposed;
  }

  /** Takes what the store holds, the base of its incarnation beneath it. */
  public void load(List<VersionedEntry> entries) {
    edition++;
    facts.clear();
    for (VersionedEntry entry : entries) {
      if (entry.present()) {
        facts.put(
            entry.key().substring(JobProgressCodec.SHARED.length()),
            new Fact(entry.value(), entry.modRevision()));
        version = Math.max(version, Versions.of(entry.value()));
      }
    }
  }

  public void close() {
    closed = true;
  }

  /** What the store is known to hold of a fact; null if nothing. */
  public ObjectNode get(String name) {
    Fact f = facts.get(name);
    return f == null ? null : f.value;
  }

  /** What is on its way to the store of a fact; null if nothing is. It may be there already. */
  public ObjectNode underWay(String name) {
    Change c = wanted.get(name);
    return c == null ? null : c.value;
  }

  /** The facts whose names begin so, as the store is known to hold them. */
  public Map<String, ObjectNode> all(String prefix) {
    Map<String, ObjectNode> out = new TreeMap<>();
    facts.forEach(
        (name, f) -> {
          if (name.startsWith(prefix)) {
            out.put(name, f.value);
          }
        });
    return out;
  }

  /** Facts as they are to be: what is on its way to the store counts. For copies. */
  public Map<String, ObjectNode> copy() {
    Map<String, ObjectNode> out = all("");
    wanted.forEach((name, c) -> out.put(name, c.value));
    return out;
  }

  /** Changes whenever what the store holds, or may hold, is known to be another. */
  public long edition() {
    return edition;
  }

  /** How many changes were made. */
  public long changes() {
    return changes;
  }

  /** True while a change of the fact is not known to be in the store. */
  public boolean pending(String name) {
    return wanted.containsKey(name);
  }

  /**
   * Has a fact written, in place of what was wanted of it before; {@code durable} runs once the
   * store holds this value or a later one. A value that is no longer wanted is written as an empty
   * object: its version must outlive it.
   */
  public void put(String name, ObjectNode value, Runnable durable) {
    ObjectNode versioned = value.deepCopy();
    versioned.put(Versions.FIELD, ++version);
    Change before = wanted.remove(name);
    List<Runnable> all = before == null ? new ArrayList<>() : before.durable;
    all.add(durable);
    edition++;
    wanted.put(name, new Change(versioned, all));
    arm();
  }

  private void arm() {
    if (armed || busy || closed || wanted.isEmpty()) {
      return;
    }
    armed = true;
    context
        .timers()
        .after(
            Math.max(0.001, nextAt - context.clock().now()),
            () -> {
              armed = false;
              write();
            });
  }

  private void write() {
    if (busy || closed || wanted.isEmpty()) {
      return;
    }
    Transaction txn = new Transaction().when(JobProgressCodec.LEADER, modRevision);
    Map<String, Change> batch = new LinkedHashMap<>();
    int bytes = 0;
    for (Map.Entry<String, Change> e : wanted.entrySet()) {
      bytes += Json.bytes(e.getValue().value).length + 2 * e.getKey().length() + 100;
      if (batch.size() >= mostChanges || (bytes > Transaction.MAX_BYTES && !batch.isEmpty())) {
        break;
      }
      Fact f = facts.get(e.getKey());
      String key = JobProgressCodec.SHARED + e.getKey();
      txn.when(key, f == null ? 0 : f.modRevision).write(key, e.getValue().value);
      batch.put(e.getKey(), e.getValue());
    }
    busy = true;
    context
        .store()
        .commit(txn, RequestPriority.NORMAL)
        .onSuccess(result -> answered(result, batch))
        .onFailure(e -> unanswered(e, batch));
  }

  private void answered(TransactionResult commit, Map<String, Change> batch) {
    if (closed) {
      return;
    }
    if (!commit.applied()) {
      if (commit.conflicts().contains(JobProgressCodec.LEADER)) {
        closed = true;
        deposed.run();
        return;
      }
      reread();
      return;
    }
    changes += batch.size();
    double perS = SHARE * context.settings().minStoreLimits().writeRps();
    nextAt = context.clock().now() + batch.size() / perS;
    batch.forEach((name, c) -> facts.put(name, new Fact(c.value, commit.revision())));
    busy = false;
    settle();
    arm();
  }

  private void unanswered(Throwable e, Map<String, Change> batch) {
    if (closed) {
      return;
    }
    LOG.info("shared state entries {} were not written: {}", batch.keySet(), e.getMessage());
    if (StoreException.kindOf(e) == StoreException.Kind.MALFORMED) {
      // One that the store does not take must hold up no other; what the store holds of it stays
      // true.
      LOG.error("the store rejects the shared state entries {}", batch.keySet());
      batch.forEach(wanted::remove);
    }
    if (StoreException.kindOf(e) == StoreException.Kind.UNKNOWN) {
      reread();
    } else {
      later(
          () -> {
            busy = false;
            arm();
          });
    }
  }

  private void later(Runnable what) {
    context
        .timers()
        .after(
            context.settings().workers().heartbeatIntervalS() / 6,
            () -> {
              if (!closed) {
                what.run();
              }
            });
  }

  /**
   * The last commit may have been applied, or be applied yet: stamps that are read now make it fail
   * from then on.
   */
  private void reread() {
    context
        .store()
        .list(JobProgressCodec.SHARED)
        .onSuccess(
            read -> {
              if (closed) {
                return;
              }
              Map<String, Fact> base = new TreeMap<>(facts);
              load(read.events());
              // What stands beneath the store's keys in this incarnation is in none of them.
              base.forEach(
                  (name, f) -> {
                    if (f.modRevision == 0) {
                      facts.putIfAbsent(name, f);
                    }
                  });
              settle();
              busy = false;
              arm();
            })
        .onFailure(e -> later(this::reread));
  }

  /** Tells those whose value, or a later one, is in the store. */
  private void settle() {
    edition++;
    List<Runnable> durable = new ArrayList<>();
    wanted
        .entrySet()
        .removeIf(
            e -> {
              Fact f = facts.get(e.getKey());
              boolean there =
                  f != null
                      && f.modRevision > 0
                      && Versions.of(f.value) >= Versions.of(e.getValue().value);
              if (there) {
                durable.addAll(e.getValue().durable);
              }
              return there;
            });
    durable.forEach(Runnable::run);
  }
}
