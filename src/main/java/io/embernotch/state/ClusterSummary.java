package io.embernotch.state;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.Machine;

/** The machines and the queue in one line for the log. */
public final class ClusterSummary {
  /** Counts of machines by what they run; each machine counts once. */
  private static final class MachineCounts {
    int booting;
    int idle;
    int withServices;
    int withGangs;
    int withArrays;

    void add(Machine machine) {
      if (!machine.up()) {
        booting++;
      } else if (machine.openAttempts.isEmpty()) {
        idle++;
      } else if (has(machine, JobShape.SERVICE)) {
        withServices++;
      } else if (has(machine, JobShape.GANG)) {
        withGangs++;
      } else {
        withArrays++;
      }
    }

    @Override
    public String toString() {
      return booting
          + " booting, "
          + idle
          + " idle, "
          + withServices
          + " with services, "
          + withGangs
          + " with gangs, "
          + withArrays
          + " with arrays";
    }
  }

  private ClusterSummary() {}

  /** Returns the current summary. */
  public static String of(ClusterState state) {
    MachineCounts ordinary = new MachineCounts();
    MachineCounts spot = new MachineCounts();
    for (Machine machine : state.machines.values()) {
      (machine.spot ? spot : ordinary).add(machine);
    }
    int pending = 0;
    int open = 0;
    for (Job job : state.jobs.values()) {
      pending += job.pendingCount();
      open += job.openAttempts.size();
    }
    return "machines: ordinary "
        + ordinary
        + "; spot "
        + spot
        + "; tasks: "
        + open
        + " placed, "
        + pending
        + " waiting";
  }

  private static boolean has(Machine machine, JobShape shape) {
    return machine.openAttempts.values().stream()
        .anyMatch(attempt -> attempt.job.spec.shape() == shape);
  }
}
