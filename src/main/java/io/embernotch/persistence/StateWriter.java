package io.embernotch.persistence;

import io.embernotch.actor.Clock;
import io.embernotch.actor.EventLoopProfile;
import io.embernotch.actor.Timers;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.model.Job;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreException;
import io.embernotch.store.TransactionResult;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the progress of jobs, one transaction at a time. Each write conditions on the leader's key
 * and on the shard's own modification revision, so that neither a deposed leader's transaction nor
 * a late one of ours can be applied over a newer one. The outcome of a transaction without an
 * answer is unknown: its shards are read again before anything is written over them, and nobody
 * learns of their success.
 */
public final class StateWriter {
  private static final Logger LOG = LoggerFactory.getLogger(StateWriter.class);

  /** A transaction that was refused is tried again after a heartbeat interval divided by this. */
  private static final double RETRIES_PER_HEARTBEAT = 15;

  private static final int BYTES_PER_KB = 1024;

  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final EventLoopProfile profile;

  /** Modification revision of the leader's key, on which every transaction conditions. */
  private final long leaderModRevision;

  private final Runnable deposed;
  private final int maxChanges;

  /** Seconds that a change waits for others to be written with it. */
  private final double backgroundDelayS;

  /** Seconds after which a change that waits for spare capacity waits no longer. */
  private final double overdueS;

  private final double retryS;
  private final DirtyShards dirtyShards;
  private final ShardRefiner refiner;
  private final ModRevisions modRevisions;
  private final WriteScheduler scheduler;
  private final WriteStatistics statistics = new WriteStatistics();

  /**
   * A writer for one term of leadership.
   *
   * @param leaderModRevision modification revision of the leader's key in this term
   * @param deposed runs if a transaction fails since that key has changed; nothing is written after
   */
  public StateWriter(
      Settings settings,
      ShardLayout shardLayout,
      StoreClient store,
      Clock clock,
      Timers timers,
      EventLoopProfile profile,
      long leaderModRevision,
      Runnable deposed) {
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.profile = profile;
    this.leaderModRevision = leaderModRevision;
    this.deposed = deposed;
    this.maxChanges = settings.minStoreLimits().txnOps();
    this.backgroundDelayS = settings.workers().heartbeatIntervalS();
    this.overdueS = settings.workers().leaseS() / 2;
    this.retryS = settings.workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT;
    this.dirtyShards = new DirtyShards(shardLayout);
    this.scheduler =
        new WriteScheduler(
            store, clock, timers, profile, dirtyShards, maxChanges, overdueS, this::write);
    this.modRevisions = new ModRevisions(store, timers, retryS, scheduler::isClosed);
    int safeBytes = (int) (settings.minStoreLimits().valueKb() * BYTES_PER_KB);
    this.refiner = new ShardRefiner(shardLayout, dirtyShards, clock, safeBytes, backgroundDelayS);
  }

  /** Writes nothing any more; what is in flight goes unnoticed. */
  public void close() {
    scheduler.close();
  }

  /** The store holds refined shards, which are only made once its limits are lowered. */
  public void limitsLowered() {
    refiner.limitsLowered();
  }

  /** Takes over the modification revision that the store holds a job's shard at. */
  public void recordModRevision(String key, long modRevision) {
    modRevisions.record(key, modRevision);
  }

  /** Whether the store is not known to hold the shard with {@code task} as it is now. */
  public boolean isDirty(Job job, int task) {
    return dirtyShards.contains(job, task);
  }

  /** Whether the store is not known to hold all shards of the job as they are now. */
  public boolean isDirty(Job job) {
    return dirtyShards.contains(job);
  }

  /** The shard with {@code task} has changed; it waits for others and for spare capacity. */
  public void writeLater(Job job, int task) {
    mark(job, task, RequestPriority.BACKGROUND, clock.now() + backgroundDelayS);
  }

  /** Like {@link #writeNow}, before everything else of normal priority; nobody waits for it. */
  public void writeSoon(Job job, int task) {
    mark(job, task, RequestPriority.NORMAL, clock.now() - overdueS);
  }

