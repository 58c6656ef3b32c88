package io.embernotch.steward;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Clock;
import io.embernotch.actor.Latencies;
import io.embernotch.actor.Timers;
import io.embernotch.codec.Json;
import io.embernotch.codec.RunCodec;
import io.embernotch.model.Job;
import io.embernotch.settings.Settings;
import io.embernotch.store.Commit;
import io.embernotch.store.Entry;
import io.embernotch.store.Pacer.Rank;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreFailure;
import io.embernotch.store.Txn;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the progress of jobs, one transaction at a time. Each write conditions on the steward's
 * key and on the piece's own stamp, so that neither a deposed steward's transaction nor a late one
 * of ours can be applied over a newer one. A transaction without an answer is unknown: its pieces
 * are read again before anything is written over them, and nobody is told of their success.
 */
final class Committer {
  private static final Logger LOG = LoggerFactory.getLogger(Committer.class);
  private static final int MAX_BYTES = 60 * 1024;

  /** A piece of a job that differs from what the store is known to hold. */
  private static final class Dirty {
    final Job job;
    final int piece;
    Rank rank;
    double due;
    /** When somebody first began to wait for it, below 0 if nobody does. */
    double awaitedSince = -1;
    List<Runnable> waiters = new ArrayList<>();

    Dirty(Job job, int piece, Rank rank, double due) {
      this.job = job;
      this.piece = piece;
      this.rank = rank;
      this.due = due;
    }

    void hurry(Rank to, double by) {
      rank = to.compareTo(rank) < 0 ? to : rank;
      due = Math.min(due, by);
    }
  }

  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final long epoch;
  private final int maxChanges;
  private final double lazyS;
  private final double overdueS;
  private final double retryS;
  private final int pieceSize;
  private final Runnable deposed;
  private final Map<String, Long> stamps = new HashMap<>();
  private final Map<String, Integer> pieceSizes = new HashMap<>();
  private final Map<String, Dirty> dirty = new LinkedHashMap<>();
  private Map<String, Dirty> inFlight = Map.of();
  private boolean busy;
  private boolean closed;
  private double armedFor = Double.MAX_VALUE;
  /** The most urgent rank for which a turn has been asked, or null. */
  private Rank asked;
  private long turns;
  private final Latencies latencies = new Latencies();
  private long transactions;
  private long changes;

  Committer(Settings settings, StoreClient store, Clock clock, Timers timers, long epoch, Runnable deposed) {
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.epoch = epoch;
    this.maxChanges = settings.stateLimits().txnOps();
    this.lazyS = settings.workers().reportS();
    this.overdueS = settings.workers().leaseS() / 2;
    this.retryS = settings.workers().reportS() / 15;
    this.pieceSize = RunCodec.piece(settings.stateLimits().valueKb());
    this.deposed = deposed;
  }

  void close() {
    closed = true;
    turns++;
  }

  /** Takes over what the store holds of a job's piece. */
  void know(String key, long stamp) {
    stamps.put(key, stamp);
  }

  /** The size of pieces is fixed when a job is accepted, so that new settings do not move tasks. */
  void knowPieceSize(String ref, int size) {
    pieceSizes.put(ref, size);
  }

  int pieceSize(Job job) {
    return pieceSizes.getOrDefault(job.spec.ref(), pieceSize);
  }

  boolean isDirty(Job job, int task) {
    String key = RunCodec.key(job.spec.ref(), task / pieceSize(job));
    return dirty.containsKey(key) || inFlight.containsKey(key);
  }

  boolean isDirty(Job job) {
    for (int task = 0; task < job.spec.tasks(); task += pieceSize(job)) {
      if (isDirty(job, task)) {
        return true;
      }
    }
    return false;
  }

  /** The piece with {@code task} has changed; it waits for company and for a quiet moment. */
  void later(Job job, int task) {
    mark(job, task, Rank.SPARE, clock.now() + lazyS, null);
  }

  /** The piece with {@code task} has changed; {@code durable} runs once that is committed. */
  void now(Job job, int task, Rank rank, Runnable durable) {
    mark(job, task, rank, clock.now(), durable);
  }

  /** From decision to commit, what was written since the last line, and what waits; null if nothing was. */
  String line() {
    String delays = latencies.line();
    if (delays == null) {
      return null;
    }
    String out = delays + "; " + changes + " changes in " + transactions + " transactions, " + dirty.size() + " wait";
    transactions = 0;
    changes = 0;
    return out;
  }

  private void mark(Job job, int task, Rank rank, double due, Runnable durable) {
    int piece = task / pieceSize(job);
    Dirty d = dirty.computeIfAbsent(RunCodec.key(job.spec.ref(), piece), k -> new Dirty(job, piece, rank, due));
    d.hurry(rank, due);
    if (durable != null) {
      d.waiters.add(durable);
      d.awaitedSince = d.awaitedSince < 0 ? clock.now() : d.awaitedSince;
    }
    arm(d);
  }

  private void arm(Dirty d) {
    if (busy || closed) {
      return;
    }
    double now = clock.now();
    if (d.due <= now + 0.001) {
      ask(d.rank);
    } else if (d.due < armedFor) {
      armedFor = d.due;
      timers.after(d.due - now, () -> {
        // Timers may fire a little early: what is due is looked at anew, and armed again if need be.
        armedFor = Double.MAX_VALUE;
        next();
      });
    }
  }

