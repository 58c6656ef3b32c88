package io.embernotch.persistence;

import io.embernotch.actor.Clock;
import io.embernotch.actor.EventLoopProfile;
import io.embernotch.actor.Timers;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;

/**
 * Decides when the next transaction is built: once a shard is due and the store's limits grant a
 * write slot. One transaction is in flight at a time.
 */
final class WriteScheduler {
  /** Builds and sends a transaction. */
  interface Writer {
    /**
     * Writes what is due.
     *
     * @param minChanges changes that the write slot grants
     * @return number of changes made
     */
    int write(int minChanges, RequestPriority priority);
  }

  /** The value of {@code armedFor} while no timer is armed. */
  private static final double NOT_ARMED = Double.MAX_VALUE;

  /** A transaction waits for the largest number of changes divided by this, if so many wait. */
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

  /** The most urgent priority for which a write slot has been requested; null if none is. */
  private RequestPriority requested;

  /** Number of the last write slot requested; it supersedes those before it. */
  private long slotRequests;

  /**
   * @param maxChanges changes that a transaction may make
   * @param overdueS seconds after its due time when a shard of background priority becomes normal
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
    slotRequests++;
  }

  boolean isClosed() {
    return closed;
  }

  /** A transaction is sent: nothing else is until it has ended. */
  void transactionStarted() {
    transactionInFlight = true;
  }

  /** The transaction in flight has ended; does not schedule the next one yet. */
  void transactionEnded() {
    transactionInFlight = false;
  }

  /** A shard has become dirty, or more urgent. */
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

  /** Timers may fire a little early: what is due is looked at anew, and armed again if need be. */
  private void timerFired() {
    armedFor = NOT_ARMED;
    scheduleNext();
  }

  /** Requests a write slot, as urgent as the most urgent of what is due. */
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
    if (requested != null && requested.compareTo(priority) <= 0) {
      return;
    }
    requested = priority;
    long request = ++slotRequests;
    int minChanges = minChanges(priority);
    store.requestWriteSlot(
        minChanges,
        priority,
        () -> profile.run("write", () -> slotGranted(request, minChanges, priority)));
  }

  /** Under pressure a transaction waits to be worth its request, unless a service needs it. */
  private int minChanges(RequestPriority priority) {
    return priority == RequestPriority.HIGH
        ? 1
        : Math.max(1, Math.min(dirtyShards.pendingCount(), maxChanges / MIN_BATCH_DIVISOR));
  }

  private void slotGranted(long request, int minChanges, RequestPriority priority) {
    int made = 0;
    if (request == slotRequests && !transactionInFlight && !closed) {
      requested = null;
      made = writer.write(minChanges, priority);
    }
    store.releaseWriteSlot(minChanges, made);
  }
}
