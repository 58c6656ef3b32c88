package io.embernotch.actor;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the turns of a loop go to, by cause. The time is that which goes by: on a share of a core it
 * holds what other threads, collections and the compiler took meanwhile, and {@link #process} tells
 * how much that may be. For one loop, and used by that loop alone. It measures only while its
 * logger is at info, and costs nothing otherwise.
 */
public final class EventLoopProfile {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopProfile.class);

  /** Measures nothing, for whoever has no loop of its own. */
  public static final EventLoopProfile NONE = new EventLoopProfile(null);

  private record Share(LongAdder times, LongAdder nanos) {}

  private final LongSupplier steadyNanos;
  private final Map<String, Share> shares = new TreeMap<>();

  /** What causes inside the present one have taken. */
  private long inner;

  /**
   * @param steadyNanos steady time in nanoseconds, or null to measure nothing
   */
  public EventLoopProfile(LongSupplier steadyNanos) {
    this.steadyNanos = steadyNanos;
  }

  /** Measures if anybody reads it. */
  public static EventLoopProfile createIfLogged() {
    return LOG.isInfoEnabled() ? new EventLoopProfile(System::nanoTime) : NONE;
  }

  /**
   * Runs {@code task}, and counts its time for {@code cause}; what it runs for another cause counts
   * there alone.
   */
  public void run(String cause, Runnable task) {
    if (steadyNanos == null) {
      task.run();
      return;
    }
    long outer = inner;
    inner = 0;
    long from = steadyNanos.getAsLong();
    try {
      task.run();
    } finally {
      long took = steadyNanos.getAsLong() - from;
      Share share = shares.computeIfAbsent(cause, c -> new Share(new LongAdder(), new LongAdder()));
      share.times.increment();
      share.nanos.add(took - inner);
      inner = outer + took;
    }
  }

  /** Timers whose tasks count for {@code cause}. */
  public Timers around(String cause, Timers timers) {
    return steadyNanos == null
        ? timers
        : (line, task) -> timers.after(line, () -> run(cause, task));
  }

  /**
   * Times and milliseconds by cause since the last line, or null if there is nothing; starts anew.
   */
  public String line() {
    StringBuilder line = new StringBuilder();
    shares.forEach(
        (cause, share) -> {
          line.append(line.isEmpty() ? "" : ", ")
              .append(cause)
              .append(' ')
              .append(share.times.sumThenReset());
          line.append(" in ").append(Math.round(share.nanos.sumThenReset() / 1e6)).append(" ms");
        });
    shares.clear();
    return line.isEmpty() ? null : line.toString();
  }

  /**
   * What the whole process has used so far, in milliseconds: of a share of a core in all, and
   * elapsed for what the machine needs itself.
   */
  public static String processUsage() {
    double all =
        ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean os
            ? os.getProcessCpuTime() / 1e6
            : 0;
    long collections =
        ManagementFactory.getGarbageCollectorMXBeans().stream()
            .mapToLong(GarbageCollectorMXBean::getCollectionTime)
            .sum();
    long compiling = ManagementFactory.getCompilationMXBean().getTotalCompilationTime();
    return Math.round(all)
        + " ms of processor; "
        + collections
        + " ms went by in collections, "
        + compiling
        + " ms in compilation";
  }

  /** Logs what there is since the last time, if anybody reads it. */
  public void log() {
    if (steadyNanos != null) {
      LOG.info("event loop: {}", line());
      LOG.info("process: {}", processUsage());
    }
  }
}
