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
  private static final int NEAR_LEASES = 4;

  /** More than any two moments are apart. */
  private static final long FIRST = 1L << 50;

  /**
   * Live services first, then what is guaranteed, then by priority, then by the time at which it is
   * to start: that which its deadline leaves, or, without one, a worker's lease after it could
   * start.
   */
  private static final Comparator<Job> ORDER =
      Comparator.comparing((Job j) -> j.spec.priority() != Priority.PRODUCTION)
          .thenComparing(j -> !j.withinGuarantee)
          .thenComparing(j -> j.effectivePriority, Comparator.reverseOrder())
          .thenComparingLong(j -> j.urgencyMs)
          .thenComparing(j -> j.spec.ref());

  private JobOrdering() {}

  /** The jobs with tasks to be placed, in their order. */
  static List<Job> of(Collection<Job> jobs, Settings settings, CandidateMachines slots, long wallMs) {
    long leaseMs = Math.round(settings.workers().leaseS() * 1000);
    List<Job> order = new ArrayList<>();
    for (Job j : jobs) {
      if (j.finalPhase == null && j.pendingCount() > 0) {
        order.add(j);
      }
    }
    if (order.stream().anyMatch(j -> j.releaseDeadlineMs != Long.MAX_VALUE)) {
      Deadlines.mark(order, slots.together(), wallMs);
    }
    for (Job j : order) {
      j.urgencyMs = urgentMs(j, leaseMs, wallMs);
    }
    order.sort(ORDER);
    return order;
  }

  /**
   * When a job is to have its turn: by its own deadline, or as one that came a while later than it
   * did. One that is for a release goes before those once its last moment to start is near, if it
   * can be in time together with others; and whatever has waited for too long goes before all.
   */
  private static long urgentMs(Job j, long leaseMs, long wallMs) {
    long byAge = j.eligibleSinceMs + leaseMs;
    if (wallMs - j.eligibleSinceMs > STARVED_LEASES * leaseMs) {
      return j.eligibleSinceMs - FIRST;
    }
    if (j.releaseDeadlineMs == Long.MAX_VALUE) {
      return Math.min(j.latestStartMs, byAge);
    }
    long lastStart = Math.min(j.latestStartMs, j.releaseDeadlineMs - j.remainingRunMs);
    if (j.missesDeadline) {
      return j.eligibleSinceMs + STARVED_LEASES * leaseMs;
    }
    return lastStart - wallMs < NEAR_LEASES * leaseMs ? lastStart - FIRST : lastStart;
  }
}
