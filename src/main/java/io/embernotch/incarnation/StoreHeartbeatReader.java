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
 * Waits for heartbeats of the leader in the store, on behalf of answers that need a proof that the
 * contents are present ones. All that wait share the reads. Owned by the controller's event loop.
 */
final class StoreHeartbeatReader {
  /** So often the heartbeat is read in a heartbeat interval, while somebody waits for one. */
  private static final double READS_PER_HEARTBEAT = 24;

  /** A heartbeat is waited for during a heartbeat interval divided by this: users wait 2 s. */
  private static final double WAITS_PER_HEARTBEAT = 4;

  /** The modification revision of a heartbeat that was not read yet. */
  private static final long UNREAD = -1;

  /** Somebody who waits for a heartbeat that is written after the first one that is read. */
  private static final class Waiter {
    final Promise<Boolean> proven = Promise.promise();
    final String incarnation;
    final double deadline;
    long firstRead = UNREAD;

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
   * Whether the leader has written a heartbeat after this call, to contents that hold all that it
   * has seen; false if none comes in time.
   *
   * @param incarnation name of the store incarnation that was read
   */
  Future<Boolean> next(String incarnation) {
    double deadline = context.clock().now() + heartbeatIntervalS / WAITS_PER_HEARTBEAT;
    Waiter waiter = new Waiter(incarnation, deadline);
    waiters.add(waiter);
    if (waiters.size() == 1) {
      read();
    }
    return waiter.proven.future();
  }

  private void read() {
    List<Waiter> asking = List.copyOf(waiters);
    context
        .store()
        .get(IncarnationCodec.HEARTBEAT)
        .onSuccess(heartbeat -> asking.forEach(waiter -> heartbeatRead(waiter, heartbeat)))
        .onComplete(result -> readAgain());
  }

  private void heartbeatRead(Waiter waiter, VersionedEntry heartbeat) {
    if (waiter.firstRead == UNREAD) {
      waiter.firstRead = heartbeat.modRevision();
    } else if (heartbeat.modRevision() > waiter.firstRead) {
      waiter.proven.tryComplete(provesCurrent(heartbeat, waiter.incarnation));
    }
  }

  /**
   * Whether the contents that a heartbeat was written to hold all that its writer had seen. In
   * another incarnation it says nothing of what was read in this one.
   */
  private static boolean provesCurrent(VersionedEntry heartbeat, String incarnation) {
    try {
      return IncarnationCodec.readHeartbeatIncarnation(heartbeat.value()).equals(incarnation)
          && IncarnationCodec.readHeartbeatSeen(heartbeat.value()) < heartbeat.modRevision();
    } catch (MalformedInputException e) {
      return false;
    }
  }

  private void readAgain() {
    double now = context.clock().now();
    for (Waiter waiter : List.copyOf(waiters)) {
      if (now >= waiter.deadline) {
        waiter.proven.tryComplete(false);
      }
    }
    waiters.removeIf(waiter -> waiter.proven.future().isComplete());
    if (!waiters.isEmpty()) {
      context.timers().after(heartbeatIntervalS / READS_PER_HEARTBEAT, this::read);
    }
  }
}
