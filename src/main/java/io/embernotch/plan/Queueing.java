package io.embernotch.plan;

import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.model.Shape;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How many short tasks may wait for one place on a machine that is booting. Where a place runs a
 * task in less time than another machine takes to boot, the next task waits for the same place
 * about as long as for a machine of its own; renting one for each used to triple the fleet while
 * the first machines booted, and to return most of it right after.
 */
final class Queueing {
  /** Owners' estimates are often wrong by half, so the mean of a class counts, and with care. */
  private static final int MOST = 3;

  private final Map<String, double[]> expected = new HashMap<>();
  private final Map<String, MachineType> types;

  Queueing(Collection<Job> jobs, Map<String, MachineType> types) {
    this.types = types;
    for (Job j : jobs) {
      double[] sum = expected.computeIfAbsent(j.spec.jobClass(), c -> new double[2]);
      sum[0] += j.spec.expectS();
      sum[1]++;
    }
  }

  /** A task of the job as it counts where it waits for a machine that is not up. */
  JobSpec waiting(JobSpec spec) {
    int depth = depth(spec);
    return depth > 1 ? spec.withShare(1.0 / depth) : spec;
  }

  private int depth(JobSpec spec) {
    double[] sum = expected.get(spec.jobClass());
    if (spec.shape() != Shape.ARRAY || sum == null || sum[0] <= 0) {
      return 1;
    }
    double boot = types.values().stream().filter(t -> t.fits(spec)).mapToDouble(MachineType::bootS).min().orElse(0);
    return (int) Math.max(1, Math.min(MOST, 1 + boot * sum[1] / sum[0]));
  }
}
