package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.Priority;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Whose turn it is: the order in which jobs are placed. */
final class JobOrdering {
  /**
   * Workers' leases of waiting after which a job goes before all of its rank, for a release or not:
   * under four minutes.
   */
  private static final int STARVED_LEASES = 7;

  /**
   * Leases before its last moment to start from which on work for a release goes before what is for
   * none.
   */
  private static final int NEAR_START_LEASES = 4;

  /** More than any two moments are apart. */
  private static final long FIRST_OFFSET_MS = 1L << 50;

  /**
   * Live services first, then what is guaranteed, then by priority, then by the time at which it is
   * to start: that which its deadline leaves, or, without one, a worker's lease after it could
   * start.
   */
  private static final Comparator<Job> ORDER =
      Comparator.comparing((Job job) -> job.spec.priority() != Priority.PRODUCTION)
          .thenComparing(job -> !job.withinGuarantee)
          .thenComparing(job -> job.effectivePriority, Comparator.reverseOrder())
          .thenComparingLong(job -> job.urgencyMs)
          .thenComparing(job -> job.spec.ref());

  private JobOrdering() {}

  /** The jobs with tasks to be placed, in their order. */
  static List<Job> of(
      Collection<Job> jobs, Settings settings, CandidateMachines slots, long wallMs) {
    long leaseMs = Math.round(settings.workers().leaseS() * 1000);
    List<Job> order = new ArrayList<>();
    for (Job job : jobs) {
      if (job.finalPhase == null && job.pendingCount() > 0) {
        order.add(job);
      }
    }
    if (order.stream().anyMatch(job -> job.releaseDeadlineMs != Long.MAX_VALUE)) {
      Deadlines.mark(order, slots.totalCapacity(), wallMs);
    }
    for (Job job : order) {
      job.urgencyMs = urgencyMs(job, leaseMs, wallMs);
    }
    order.sort(ORDER);
    return order;
  }

  /**
   * When a job is to have its turn: by its own deadline, or as one that came a while later than it
   * did. One that is for a release goes before those once its last moment to start is near, if it
   * can be in time together with others; and whatever has waited for too long goes before all.
   */
  private static long urgencyMs(Job job, long leaseMs, long wallMs) {
    long byAge = job.eligibleSinceMs + leaseMs;
    if (wallMs - job.eligibleSinceMs > STARVED_LEASES * leaseMs) {
      return job.eligibleSinceMs - FIRST_OFFSET_MS;
    }
    if (job.releaseDeadlineMs == Long.MAX_VALUE) {
      return Math.min(job.latestStartMs, byAge);
    }
    long lastStart = Math.min(job.latestStartMs, job.releaseDeadlineMs - job.remainingRunMs);
    if (job.missesDeadline) {
      return job.eligibleSinceMs + STARVED_LEASES * leaseMs;
    }
    return lastStart - wallMs < NEAR_START_LEASES * leaseMs
        ? lastStart - FIRST_OFFSET_MS
        : lastStart;
  }
}
