package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How many short tasks may queue for the same capacity of a machine that is booting. Where a task
 * runs for less time than another machine takes to boot, the next task waits for the same capacity
 * about as long as for a machine of its own. A machine rented for each of them would triple the
 * fleet while the first machines boot, and be returned right after.
 */
final class BootQueueing {
  /**
   * Owners' estimates are often wrong by half, so the mean of a job class counts, and up to this.
   */
  private static final int MAX_QUEUE_DEPTH = 3;

  /** Sums over the jobs of a class. */
  private static final class ClassTotals {
    double expectedS;
    int jobs;
    int openAttempts;
    int pendingTasks;

    double meanExpectedS() {
      return expectedS / jobs;
    }
  }

  private final Map<String, ClassTotals> totalsByClass = new HashMap<>();
  private final Map<String, MachineType> types;

  BootQueueing(Collection<Job> jobs, Map<String, MachineType> types) {
    this.types = types;
    for (Job job : jobs) {
      if (job.blocked()) {
        continue;
      }
      ClassTotals totals =
          totalsByClass.computeIfAbsent(job.spec.jobClass(), jobClass -> new ClassTotals());
      totals.expectedS += job.spec.expectS();
      totals.jobs++;
      totals.openAttempts += job.openAttempts.size();
      totals.pendingTasks += job.pendingCount();
    }
  }

  /** The job with the share of a machine that one of its tasks counts for while it is booting. */
  JobSpec queuedSpec(JobSpec spec) {
    int depth = queueDepth(spec);
    return depth > 1 ? spec.withShare(1.0 / depth) : spec;
  }

  /**
   * Whether an ordinary machine is to be rented for spot work that finds no spot machine. Not while
   * as many tasks of its class as are pending will have ended before that machine is up: it costs
   * several times as much, and would find nothing left to do.
   */
  boolean worthOrdinaryMachine(JobSpec spec) {
    ClassTotals totals = totalsByClass.get(spec.jobClass());
    if (!spec.spot() || !mayQueue(spec, totals)) {
      return true;
    }
    return totals.pendingTasks
        > totals.openAttempts * Math.min(1, shortestBootS(spec) / totals.meanExpectedS());
  }

  private int queueDepth(JobSpec spec) {
    ClassTotals totals = totalsByClass.get(spec.jobClass());
    if (!mayQueue(spec, totals)) {
      return 1;
    }
    return (int)
        Math.max(1, Math.min(MAX_QUEUE_DEPTH, 1 + shortestBootS(spec) / totals.meanExpectedS()));
  }

  private static boolean mayQueue(JobSpec spec, ClassTotals totals) {
    return spec.shape() == JobShape.ARRAY && totals != null && totals.expectedS > 0;
  }

  private double shortestBootS(JobSpec spec) {
    return MachineTypes.shortestBootS(types.values(), spec);
  }
}
