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
 * Measures what an event loop's time goes to, by cause. Times are elapsed times: on a share of a
 * core they include what other threads, collections and the compiler took meanwhile, and {@link
 * #processUsage} tells how much that may be. For one loop, and used on that loop alone. It measures
 * only while its logger is at info, and costs nothing otherwise.
 */
public final class EventLoopProfile {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopProfile.class);
  private static final double NANOS_PER_MS = 1e6;

  /** Measures nothing, for components without a loop of their own. */
  public static final EventLoopProfile NONE = new EventLoopProfile(null);

  private record Usage(LongAdder runs, LongAdder nanos) {}

  private final LongSupplier steadyNanos;
  private final Map<String, Usage> usages = new TreeMap<>();

  /** Nanoseconds that nested runs within the present one have taken. */
  private long nestedNanos;

  /**
   * @param steadyNanos steady time in nanoseconds, or null to measure nothing
   */
  public EventLoopProfile(LongSupplier steadyNanos) {
    this.steadyNanos = steadyNanos;
  }

  /** A profile that measures if the log shows it. */
  public static EventLoopProfile createIfLogged() {
    return LOG.isInfoEnabled() ? new EventLoopProfile(System::nanoTime) : NONE;
  }

  /**
   * Runs a task and counts its time for a cause; what it runs for another cause in turn counts
   * there alone.
   */
  public void run(String cause, Runnable task) {
    if (steadyNanos == null) {
      task.run();
      return;
    }
    long outerNestedNanos = nestedNanos;
    nestedNanos = 0;
    long startedAt = steadyNanos.getAsLong();
    try {
      task.run();
    } finally {
      long took = steadyNanos.getAsLong() - startedAt;
      Usage usage = usages.computeIfAbsent(cause, c -> new Usage(new LongAdder(), new LongAdder()));
      usage.runs.increment();
      usage.nanos.add(took - nestedNanos);
      nestedNanos = outerNestedNanos + took;
    }
  }

  /** Timers whose tasks count for a cause. */
  public Timers around(String cause, Timers timers) {
    return steadyNanos == null
        ? timers
        : (seconds, task) -> timers.after(seconds, () -> run(cause, task));
  }

  /** Runs and milliseconds by cause since the last line; null if there were none. */
  public String line() {
    StringBuilder line = new StringBuilder();
    usages.forEach(
        (cause, usage) -> {
          line.append(line.isEmpty() ? "" : ", ").append(cause);
          line.append(' ').append(usage.runs.sumThenReset());
          line.append(" in ").append(Math.round(usage.nanos.sumThenReset() / NANOS_PER_MS));
          line.append(" ms");
        });
    usages.clear();
    return line.isEmpty() ? null : line.toString();
  }

  /**
   * What the whole process has used so far, in milliseconds: processor time, and elapsed time of
   * the virtual machine's own work.
   */
  public static String processUsage() {
    double processorMs =
        ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean os
            ? os.getProcessCpuTime() / NANOS_PER_MS
            : 0;
    long collectionsMs =
        ManagementFactory.getGarbageCollectorMXBeans().stream()
            .mapToLong(GarbageCollectorMXBean::getCollectionTime)
            .sum();
    long compilationMs = ManagementFactory.getCompilationMXBean().getTotalCompilationTime();
    return Math.round(processorMs)
        + " ms of processor; "
        + collectionsMs
        + " ms went by in collections, "
        + compilationMs
        + " ms in compilation";
  }

  /** Logs what was measured since the last time, if it measures. */
  public void log() {
    if (steadyNanos != null) {
      LOG.info("event loop: {}", line());
      LOG.info("process: {}", processUsage());
    }
  }
}
