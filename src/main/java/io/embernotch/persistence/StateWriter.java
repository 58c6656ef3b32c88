package io.embernotch.persistence;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.Clock;
import io.embernotch.actor.LatencyRecorder;
import io.embernotch.actor.Timers;
import io.embernotch.actor.EventLoopProfile;
import io.embernotch.codec.Json;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.model.Job;
import io.embernotch.persistence.DirtyShard.Waiter;
import io.embernotch.settings.Settings;
import io.embernotch.store.TransactionResult;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreException;
import io.embernotch.store.Transaction;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the progress of jobs, one transaction at a time. Each write conditions on the leader's
 * key and on the shard's own modification revision, so that neither a deposed leader's transaction nor a late one
 * of ours can be applied over a newer one. A transaction without an answer is unknown: its shards
 * are read again before anything is written over them, and nobody is told of their success.
 */
public final class StateWriter {
  private static final Logger LOG = LoggerFactory.getLogger(StateWriter.class);

  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final long modRevision;
  private final int maxChanges;
  private final double lazyS;
  private final double overdueS;
  private final double retryS;
  /** A value of so many bytes fits the store even once its limits are lowered. */
  private final int safeBytes;
  /** The store has refused what would have fitted its former limits. */
  private boolean lowered;
  private boolean saidSo;
  private final ShardLayout shardLayout;
  private final Runnable deposed;
  private final EventLoopProfile profile;
  private final Map<String, Long> modRevisions = new HashMap<>();
  private final Map<String, DirtyShard> dirty = new LinkedHashMap<>();
  private Map<String, DirtyShard> inFlight = Map.of();
  private boolean busy;
  private boolean closed;
  private double armedFor = Double.MAX_VALUE;
  /** The most urgent rank for which a turn has been asked, or null. */
  private RequestPriority asked;
  private long turns;
  private final LatencyRecorder latencies = new LatencyRecorder();
  private long transactions;
  private long changes;

  public StateWriter(
      Settings settings, ShardLayout shardLayout, StoreClient store, Clock clock, Timers timers, EventLoopProfile profile, long modRevision,
      Runnable deposed) {
    this.shardLayout = shardLayout;
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.profile = profile;
    this.modRevision = modRevision;
    this.maxChanges = settings.minStoreLimits().txnOps();
    this.lazyS = settings.workers().heartbeatIntervalS();
    this.overdueS = settings.workers().leaseS() / 2;
    this.retryS = settings.workers().heartbeatIntervalS() / 15;
    this.safeBytes = (int) (settings.minStoreLimits().valueKb() * 1024);
    this.deposed = deposed;
  }

  public void close() {
    closed = true;
    turns++;
  }

  /** The store holds parts, which were only made since its limits are lowered. */
  public void limitsLowered() {
    lowered = true;
  }

  /** Takes over what the store holds of a job's shard. */
  public void recordModRevision(String key, long modRevision) {
    modRevisions.put(key, modRevision);
  }

  public boolean isDirty(Job job, int task) {
    String key = shardLayout.shardOf(job, task).key();
    return dirty.containsKey(key) || inFlight.containsKey(key);
  }

  public boolean isDirty(Job job) {
    int size = shardLayout.shardSize(job.spec.ref());
    return IntStream.range(0, (job.spec.tasks() + size - 1) / size).anyMatch(k -> isDirty(job, k * size));
  }

  /** The shard with {@code task} has changed; it waits for company and for a quiet moment. */
  public void writeLater(Job job, int task) {
    mark(job, task, RequestPriority.BACKGROUND, clock.now() + lazyS, null);
  }

  /** The shard with {@code task} has changed; {@code durable} runs once that is committed. */
  public void writeNow(Job job, int task, RequestPriority priority, Runnable durable) {
    mark(job, task, priority, clock.now(), durable);
  }

  /** Runs {@code then} once the shard with {@code task}, as it is now, is in the store; false if it is. */
  public boolean whenWritten(Job job, int task, Runnable then) {
    String key = shardLayout.shardOf(job, task).key();
    DirtyShard dirtyShard = dirty.getOrDefault(key, inFlight.get(key));
    return dirtyShard != null && dirtyShard.waiters.add(new Waiter(task, then));
  }

