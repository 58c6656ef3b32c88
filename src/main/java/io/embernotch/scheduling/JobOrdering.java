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
   * Worker leases of waiting after which a job goes before all others of its priority, whether they
   * are for a release or not: under four minutes.
   */
  private static final int STARVED_LEASES = 7;

  /**
   * Worker leases before its latest start from which on work for a release goes before work that is
   * for none.
   */
  private static final int NEAR_START_LEASES = 4;

  /** Further apart than any two times that occur. */
  private static final long FIRST_OFFSET_MS = 1L << 50;

  /**
   * Production jobs first, then jobs within their guarantee, then by priority, then by urgency: the
   * latest start that the deadline leaves, or, without one, a worker lease after the job could have
   * started.
   */
  private static final Comparator<Job> ORDER =
      Comparator.comparing((Job job) -> job.spec.priority() != Priority.PRODUCTION)
          .thenComparing(job -> !job.withinGuarantee)
          .thenComparing(job -> job.effectivePriority, Comparator.reverseOrder())
          .thenComparingLong(job -> job.urgencyMs)
          .thenComparing(job -> job.spec.ref());

  private JobOrdering() {}

  /** The jobs with pending tasks, in their order. */
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
   * The time by which a job counts among its equals: its own deadline, or that of a job that came a
   * lease later. A job for a release goes before all others once its latest start is near, if it
   * can meet its deadline together with others. A job that has waited for too long goes before all.
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
