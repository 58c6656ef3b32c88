package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.context.ControllerContext;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;

/**
 * Waits for the leader's next heartbeat in the store, which proves that the store was not rolled
 * back. All waiters share the reads. Owned by the controller's event loop.
 */
final class StoreHeartbeatReader {
  /** Reads of the heartbeat in a heartbeat interval while there are waiters. */
  private static final double READS_PER_HEARTBEAT_INTERVAL = 24;

  /** The heartbeat interval divided by this is the timeout; a user's request waits 2 s at most. */
  private static final double TIMEOUTS_PER_HEARTBEAT_INTERVAL = 4;

  /** In place of a modification revision: the heartbeat has not been read yet. */
  private static final long UNREAD = -1;

  /** Waits for a heartbeat that is written after the first one that it reads. */
  private static final class Waiter {
    final Promise<Boolean> proven = Promise.promise();
    final String incarnation;
    final double deadline;
    long firstReadRevision = UNREAD;

    Waiter(String incarnation, double deadline) {
      this.incarnation = incarnation;
      this.deadline = deadline;
    }
  }

  private final ControllerContext context;
  private final double heartbeatIntervalS;
  private final List<Waiter> waiters = new ArrayList<>();

  StoreHeartbeatReader(ControllerContext context) {
    this.context = context;
    this.heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
  }

  /**
   * Waits for a heartbeat that the leader writes after this call. The result is true if that
   * heartbeat proves that the store holds everything that the leader has seen. It is false if it
   * does not, or if no heartbeat appears before the timeout. The future does not fail.
   *
   * @param incarnation name of the store incarnation that the caller has read
   */
  Future<Boolean> awaitNext(String incarnation) {
    double deadline = context.clock().now() + heartbeatIntervalS / TIMEOUTS_PER_HEARTBEAT_INTERVAL;
    Waiter waiter = new Waiter(incarnation, deadline);
    waiters.add(waiter);
    if (waiters.size() == 1) {
      read();
    }
    return waiter.proven.future();
  }

  private void read() {
    List<Waiter> waitersOfRead = List.copyOf(waiters);
    context
        .store()
        .get(IncarnationCodec.LEADER_HEARTBEAT_KEY)
        .onSuccess(heartbeat -> waitersOfRead.forEach(waiter -> heartbeatRead(waiter, heartbeat)))
        .onComplete(result -> readCompleted());
  }

  private void heartbeatRead(Waiter waiter, VersionedEntry heartbeat) {
    if (waiter.firstReadRevision == UNREAD) {
      waiter.firstReadRevision = heartbeat.modRevision();
    } else if (heartbeat.modRevision() > waiter.firstReadRevision) {
      waiter.proven.tryComplete(provesCurrent(heartbeat, waiter.incarnation));
    }
  }

  /**
   * Whether the store held everything that the leader had seen when the heartbeat was written. A
   * heartbeat of another incarnation proves nothing about what was read in this one.
   */
  private static boolean provesCurrent(VersionedEntry heartbeat, String incarnation) {
    try {
      return IncarnationCodec.readHeartbeatIncarnation(heartbeat.value()).equals(incarnation)
          && IncarnationCodec.readHeartbeatSeenRevision(heartbeat.value())
              < heartbeat.modRevision();
    } catch (MalformedInputException e) {
      return false;
    }
  }

  private void readCompleted() {
    double now = context.clock().now();
    for (Waiter waiter : List.copyOf(waiters)) {
      if (now >= waiter.deadline) {
        waiter.proven.tryComplete(false);
      }
    }
    waiters.removeIf(waiter -> waiter.proven.future().isComplete());
    if (!waiters.isEmpty()) {
      context.timers().after(heartbeatIntervalS / READS_PER_HEARTBEAT_INTERVAL, this::read);
    }
  }
}