  /** Asks for a turn to write, as urgent as the most urgent of what is due. */
  private void next() {
    if (busy || closed) {
      return;
    }
    double now = clock.now();
    Dirty first = null;
    Dirty soonest = null;
    for (Dirty d : dirty.values()) {
      if (d.rank == Rank.SPARE && now - d.due > overdueS) {
        d.rank = Rank.USUAL;
      }
      if (d.due <= now + 0.001 && (first == null || d.rank.compareTo(first.rank) < 0)) {
        first = d;
      }
      if (soonest == null || d.due < soonest.due) {
        soonest = d;
      }
    }
    if (first != null) {
      ask(first.rank);
    } else if (soonest != null) {
      arm(soonest);
    }
  }

  private void ask(Rank rank) {
    if (asked != null && asked.compareTo(rank) <= 0) {
      return;
    }
    asked = rank;
    long turn = ++turns;
    // Under pressure a transaction waits to be worth its request, unless a live service needs it.
    int least = rank == Rank.FIRST ? 1 : Math.max(1, Math.min(dirty.size(), maxChanges / 4));
    store.turn(least, rank, () -> {
      int made = turn == turns && !busy && !closed ? write(least, rank) : 0;
      store.turnOver(least, made);
    });
  }

  /** Puts what is due into one transaction, most urgent first; tells how many changes it made. */
  private int write(int least, Rank rank) {
    asked = null;
    double now = clock.now();
    int most = (int) Math.min(maxChanges, least + Math.max(0, Math.floor(store.credit())));
    boolean spare = rank == Rank.SPARE || store.spare();
    List<Map.Entry<String, Dirty>> order = new ArrayList<>();
    for (Map.Entry<String, Dirty> e : dirty.entrySet()) {
      Dirty d = e.getValue();
      if (d.due <= now + 0.001 && (spare || d.rank != Rank.SPARE)) {
        order.add(e);
      }
    }
    order.sort(
        Comparator.comparing((Map.Entry<String, Dirty> e) -> e.getValue().rank)
            .thenComparingDouble(e -> e.getValue().due));
    Txn txn = new Txn().when(Election.KEY, epoch);
    Map<String, Dirty> batch = new LinkedHashMap<>();
    int bytes = 0;
    for (Map.Entry<String, Dirty> e : order) {
      if (batch.size() >= most) {
        break;
      }
      Dirty d = e.getValue();
      ObjectNode value = RunCodec.writeRun(d.job, pieceSize(d.job), d.piece);
      bytes += Json.bytes(value).length + 2 * e.getKey().length() + 100;
      if (bytes > MAX_BYTES && !batch.isEmpty()) {
        break;
      }
      txn.when(e.getKey(), stamps.getOrDefault(e.getKey(), 0L)).write(e.getKey(), value);
      batch.put(e.getKey(), d);
    }
    if (batch.isEmpty()) {
      next();
      return 0;
    }
    batch.keySet().forEach(dirty::remove);
    inFlight = batch;
    busy = true;
    transactions++;
    changes += batch.size();
    store
        .commitInTurn(txn, rank)
        .onSuccess(c -> answered(c, batch))
        .onFailure(e -> unanswered(e, batch));
    return batch.size();
  }

  private void answered(Commit commit, Map<String, Dirty> batch) {
    if (closed) {
      return;
    }
    if (commit.applied()) {
      batch.keySet().forEach(key -> stamps.put(key, commit.epoch()));
      inFlight = Map.of();
      busy = false;
      for (Dirty d : batch.values()) {
        if (d.awaitedSince >= 0) {
          latencies.record(d.rank == Rank.FIRST ? "urgent commit" : "commit", clock.now() - d.awaitedSince);
        }
        d.waiters.forEach(Runnable::run);
      }
      next();
      return;
    }
    if (commit.failed().contains(Election.KEY)) {
      closed = true;
      deposed.run();
      return;
    }
    LOG.info("commit failed on {}", commit.failed());
    reread(batch);
  }

  private void unanswered(Throwable e, Map<String, Dirty> batch) {
    if (closed) {
      return;
    }
    LOG.debug("commit of {} pieces: {}", batch.size(), e.getMessage());
    if (StoreFailure.kindOf(e) == StoreFailure.Kind.REFUSED) {
      putBack(batch);
      timers.after(retryS, () -> {
        busy = false;
        next();
      });
    } else {
      reread(batch);
    }
  }

  private void putBack(Map<String, Dirty> batch) {
    inFlight = Map.of();
    batch.forEach(
        (key, d) -> {
          Dirty newer = dirty.get(key);
          if (newer == null) {
            dirty.put(key, d);
          } else {
            newer.hurry(d.rank, d.due);
            newer.awaitedSince = d.awaitedSince >= 0 ? d.awaitedSince : newer.awaitedSince;
            List<Runnable> all = new ArrayList<>(d.waiters);
            all.addAll(newer.waiters);
            newer.waiters = all;
          }
        });
  }

  private void reread(Map<String, Dirty> batch) {
    rereadNext(new ArrayList<>(batch.keySet()), 0, batch);
  }

  private void rereadNext(List<String> keys, int i, Map<String, Dirty> batch) {
    if (closed) {
      return;
    }
    if (i == keys.size()) {
      putBack(batch);
      busy = false;
      next();
      return;
    }
    store
        .get(keys.get(i))
        .onSuccess(
            (Entry entry) -> {
              stamps.put(keys.get(i), entry.stamp());
              rereadNext(keys, i + 1, batch);
            })
        .onFailure(e -> timers.after(retryS, () -> rereadNext(keys, i, batch)));
  }
}
