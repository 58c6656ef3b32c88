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
 * Writes the progress of jobs, one transaction at a time. Each write is conditional on the
 * modification revisions of the leader's key and of the shard, so that neither a transaction of a
 * deposed leader nor a delayed one of this leader can overwrite a newer value. The outcome of a
 * transaction without an answer is unknown: the writer reads its shards again before it overwrites
 * them, and does not report them as stored.
 */
public final class StateWriter {
  private static final Logger LOG = LoggerFactory.getLogger(StateWriter.class);

  /** A refused transaction is retried after a heartbeat interval divided by this. */
  private static final double RETRIES_PER_HEARTBEAT = 15;

  private static final int BYTES_PER_KB = 1024;

  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final EventLoopProfile profile;

  /** Modification revision of the leader's key, a condition of every transaction. */
  private final long leaderModRevision;

  private final Runnable onDeposed;
  private final int maxChanges;

  /** Seconds for which a background change waits, so that one transaction writes several. */
  private final double backgroundDelayS;

  /** Seconds after its due time at which a background change gets normal priority. */
  private final double overdueS;

  private final double retryS;
  private final DirtyShards dirtyShards;
  private final ShardRefiner refiner;
  private final ModRevisions modRevisions;
  private final WriteScheduler scheduler;
  private final WriteStatistics statistics = new WriteStatistics();

  /**
   * Creates a writer for one term of leadership.
   *
   * @param leaderModRevision modification revision of the leader's key in this term
   * @param onDeposed runs if a transaction fails because that key has changed; the writer is closed
   *     then
   */
  public StateWriter(
      Settings settings,
      ShardLayout shardLayout,
      StoreClient store,
      Clock clock,
      Timers timers,
      EventLoopProfile profile,
      long leaderModRevision,
      Runnable onDeposed) {
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.profile = profile;
    this.leaderModRevision = leaderModRevision;
    this.onDeposed = onDeposed;
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

  /** Stops all writing and ignores the answer to a transaction in flight. */
  public void close() {
    scheduler.close();
  }

  /**
   * Records that the store has lowered its limits. Refined shards in the store show this, since
   * they are created only after that.
   */
  public void recordLimitsLowered() {
    refiner.recordLimitsLowered();
  }

  /** Records the modification revision of a shard's key, as read from the store. */
  public void recordModRevision(String key, long modRevision) {
    modRevisions.record(key, modRevision);
  }

  /** Whether the shard of {@code task} has changes that the store is not known to hold. */
  public boolean isDirty(Job job, int task) {
    return dirtyShards.contains(job, task);
  }

  /** Whether any shard of the job has changes that the store is not known to hold. */
  public boolean isDirty(Job job) {
    return dirtyShards.contains(job);
  }

  /**
   * Schedules a write of the shard of {@code task} at background priority: after a delay, and only
   * when the store has spare write capacity or the shard is overdue.
   */
  public void writeLater(Job job, int task) {
    mark(job, task, RequestPriority.BACKGROUND, clock.now() + backgroundDelayS);
  }

  /**
   * Schedules an immediate write of the shard of {@code task} at normal priority, ahead of others
   * of that priority. Nothing waits for the write.
   */
  public void writeSoon(Job job, int task) {
    mark(job, task, RequestPriority.NORMAL, clock.now() - overdueS);
  }

  /**
   * Schedules an immediate write of the shard of {@code task}.
   *
   * @param onDurable runs once the change is committed; null if nothing waits for it
   */
  public void writeNow(Job job, int task, RequestPriority priority, Runnable onDurable) {
    DirtyShard dirtyShard = dirtyShards.mark(job, task, priority, clock.now());
    if (onDurable != null) {
      dirtyShard.addWaiter(task, onDurable);
      dirtyShard.startWaiting(clock.now());
    }
    scheduler.schedule(dirtyShard);
  }

  /**
   * Runs {@code action} once the store holds the present value of the shard of {@code task}.
   * Returns false, and never runs it, if the shard is not dirty.
   */
  public boolean whenStored(Job job, int task, Runnable action) {
    return dirtyShards.addWaiter(job, task, action);
  }

  /**
   * Finds the first shard of the job with done marks that the store, and so its readers, may hold
   * without this leader knowing, and runs {@code action} once that shard is stored. Returns false,
   * and never runs it, if there is no such shard.
   */
  public boolean whenUnknownDoneMarksStored(Job job, Runnable action) {
    return dirtyShards.addDoneMarkWaiter(job, action);
  }

  /**
   * Returns one line with the latencies from decision to commit, the writes since the last line and
   * the number of pending shards; null if no commit latency was recorded since then.
   */
  public String statusLine() {
    return statistics.takeLine(dirtyShards.pendingCount()).orElse(null);
  }

  private void mark(Job job, int task, RequestPriority priority, double due) {
    scheduler.schedule(dirtyShards.mark(job, task, priority, due));
  }

  /** Writes the due shards in one transaction; returns the number of changes in it. */
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
    dirtyShards.onSent(batch.shards());
    scheduler.transactionStarted();
    statistics.recordTransaction(batch.size());
    store
        .commitInWriteSlot(batch.transaction(), priority)
        .onSuccess(result -> profile.run("committed", () -> handleResult(result, batch.shards())))
        .onFailure(failure -> handleFailure(failure, batch.shards()));
    return batch.size();
  }

  private void handleResult(TransactionResult result, Map<String, DirtyShard> batch) {
    if (scheduler.isClosed()) {
      return;
    }
    if (result.applied()) {
      handleApplied(result.revision(), batch);
    } else if (result.conflicts().contains(JobProgressCodec.LEADER)) {
      scheduler.close();
      onDeposed.run();
    } else {
      LOG.info("transaction not applied: conflicts on {}", result.conflicts());
      batch.values().forEach(DirtyShard::onRefused);
      reread(batch);
    }
  }

  private void handleApplied(long revision, Map<String, DirtyShard> batch) {
    batch.keySet().forEach(key -> modRevisions.record(key, revision));
    dirtyShards.onStored();
    scheduler.transactionEnded();
    for (DirtyShard dirtyShard : batch.values()) {
      statistics.recordLatency(dirtyShard, clock.now());
      dirtyShard.waiters().forEach(waiter -> waiter.action().run());
    }
    scheduler.scheduleNext();
  }

  private void handleFailure(Throwable failure, Map<String, DirtyShard> batch) {
    if (scheduler.isClosed()) {
      return;
    }
    LOG.debug("transaction of {} shards failed: {}", batch.size(), failure.getMessage());
    switch (StoreException.kindOf(failure)) {
      case REFUSED -> {
        batch.values().forEach(DirtyShard::onRefused);
        dirtyShards.requeueInFlight();
        retryLater();
      }
      case MALFORMED -> {
        batch.values().forEach(DirtyShard::onRefused);
        dirtyShards.requeueInFlight();
        refiner.handleRejection(batch, failure.getMessage());
        retryLater();
      }
      default -> {
        batch.values().forEach(DirtyShard::onUnanswered);
        reread(batch);
      }
    }
  }

  private void retryLater() {
    timers.after(retryS, this::endAndReschedule);
  }

  /** Reads the shards' modification revisions again, then makes the shards pending again. */
  private void reread(Map<String, DirtyShard> batch) {
    modRevisions.reread(
        batch.keySet(),
        () -> {
          dirtyShards.requeueInFlight();
          endAndReschedule();
        });
  }

  private void endAndReschedule() {
    scheduler.transactionEnded();
    scheduler.scheduleNext();
  }
}
