package io.embernotch.state;

import io.embernotch.model.Job;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Wait times of the largest tenth of the jobs of each class, by number of tasks, until their first
 * tasks start, under this leader.
 */
public final class LargestJobWaitTimes {
  /** A job is large if it is not smaller than this percentile of the started jobs of its class. */
  private static final double LARGE_PERCENTILE = 90;

  private static final long MAX_TASKS = 100_000;
  private static final long MAX_WAIT_MS = 24 * 3600 * 1000L;
  private static final int SIGNIFICANT_DIGITS = 2;

  /** Sizes of all started jobs of a class, and wait times of the large ones. */
  private static final class JobClassWaits {
    final Histogram sizes = new Histogram(MAX_TASKS, SIGNIFICANT_DIGITS);
    final Histogram waitsMs = new Histogram(MAX_WAIT_MS, SIGNIFICANT_DIGITS);

    boolean isLarge(Job job) {
      return sizes.getTotalCount() == 0
          || job.spec.tasks() >= sizes.getValueAtPercentile(LARGE_PERCENTILE);
    }

    void appendTo(StringBuilder line) {
      line.append(waitsMs.getTotalCount())
          .append(": p50 ")
          .append(waitsMs.getValueAtPercentile(50))
          .append(", p99 ")
          .append(waitsMs.getValueAtPercentile(99))
          .append(", max ")
          .append(waitsMs.getMaxValue())
          .append(" ms");
    }
  }

  private final Map<String, JobClassWaits> waitsByClass = new TreeMap<>();

  /**
   * Records that the first tasks of a job start at {@code wallMs}, in milliseconds of wall-clock
   * time.
   */
  public void recordStart(Job job, long wallMs) {
    JobClassWaits waits =
        waitsByClass.computeIfAbsent(job.spec.jobClass(), name -> new JobClassWaits());
    waits.sizes.recordValue(Math.min(MAX_TASKS, Math.max(1, job.spec.tasks())));
    if (waits.isLarge(job)) {
      waits.waitsMs.recordValue(Math.min(MAX_WAIT_MS, Math.max(0, wallMs - job.eligibleSinceMs)));
    }
  }

  /**
   * Returns one line on all classes, with the longest wait among large {@code jobs} that still wait
   * at {@code wallMs}, in milliseconds of wall-clock time; null if no job has started.
   */
  public String statusLine(Collection<Job> jobs, long wallMs) {
    Map<String, Long> longestWaitMs = longestPresentWaitsMs(jobs, wallMs);
    StringBuilder line = new StringBuilder();
    waitsByClass.forEach(
        (name, waits) -> {
          line.append(line.isEmpty() ? "" : "; ").append(name).append(' ');
          waits.appendTo(line);
          if (longestWaitMs.containsKey(name)) {
            line.append(", one waiting for ").append(longestWaitMs.get(name)).append(" ms");
          }
        });
    return line.isEmpty() ? null : line.toString();
  }

  private Map<String, Long> longestPresentWaitsMs(Collection<Job> jobs, long wallMs) {
    Map<String, Long> longest = new TreeMap<>();
    for (Job job : jobs) {
      JobClassWaits waits = waitsByClass.get(job.spec.jobClass());
      if (waits != null && isWaitingToStart(job) && waits.isLarge(job)) {
        longest.merge(job.spec.jobClass(), wallMs - job.eligibleSinceMs, Math::max);
      }
    }
    return longest;
  }

  private static boolean isWaitingToStart(Job job) {
    return job.pendingCount() > 0
        && job.openAttempts.isEmpty()
        && job.done.isEmpty()
        && job.restartedTasks.isEmpty();
  }
}
