package io.embernotch.agents;

import io.embernotch.model.Machine;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits how many calls to machines are in flight, and queues the others by class. Production
 * services come first and unresponsive machines last, so that a failed half of the fleet takes no
 * capacity from the other half. Without a limit, a new leader would send a thousand probes and
 * commands at once. Those without a free connection would fail and not be retried for most of a
 * heartbeat interval, and production services would be started after all others.
 *
 * <p>Confined to the leader's event loop.
 */
final class CallConcurrencyLimiter {
  /**
   * The purpose of a call, in order of precedence. A call may begin while the calls of all classes
   * in flight are fewer than its class's share of the limit, and whenever none is in flight.
   */
  enum CallClass {
    /** Requests for the heartbeats whose responses start production services. */
    PRODUCTION(1),
    /** All other commands to responsive machines. */
    NORMAL(0.5),
    /** Commands to and probes of machines whose heartbeats are overdue. */
    UNRESPONSIVE(0.25),
    /** Probes of machines that will most likely send a heartbeat on their own. */
    DISCOVERY(0.0625);

    final double share;

    CallClass(double share) {
      this.share = share;
    }
  }

  private final int maxInFlight;
  private final Map<CallClass, Map<Machine, Runnable>> queues = new EnumMap<>(CallClass.class);
  private int inFlight;
  private boolean draining;

  /**
   * Creates a limiter with no call in flight.
   *
   * @param maxInFlight most calls in flight at a time
   */
  CallConcurrencyLimiter(int maxInFlight) {
    this.maxInFlight = maxInFlight;
    for (CallClass callClass : CallClass.values()) {
      queues.put(callClass, new LinkedHashMap<>());
    }
  }

  /**
   * Returns whether a call may begin now; the caller must {@link #release} it when it has ended.
   * Otherwise queues {@code retry}, which is run once there is capacity, unless a retry is already
   * queued for this machine and class.
   */
  boolean tryAcquire(Machine machine, CallClass callClass, Runnable retry) {
    if (hasCapacity(callClass) && (draining || queues.get(callClass).isEmpty())) {
      inFlight++;
      return true;
    }
    queues.get(callClass).putIfAbsent(machine, retry);
    return false;
  }

  /** Records that a call has ended, and runs queued retries while there is capacity. */
  void release() {
    inFlight--;
    if (draining) {
      return;
    }
    draining = true;
    try {
      drain();
    } finally {
      draining = false;
    }
  }

  private void drain() {
    for (CallClass callClass : CallClass.values()) {
      Map<Machine, Runnable> queue = queues.get(callClass);
      while (hasCapacity(callClass) && !queue.isEmpty()) {
        Machine machine = queue.keySet().iterator().next();
        // The retry calls tryAcquire again, or has nothing left to send.
        queue.remove(machine).run();
      }
    }
  }

  private boolean hasCapacity(CallClass callClass) {
    return inFlight < Math.max(1, callClass.share * maxInFlight);
  }
}
