package io.embernotch.state;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.Machine;

/** One line on fleet and queue for the log. */
public final class ClusterSummary {
  private ClusterSummary() {}

  public static String of(ClusterState state) {
    int[][] kinds = new int[2][5];
    for (Machine machine : state.machines.values()) {
      int[] k = kinds[machine.spot ? 1 : 0];
      if (!machine.up()) {
        k[0]++;
      } else if (machine.openAttempts.isEmpty()) {
        k[1]++;
      } else if (has(machine, JobShape.SERVICE)) {
        k[2]++;
      } else if (has(machine, JobShape.GANG)) {
        k[3]++;
      } else {
        k[4]++;
      }
    }
    int pending = 0;
    int open = 0;
    for (Job job : state.jobs.values()) {
      pending += job.pendingCount();
      open += job.openAttempts.size();
    }
    return "machines: ordinary "
        + line(kinds[0])
        + "; spot "
        + line(kinds[1])
        + "; tasks: "
        + open
        + " placed, "
        + pending
        + " waiting";
  }

  private static String line(int[] k) {
    return k[0]
        + " booting, "
        + k[1]
        + " idle, "
        + k[2]
        + " with services, "
        + k[3]
        + " with gangs, "
        + k[4]
        + " with arrays";
  }

  private static boolean has(Machine machine, JobShape shape) {
    for (Attempt attempt : machine.openAttempts.values()) {
      if (attempt.job.spec.shape() == shape) {
        return true;
      }
    }
    return false;
  }
}
