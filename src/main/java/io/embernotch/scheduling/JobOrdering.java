package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.Priority;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** The order in which jobs are placed. */
final class JobOrdering {
  /**
   * Waiting time, in worker leases, after which a job precedes all others of its priority,
   * including release jobs; less than four minutes.
   */
  private static final int STARVED_LEASES = 7;

  /**
   * Time before its latest start, in worker leases, from which on a release job precedes other
   * jobs.
   */
  private static final int NEAR_START_LEASES = 4;

  /**
   * Offset that makes a time precede all others; larger than the difference of any two real times.
   */
  private static final long FIRST_OFFSET_MS = 1L << 50;

  /**
   * Production jobs first, then jobs within their guarantee, then by priority, then by urgency: the
   * latest start that the deadline leaves, or, without a deadline, one worker lease after the job
   * became eligible.
   */
  private static final Comparator<Job> ORDER =
      Comparator.comparing((Job job) -> job.spec.priority() != Priority.PRODUCTION)
          .thenComparing(job -> !job.withinGuarantee)
          .thenComparing(job -> job.effectivePriority, Comparator.reverseOrder())
          .thenComparingLong(job -> job.urgencyMs)
          .thenComparing(job -> job.spec.ref());

  private JobOrdering() {}

  /** Returns the jobs with pending tasks in the order in which they are placed. */
  static List<Job> of(
      Collection<Job> jobs, Settings settings, CandidateMachines candidates, long wallMs) {
    long leaseMs = Math.round(settings.workers().leaseS() * 1000);
    List<Job> order = new ArrayList<>();
    for (Job job : jobs) {
      if (job.finalPhase == null && job.pendingCount() > 0) {
        order.add(job);
      }
    }
    if (order.stream().anyMatch(job -> job.releaseDeadlineMs != Long.MAX_VALUE)) {
      Deadlines.mark(order, candidates.totalCapacity(), wallMs);
    }
    for (Job job : order) {
      job.urgencyMs = urgencyMs(job, leaseMs, wallMs);
    }
    order.sort(ORDER);
    return order;
  }

  /**
   * The urgency of a job among jobs of equal priority, as a time; earlier is more urgent. It is the
   * latest start that the job's deadline leaves; for a job of no release, at most one worker lease
   * after it became eligible. A release job precedes all others once its latest start is near,
   * unless it is chosen to miss its deadline. A job that has waited for too long precedes all.
   */
  private static long urgencyMs(Job job, long leaseMs, long wallMs) {
    long byAge = job.eligibleSinceMs + leaseMs;
    if (wallMs - job.eligibleSinceMs > STARVED_LEASES * leaseMs) {
      return job.eligibleSinceMs - FIRST_OFFSET_MS;
    }
    if (job.releaseDeadlineMs == Long.MAX_VALUE) {
      return Math.min(job.latestStartMs, byAge);
    }
    if (job.missesDeadline) {
      return job.eligibleSinceMs + STARVED_LEASES * leaseMs;
    }
    long latestStart = Math.min(job.latestStartMs, job.releaseDeadlineMs - job.remainingRunMs);
    return latestStart - wallMs < NEAR_START_LEASES * leaseMs
        ? latestStart - FIRST_OFFSET_MS
        : latestStart;
  }
}
