package io.embernotch.persistence;

import io.embernotch.actor.Clock;
import io.embernotch.actor.EventLoopProfile;
import io.embernotch.actor.Timers;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;

/**
 * Decides when to build the next transaction: once a shard is due and the rate limits grant a write
 * slot. At most one transaction is in flight.
 */
final class WriteScheduler {
  /** Builds and sends a transaction. */
  interface Writer {
    /**
     * Writes the shards that are due.
     *
     * @param minChanges number of changes that the write slot grants
     * @param priority the priority at which the slot was requested
     * @return number of changes in the transaction; 0 if none was sent
     */
    int write(int minChanges, RequestPriority priority);
  }

  /** The value of {@code armedFor} while no timer is armed. */
  private static final double NOT_ARMED = Double.MAX_VALUE;

  /** Under rate limiting, a batch has at least the maximum size divided by this, if available. */
  private static final int MIN_BATCH_DIVISOR = 4;

  private final StoreClient store;
  private final Clock clock;
  private final Timers timers;
  private final EventLoopProfile profile;
  private final DirtyShards dirtyShards;
  private final int maxChanges;
  private final double overdueS;
  private final Writer writer;
  private boolean transactionInFlight;
  private boolean closed;
  private double armedFor = NOT_ARMED;

  /** Priority of the write slot request that is not granted yet; null if there is none. */
  private RequestPriority requestedPriority;

  /** Number of the last write slot request; it supersedes the earlier ones. */
  private long lastSlotRequest;

  /**
   * @param maxChanges largest number of changes in a transaction
   * @param overdueS seconds after its due time at which a background shard gets normal priority
   */
  WriteScheduler(
      StoreClient store,
      Clock clock,
      Timers timers,
      EventLoopProfile profile,
      DirtyShards dirtyShards,
      int maxChanges,
      double overdueS,
      Writer writer) {
    this.store = store;
    this.clock = clock;
    this.timers = timers;
    this.profile = profile;
    this.dirtyShards = dirtyShards;
    this.maxChanges = maxChanges;
    this.overdueS = overdueS;
    this.writer = writer;
  }

  void close() {
    closed = true;
    lastSlotRequest++;
  }

  boolean isClosed() {
    return closed;
  }

  /** Called when a transaction is sent; no other is sent until it has ended. */
  void transactionStarted() {
    transactionInFlight = true;
  }

  /** Called when the transaction in flight has ended; does not schedule the next one. */
  void transactionEnded() {
    transactionInFlight = false;
  }

  /** Requests a write slot for the shard if it is due, or else arms a timer. */
  void schedule(DirtyShard dirtyShard) {
    if (transactionInFlight || closed) {
      return;
    }
    double now = clock.now();
    if (dirtyShard.isDue(now)) {
      requestSlot(dirtyShard.priority());
    } else if (dirtyShard.due() < armedFor) {
      armedFor = dirtyShard.due();
      timers.after(dirtyShard.due() - now, this::timerFired);
    }
  }

  /** Schedules again, since a timer may fire before the shard is due. */
  private void timerFired() {
    armedFor = NOT_ARMED;
    scheduleNext();
  }

  /** Requests a write slot at the highest priority of the due shards, or arms a timer. */
  void scheduleNext() {
    if (transactionInFlight || closed) {
      return;
    }
    double now = clock.now();
    DirtyShard mostUrgent = null;
    DirtyShard soonest = null;
    for (DirtyShard dirtyShard : dirtyShards.pending()) {
      dirtyShard.promoteIfOverdue(now, overdueS);
      if (dirtyShard.isDue(now)
          && (mostUrgent == null || dirtyShard.priority().compareTo(mostUrgent.priority()) < 0)) {
        mostUrgent = dirtyShard;
      }
      if (soonest == null || dirtyShard.due() < soonest.due()) {
        soonest = dirtyShard;
      }
    }
    if (mostUrgent != null) {
      requestSlot(mostUrgent.priority());
    } else if (soonest != null) {
      schedule(soonest);
    }
  }

  private void requestSlot(RequestPriority priority) {
    if (requestedPriority != null && requestedPriority.compareTo(priority) <= 0) {
      return;
    }
    requestedPriority = priority;
    long request = ++lastSlotRequest;
    int minChanges = minChanges(priority);
    store.requestWriteSlot(
        minChanges,
        priority,
        () -> profile.run("write", () -> slotGranted(request, minChanges, priority)));
  }

  /**
   * Returns the number of changes to request a write slot for. More than one makes the request wait
   * under rate limiting, so that each request writes several shards. High priority doesn't wait.
   */
  private int minChanges(RequestPriority priority) {
    return priority == RequestPriority.HIGH
        ? 1
        : Math.max(1, Math.min(dirtyShards.pendingCount(), maxChanges / MIN_BATCH_DIVISOR));
  }

  private void slotGranted(long request, int minChanges, RequestPriority priority) {
    int changes = 0;
    if (request == lastSlotRequest && !transactionInFlight && !closed) {
      requestedPriority = null;
      changes = writer.write(minChanges, priority);
    }
    store.releaseWriteSlot(minChanges, changes);
  }
}