  /**
   * The shard with {@code task} has changed.
   *
   * @param durable runs once that is committed; null if nobody waits for it
   */
  public void writeNow(Job job, int task, RequestPriority priority, Runnable durable) {
    DirtyShard dirtyShard = dirtyShards.mark(job, task, priority, clock.now());
    if (durable != null) {
      dirtyShard.addWaiter(task, durable);
      dirtyShard.startWaiting(clock.now());
    }
    scheduler.schedule(dirtyShard);
  }

  /**
   * Runs {@code action} once the shard with {@code task}, as it is now, is in the store; false if
   * it is already.
   */
  public boolean whenWritten(Job job, int task, Runnable action) {
    return dirtyShards.addWaiter(job, task, action);
  }

  /**
   * Runs {@code action} once it is known whether the store, and so whoever reads it, has the done
   * marks last sent; false if that is known already.
   */
  public boolean whenDoneMarksSettled(Job job, Runnable action) {
    return dirtyShards.addDoneMarkWaiter(job, action);
  }

  /**
   * One line on the latencies from decision to commit, what was written since the last line, and
   * what waits; null if nothing was written.
   */
  public String statusLine() {
    return statistics.takeLine(dirtyShards.pendingCount()).orElse(null);
  }

  private void mark(Job job, int task, RequestPriority priority, double due) {
    scheduler.schedule(dirtyShards.mark(job, task, priority, due));
  }

  /** Writes what is due in one transaction; returns how many changes it makes. */
  private int write(int minChanges, RequestPriority priority) {
    double now = clock.now();
    int credit =
        (int) Math.min(maxChanges, minChanges + Math.max(0, Math.floor(store.writeCredit())));
    boolean withBackground = priority == RequestPriority.BACKGROUND || store.hasSpareWrites();
    Batch batch =
        new BatchBuilder(leaderModRevision, modRevisions, refiner, credit)
            .build(dirtyShards.pending(), now, withBackground);
    batch.oversized().forEach(refiner::refine);
    if (batch.isEmpty()) {
      scheduler.scheduleNext();
      return 0;
    }
    dirtyShards.sent(batch.shards());
    scheduler.transactionStarted();
    statistics.transactionSent(batch.size());
    store
        .commitInWriteSlot(batch.transaction(), priority)
        .onSuccess(result -> profile.run("committed", () -> answered(result, batch.shards())))
        .onFailure(failure -> failed(failure, batch.shards()));
    return batch.size();
  }

  private void answered(TransactionResult result, Map<String, DirtyShard> batch) {
    if (scheduler.isClosed()) {
      return;
    }
    if (result.applied()) {
      applied(result.revision(), batch);
    } else if (result.conflicts().contains(JobProgressCodec.LEADER)) {
      scheduler.close();
      deposed.run();
    } else {
      LOG.info("transaction failed on {}", result.conflicts());
      batch.values().forEach(DirtyShard::refused);
      reread(batch);
    }
  }

  private void applied(long revision, Map<String, DirtyShard> batch) {
    batch.keySet().forEach(key -> modRevisions.record(key, revision));
    dirtyShards.stored();
    scheduler.transactionEnded();
    for (DirtyShard dirtyShard : batch.values()) {
      statistics.stored(dirtyShard, clock.now());
      dirtyShard.waiters().forEach(waiter -> waiter.action().run());
    }
    scheduler.scheduleNext();
  }

  private void failed(Throwable failure, Map<String, DirtyShard> batch) {
    if (scheduler.isClosed()) {
      return;
    }
    LOG.debug("transaction of {} shards: {}", batch.size(), failure.getMessage());
    switch (StoreException.kindOf(failure)) {
      case REFUSED -> {
        batch.values().forEach(DirtyShard::refused);
        dirtyShards.putBack();
        retryLater();
      }
      case MALFORMED -> {
        batch.values().forEach(DirtyShard::refused);
        dirtyShards.putBack();
        refiner.handleRejection(batch, failure.getMessage());
        retryLater();
      }
      default -> {
        batch.values().forEach(DirtyShard::unanswered);
        reread(batch);
      }
    }
  }

  private void retryLater() {
    timers.after(retryS, this::writeAgain);
  }

  /** Reads the modification revisions of the shards before anything is written over them. */
  private void reread(Map<String, DirtyShard> batch) {
    modRevisions.reread(
        batch.keySet(),
        () -> {
          dirtyShards.putBack();
          writeAgain();
        });
  }

  private void writeAgain() {
    scheduler.transactionEnded();
    scheduler.scheduleNext();
  }
}
