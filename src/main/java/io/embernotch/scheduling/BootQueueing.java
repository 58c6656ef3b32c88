package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How many short tasks may wait for one place on a machine that is booting. Where a place runs a
 * task in less time than another machine takes to boot, the next task waits for the same place
 * about as long as for a machine of its own; renting one for each used to triple the fleet while
 * the first machines booted, and to return most of it right after.
 */
final class BootQueueing {
  /** Owners' estimates are often wrong by half, so the mean of a class counts, and with care. */
  private static final int MAX_QUEUE_DEPTH = 3;

  /** Sums over the jobs of a class. */
  private static final class ClassTotals {
    double expectS;
    int jobs;
    int placed;
    int pending;

    double meanS() {
      return expectS / jobs;
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
      ClassTotals k = totalsByClass.computeIfAbsent(job.spec.jobClass(), c -> new ClassTotals());
      k.expectS += job.spec.expectS();
      k.jobs++;
      k.placed += job.openAttempts.size();
      k.pending += job.pendingCount();
    }
  }

  /** A task of the job as it counts where it waits for a machine that is not up. */
  JobSpec queuedSpec(JobSpec spec) {
    int depth = queueDepth(spec);
    return depth > 1 ? spec.withShare(1.0 / depth) : spec;
  }

  /**
   * Whether spot work that finds no spot machine is to have an ordinary one rented. Not while as
   * many of its class as wait will have ended before that machine is up: it costs several times as
   * much, and would find nothing left to do.
   */
  boolean worthOrdinaryMachine(JobSpec spec) {
    ClassTotals k = totalsByClass.get(spec.jobClass());
    if (!spec.spot() || spec.shape() != JobShape.ARRAY || k == null || k.expectS <= 0) {
      return true;
    }
    return k.pending > k.placed * Math.min(1, shortestBootS(spec) / k.meanS());
  }

  private int queueDepth(JobSpec spec) {
    ClassTotals k = totalsByClass.get(spec.jobClass());
    if (spec.shape() != JobShape.ARRAY || k == null || k.expectS <= 0) {
      return 1;
    }
    return (int) Math.max(1, Math.min(MAX_QUEUE_DEPTH, 1 + shortestBootS(spec) / k.meanS()));
  }

  private double shortestBootS(JobSpec spec) {
    return types.values().stream()
        .filter(type -> type.fits(spec))
        .mapToDouble(MachineType::bootS)
        .min()
        .orElse(0);
  }
}