  /** Runs {@code then} once it is known whether the store, and so whoever reads it, has the done marks last sent; false if it is known. */
  public boolean whenDoneMarksSettled(Job job, Runnable then) {
    int size = shardLayout.shardSize(job.spec.ref());
    for (int task = 0; task < job.spec.tasks(); task += size) {
      String key = shardLayout.shardOf(job, task).key();
      for (DirtyShard dirtyShard : Arrays.asList(inFlight.get(key), dirty.get(key))) {
        if (dirtyShard != null && dirtyShard.mayBeStored()) {
          dirtyShard.waiters.add(new Waiter(task, then));
          return true;
        }
      }
    }
    return false;
  }

  /** Like {@link #now}, before everything else of usual rank. */
  public void writeSoon(Job job, int task) {
    mark(job, task, RequestPriority.NORMAL, clock.now() - overdueS, null);
  }

  /** From decision to commit, what was written since the last line, and what waits; null if nothing was. */
  public String statusLine() {
    String delays = latencies.line();
    if (delays == null) {
      return null;
    }
    String out = delays + "; " + changes + " changes in " + transactions + " transactions, " + dirty.size() + " wait";
    transactions = 0;
    changes = 0;
    return out;
  }

  private void mark(Job job, int task, RequestPriority priority, double due, Runnable durable) {
    ShardLayout.Shard shard = shardLayout.shardOf(job, task);
    DirtyShard dirtyShard = dirty.computeIfAbsent(shard.key(), k -> new DirtyShard(shard, priority, due));
    dirtyShard.expedite(priority, due);
    dirtyShard.tasks.set(task);
    if (durable != null) {
      dirtyShard.waiters.add(new Waiter(task, durable));
      dirtyShard.waitingSince = dirtyShard.waitingSince < 0 ? clock.now() : dirtyShard.waitingSince;
    }
    arm(dirtyShard);
  }

