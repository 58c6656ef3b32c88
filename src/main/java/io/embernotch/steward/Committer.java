package io.embernotch.steward;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.codec.Json;
import io.embernotch.codec.RunCodec;
import io.embernotch.model.Job;
import io.embernotch.settings.Settings;
import io.embernotch.store.Commit;
import io.embernotch.store.Entry;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreFailure;
import io.embernotch.store.Txn;
import java.util.ArrayList;
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
    double due;
    List<Runnable> waiters = new ArrayList<>();

    Dirty(Job job, int piece, double due) {
      this.job = job;
      this.piece = piece;
      this.due = due;
    }
  }

  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final long epoch;
  private final int maxChanges;
  private final double lazyS;
  private final double retryS;
  private final int pieceSize;
  private final Runnable deposed;
  private final Map<String, Long> stamps = new HashMap<>();
  private final Map<String, Integer> pieceSizes = new HashMap<>();
  private final Map<String, Dirty> dirty = new LinkedHashMap<>();
  private Map<String, Dirty> inFlight = Map.of();
  private boolean busy;
  private boolean closed;
  private boolean armed;
  private double armedFor;

  Committer(Settings settings, StoreClient store, Clock clock, Timers timers, long epoch, Runnable deposed) {
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.epoch = epoch;
    this.maxChanges = settings.stateLimits().txnOps();
    this.lazyS = settings.workers().reportS() / 3;
    this.retryS = settings.workers().reportS() / 15;
    this.pieceSize = RunCodec.piece(settings.stateLimits().valueKb());
    this.deposed = deposed;
  }

  void close() {
    closed = true;
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
    return dirty.values().stream().anyMatch(d -> d.job == job)
        || inFlight.values().stream().anyMatch(d -> d.job == job);
  }

  /** The piece with {@code task} has changed; it may wait a little for company. */
  void later(Job job, int task) {
    mark(job, task, clock.now() + lazyS, null);
  }

  /** The piece with {@code task} has changed; {@code durable} runs once that is committed. */
  void now(Job job, int task, Runnable durable) {
    mark(job, task, clock.now(), durable);
  }

  private void mark(Job job, int task, double due, Runnable durable) {
    int piece = task / pieceSize(job);
    Dirty d = dirty.computeIfAbsent(RunCodec.key(job.spec.ref(), piece), k -> new Dirty(job, piece, due));
    d.due = Math.min(d.due, due);
    if (durable != null) {
      d.waiters.add(durable);
    }
    arm(d.due);
  }

  private void arm(double at) {
    if (busy || closed || (armed && armedFor <= at)) {
      return;
    }
    armed = true;
    armedFor = at;
    timers.after(Math.max(0.001, at - clock.now()), () -> {
      if (armedFor == at) {
        armed = false;
        pump();
      }
    });
  }

  private void pump() {
    if (busy || closed || dirty.isEmpty()) {
      return;
    }
    double now = clock.now();
    double earliest = dirty.values().stream().mapToDouble(d -> d.due).min().orElse(now);
    if (earliest > now + 0.002) {
      arm(earliest);
      return;
    }
    List<Map.Entry<String, Dirty>> order = new ArrayList<>(dirty.entrySet());
    order.sort((a, b) -> Double.compare(a.getValue().due, b.getValue().due));
    Txn txn = new Txn().when(Election.KEY, epoch);
    Map<String, Dirty> batch = new LinkedHashMap<>();
    int bytes = 0;
    for (Map.Entry<String, Dirty> e : order) {
      if (batch.size() >= maxChanges) {
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
    batch.keySet().forEach(dirty::remove);
    inFlight = batch;
    busy = true;
    store
        .commit(txn)
        .onSuccess(c -> answered(c, batch))
        .onFailure(e -> unanswered(e, batch));
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
        d.waiters.forEach(Runnable::run);
      }
      rearm();
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
        rearm();
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
            newer.due = Math.min(newer.due, d.due);
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
      rearm();
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

  private void rearm() {
    armed = false;
    dirty.values().stream().mapToDouble(d -> d.due).min().ifPresent(this::arm);
  }
}
