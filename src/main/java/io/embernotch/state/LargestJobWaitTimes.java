package io.embernotch.state;

import io.embernotch.model.Job;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * How long the largest jobs of each class, a tenth of them by tasks, wait until they begin, under
 * this leader.
 */
public final class LargestJobWaitTimes {
  private static final double PERCENTILE = 90;
  private static final long MOST_TASKS = 100_000;
  private static final long MOST_MS = 24 * 3600 * 1000L;

  private static final class Kind {
    final Histogram sizes = new Histogram(MOST_TASKS, 2);
    final Histogram waits = new Histogram(MOST_MS, 2);

    boolean large(Job job) {
      return sizes.getTotalCount() == 0
          || job.spec.tasks() >= sizes.getValueAtPercentile(PERCENTILE);
    }
  }

  private final Map<String, Kind> kinds = new TreeMap<>();

  /** The first tasks of a job are being started. */
  public void begins(Job job, long wallMs) {
    Kind k = kinds.computeIfAbsent(job.spec.jobClass(), c -> new Kind());
    k.sizes.recordValue(Math.min(MOST_TASKS, Math.max(1, job.spec.tasks())));
    if (k.large(job)) {
      k.waits.recordValue(Math.min(MOST_MS, Math.max(0, wallMs - job.eligibleSinceMs)));
    }
  }

  /** One line on all classes, those that still wait included; null if none has begun. */
  public String line(Collection<Job> jobs, long wallMs) {
    Map<String, Long> waiting = new TreeMap<>();
    for (Job job : jobs) {
      Kind k = kinds.get(job.spec.jobClass());
      boolean waits =
          job.pendingCount() > 0
              && job.openAttempts.isEmpty()
              && job.done.isEmpty()
              && job.restartedTasks.isEmpty();
      if (k != null && waits && k.large(job)) {
        waiting.merge(job.spec.jobClass(), wallMs - job.eligibleSinceMs, Math::max);
      }
    }
    StringBuilder s = new StringBuilder();
    kinds.forEach(
        (name, k) -> {
          s.append(s.isEmpty() ? "" : "; ")
              .append(name)
              .append(' ')
              .append(k.waits.getTotalCount());
          s.append(": p50 ")
              .append(k.waits.getValueAtPercentile(50))
              .append(", p99 ")
              .append(k.waits.getValueAtPercentile(99));
          s.append(", max ").append(k.waits.getMaxValue()).append(" ms");
          if (waiting.containsKey(name)) {
            s.append(", one waits since ").append(waiting.get(name)).append(" ms");
          }
        });
    return s.isEmpty() ? null : s.toString();
  }
}
