package io.embernotch.agents;

import io.embernotch.model.Machine;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the calls to machines that are in flight, and queues the others by class: production
 * services first, unresponsive machines last, so that a failed half of the fleet takes no capacity
 * from the other. Without a limit a thousand probes and commands leave at once after a failover;
 * those that find no connection are given up for most of a heartbeat interval, and production
 * services are started behind all others.
 *
 * <p>Confined to the leader's event loop.
 */
final class CallConcurrencyLimiter {
  /**
   * What a call is for, from the first class to be served to the last. A call may begin while the
   * share of all calls in flight is below that of its class.
   */
  enum CallClass {
    /** Commands that start production services. */
    PRODUCTION(1),
    /** All other commands to responsive machines. */
    NORMAL(0.5),
    /** Commands to and probes of machines whose heartbeats are overdue. */
    UNRESPONSIVE(0.25),
    /** Probes of machines that will most likely send a heartbeat by themselves. */
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
   * @param maxInFlight calls in flight at a time
   */
  CallConcurrencyLimiter(int maxInFlight) {
    this.maxInFlight = maxInFlight;
    for (CallClass callClass : CallClass.values()) {
      queues.put(callClass, new LinkedHashMap<>());
    }
  }

  /**
   * True if a call may begin now; it ends with {@link #release}. Otherwise {@code retry} is run
   * once there is capacity, unless one is queued for this machine and class already.
   */
  boolean tryAcquire(Machine machine, CallClass callClass, Runnable retry) {
    if (hasCapacity(callClass) && (draining || queues.get(callClass).isEmpty())) {
      inFlight++;
      return true;
    }
    queues.get(callClass).putIfAbsent(machine, retry);
    return false;
  }

  /** A call has ended; runs what is queued for as long as there is capacity. */
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
        // It acquires by itself, or has nothing left to send.
        queue.remove(machine).run();
      }
    }
  }

  /** True while a command to the responsive machine is queued. */
  boolean isCommandQueued(Machine machine) {
    return queues.get(CallClass.PRODUCTION).containsKey(machine)
        || queues.get(CallClass.NORMAL).containsKey(machine);
  }

  private boolean hasCapacity(CallClass callClass) {
    return inFlight < Math.max(1, callClass.share * maxInFlight);
  }
}
