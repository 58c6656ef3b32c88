package io.embernotch.agents;

import io.embernotch.model.Machine;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Calls to machines that are under way, and what waits for its turn: live services first, machines
 * that are not heard last, so that a silent half of the fleet takes nothing from the other. After a
 * takeover a thousand probes and commands left at once; what did not find a connection was given up
 * for most of a heartbeat interval, and live services were started behind all others.
 */
public final class CallConcurrencyLimiter {
  /** Whom a call is for, and which share of all calls may be under way when one more begins. */
  public enum CallClass {
    LIVE(1),
    NORMAL(0.5),
    /** Commands to and probes of machines that should be heard and are not. */
    UNRESPONSIVE(0.25),
    /** Machines that will most likely find us by themselves. */
    DISCOVERY(0.0625);

    final double share;

    CallClass(double share) {
      this.share = share;
    }
  }

  private final int most;
  private final Map<CallClass, Map<Machine, Runnable>> waiting = new EnumMap<>(CallClass.class);
  private int underWay;
  private boolean draining;

  /**
   * @param most calls under way at a time
   */
  public CallConcurrencyLimiter(int most) {
    this.most = most;
    for (CallClass n : CallClass.values()) {
      waiting.put(n, new LinkedHashMap<>());
    }
  }

  /**
   * True if a call may begin now; it ends with {@link #leave}. Else {@code again} asks once there
   * is room.
   */
  public boolean tryEnter(Machine machine, CallClass callClass, Runnable again) {
    if (hasRoom(callClass) && (draining || waiting.get(callClass).isEmpty())) {
      underWay++;
      return true;
    }
    waiting.get(callClass).putIfAbsent(machine, again);
    return false;
  }

  public void leave() {
    underWay--;
    if (draining) {
      return;
    }
    draining = true;
    for (CallClass callClass : CallClass.values()) {
      Map<Machine, Runnable> queue = waiting.get(callClass);
      while (hasRoom(callClass) && !queue.isEmpty()) {
        Machine machine = queue.keySet().iterator().next();
        // It enters by itself, or has nothing to say any more.
        queue.remove(machine).run();
      }
    }
    draining = false;
  }

  /** True while a command to the machine waits for its turn. */
  public boolean waits(Machine machine) {
    return waiting.get(CallClass.LIVE).containsKey(machine)
        || waiting.get(CallClass.NORMAL).containsKey(machine);
  }

  private boolean hasRoom(CallClass callClass) {
    return underWay < Math.max(1, callClass.share * most);
  }
}