  private void arm(DirtyShard dirtyShard) {
    if (busy || closed) {
      return;
    }
    double now = clock.now();
    if (dirtyShard.due <= now + 0.001) {
      ask(dirtyShard.priority);
    } else if (dirtyShard.due < armedFor) {
      armedFor = dirtyShard.due;
      timers.after(dirtyShard.due - now, () -> {
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
    DirtyShard first = null;
    DirtyShard soonest = null;
    for (DirtyShard dirtyShard : dirty.values()) {
      if (dirtyShard.priority == RequestPriority.BACKGROUND && now - dirtyShard.due > overdueS) {
        dirtyShard.priority = RequestPriority.NORMAL;
      }
      if (dirtyShard.due <= now + 0.001 && (first == null || dirtyShard.priority.compareTo(first.priority) < 0)) {
        first = dirtyShard;
      }
      if (soonest == null || dirtyShard.due < soonest.due) {
        soonest = dirtyShard;
      }
    }
    if (first != null) {
      ask(first.priority);
    } else if (soonest != null) {
      arm(soonest);
    }
  }

  private void ask(RequestPriority priority) {
    if (asked != null && asked.compareTo(priority) <= 0) {
      return;
    }
    asked = priority;
    long turn = ++turns;
    // Under pressure a transaction waits to be worth its request, unless a live service needs it.
    int least = priority == RequestPriority.HIGH ? 1 : Math.max(1, Math.min(dirty.size(), maxChanges / 4));
    store.requestWriteSlot(least, priority, () -> {
      profile.run("write", () -> store.releaseWriteSlot(least, turn == turns && !busy && !closed ? write(least, priority) : 0));
    });
  }

  /** Puts what is due into one transaction, most urgent first; tells how many changes it made. */
  private int write(int least, RequestPriority priority) {
    asked = null;
    double now = clock.now();
    int most = (int) Math.min(maxChanges, least + Math.max(0, Math.floor(store.writeCredit())));
    boolean spare = priority == RequestPriority.BACKGROUND || store.hasSpareWrites();
    List<Map.Entry<String, DirtyShard>> order = new ArrayList<>();
    for (Map.Entry<String, DirtyShard> e : dirty.entrySet()) {
      DirtyShard dirtyShard = e.getValue();
      if (dirtyShard.due <= now + 0.001 && (spare || dirtyShard.priority != RequestPriority.BACKGROUND)) {
        order.add(e);
      }
    }
    order.sort(
        Comparator.comparing((Map.Entry<String, DirtyShard> e) -> e.getValue().priority)
            .thenComparingDouble(e -> e.getValue().due));
    Transaction txn = new Transaction().when(JobProgressCodec.LEADER, modRevision);
    Map<String, DirtyShard> batch = new LinkedHashMap<>();
    List<Job> tooLarge = new ArrayList<>();
    int bytes = 0;
    for (Map.Entry<String, DirtyShard> e : order) {
      if (batch.size() >= most) {
        break;
      }
      DirtyShard dirtyShard = e.getValue();
      if (dirtyShard.suspect && !batch.isEmpty()) {
        continue;
      }
      ObjectNode value = dirtyShard.shard.value();
      int size = Json.bytes(value).length;
      if (lowered && size > safeBytes && shardLayout.shardOf(dirtyShard.shard.job(), 0).size() > 1) {
        tooLarge.add(dirtyShard.shard.job());
        continue;
      }
      bytes += size + 2 * e.getKey().length() + 100;
      if (bytes > Transaction.MAX_BYTES && !batch.isEmpty()) {
        break;
      }
      txn.when(e.getKey(), modRevisions.getOrDefault(e.getKey(), 0L)).write(e.getKey(), value);
      batch.put(e.getKey(), dirtyShard);
      if (dirtyShard.suspect) {
        break;
      }
    }
    tooLarge.forEach(this::refine);
    if (batch.isEmpty()) {
      next();
      return 0;
    }
    batch.keySet().forEach(dirty::remove);
    batch.values().forEach(DirtyShard::sent);
    inFlight = batch;
    busy = true;
    transactions++;
    changes += batch.size();
    store
        .commitInWriteSlot(txn, priority)
        .onSuccess(result -> profile.run("committed", () -> answered(result, batch)))
        .onFailure(e -> unanswered(e, batch));
    return batch.size();
  }

  private void answered(TransactionResult commit, Map<String, DirtyShard> batch) {
    if (closed) {
      return;
    }
    if (commit.applied()) {
      batch.keySet().forEach(key -> modRevisions.put(key, commit.revision()));
      inFlight = Map.of();
      busy = false;
      batch.values().forEach(DirtyShard::stored);
      for (DirtyShard dirtyShard : batch.values()) {
        if (dirtyShard.waitingSince >= 0) {
          latencies.record(dirtyShard.priority == RequestPriority.HIGH ? "urgent commit" : "commit", clock.now() - dirtyShard.waitingSince);
        }
        dirtyShard.waiters.forEach(w -> w.durable().run());
      }
      next();
      return;
    }
    if (commit.conflicts().contains(JobProgressCodec.LEADER)) {
      closed = true;
      deposed.run();
      return;
    }
    LOG.info("transaction failed on {}", commit.conflicts());
    batch.values().forEach(DirtyShard::refused);
    reread(batch);
  }

  private void unanswered(Throwable e, Map<String, DirtyShard> batch) {
    if (closed) {
      return;
    }
    LOG.debug("transaction of {} shards: {}", batch.size(), e.getMessage());
    StoreException.Kind kind = StoreException.kindOf(e);
    boolean refused = kind == StoreException.Kind.REFUSED || kind == StoreException.Kind.MALFORMED;
    batch.values().forEach(refused ? DirtyShard::refused : DirtyShard::unanswered);
    if (kind == StoreException.Kind.MALFORMED) {
      putBack(batch);
      explain(batch, e.getMessage());
    }
    if (refused) {
      if (kind == StoreException.Kind.REFUSED) {
        putBack(batch);
      }
      timers.after(retryS, () -> {
        busy = false;
        next();
      });
    } else {
      reread(batch);
    }
  }

  /**
   * The store takes the transaction for malformed, and has not executed it. Values that fitted its
   * former limits are the likely cause: their jobs go over to smaller parts. Else what was refused
   * together is tried one by one, and what is refused alone waits, so that it holds up nothing else.
   */
  private void explain(Map<String, DirtyShard> batch, String answer) {
    Set<Job> large = new LinkedHashSet<>();
    for (DirtyShard dirtyShard : batch.values()) {
      if (Json.bytes(dirtyShard.shard.value()).length > safeBytes) {
        large.add(dirtyShard.shard.job());
      }
    }
    if (!large.isEmpty() && !lowered) {
      lowered = true;
      LOG.info("the store has lowered its limits: values are limited to {} bytes", safeBytes);
    }
    boolean smaller = false;
    for (Job job : large) {
      smaller |= refine(job);
    }
    if (smaller) {
      return;
    }
    for (Map.Entry<String, DirtyShard> e : batch.entrySet()) {
      DirtyShard dirtyShard = dirty.get(e.getKey());
      if (batch.size() > 1) {
        dirtyShard.suspect = true;
      } else if (!refine(dirtyShard.shard.job())) {
        dirtyShard.due = clock.now() + lazyS;
        if (!saidSo) {
          saidSo = true;
          LOG.error("the store rejects {}, retrying: {}", e.getKey(), answer);
        }
      }
    }
  }

  /** Has a job go over to smaller parts, with all of it that is still to be written. */
  private boolean refine(Job job) {
    String ref = job.spec.ref();
    List<DirtyShard> old = new ArrayList<>();
    dirty.values().stream().filter(dirtyShard -> dirtyShard.shard.job() == job).forEach(old::add);
    if (!shardLayout.refine(ref)) {
      return false;
    }
    LOG.info("job {}: progress now kept in shards of {} tasks", ref, shardLayout.shardSize(ref));
    for (DirtyShard dirtyShard : old) {
      dirty.remove(dirtyShard.shard.key());
      for (int task = dirtyShard.tasks.nextSetBit(0); task >= 0; task = dirtyShard.tasks.nextSetBit(task + 1)) {
        ShardLayout.Shard shard = shardLayout.shardOf(job, task);
        DirtyShard part = dirty.computeIfAbsent(shard.key(), k -> new DirtyShard(shard, dirtyShard.priority, dirtyShard.due));
        part.expedite(dirtyShard.priority, dirtyShard.due);
        part.tasks.set(task);
        part.supersedes(dirtyShard);
        part.waitingSince = dirtyShard.waitingSince;
      }
      dirtyShard.waiters.forEach(w -> dirty.get(shardLayout.shardOf(job, w.task()).key()).waiters.add(w));
    }
    return true;
  }

  private void putBack(Map<String, DirtyShard> batch) {
    inFlight = Map.of();
    batch.forEach(
        (key, dirtyShard) -> {
          DirtyShard newer = dirty.get(key);
          if (newer == null) {
            dirty.put(key, dirtyShard);
          } else {
            newer.expedite(dirtyShard.priority, dirtyShard.due);
            newer.waitingSince = dirtyShard.waitingSince >= 0 ? dirtyShard.waitingSince : newer.waitingSince;
            newer.tasks.or(dirtyShard.tasks);
            newer.supersedes(dirtyShard);
            newer.suspect |= dirtyShard.suspect;
            List<Waiter> all = new ArrayList<>(dirtyShard.waiters);
            all.addAll(newer.waiters);
            newer.waiters = all;
          }
        });
  }

  private void reread(Map<String, DirtyShard> batch) {
    rereadNext(new ArrayList<>(batch.keySet()), 0, batch);
  }

  private void rereadNext(List<String> keys, int i, Map<String, DirtyShard> batch) {
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
            (VersionedEntry entry) -> {
              modRevisions.put(keys.get(i), entry.modRevision());
              rereadNext(keys, i + 1, batch);
            })
        .onFailure(e -> timers.after(retryS, () -> rereadNext(keys, i, batch)));
  }
}
