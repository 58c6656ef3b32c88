package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/**
 * Free capacity of a machine minus what a task needs there: below zero in an amount that is
 * lacking. Unlike {@link Resources} it may become negative.
 */
final class CapacityBalance {
  private double cpus;
  private double gpus;
  private double memGb;

  CapacityBalance(double cpus, double gpus, double memGb) {
    this.cpus = cpus;
    this.gpus = gpus;
    this.memGb = memGb;
  }

  void add(JobSpec task) {
    cpus += task.cpus();
    gpus += task.gpus();
    memGb += task.memGb();
  }

  void subtract(JobSpec task) {
    cpus -= task.cpus();
    gpus -= task.gpus();
    memGb -= task.memGb();
  }

  void subtract(Resources amount) {
    cpus -= amount.cpus();
    gpus -= amount.gpus();
    memGb -= amount.memGb();
  }

  /** Whether some amount is lacking. */
  boolean insufficient() {
    return insufficient(cpus, gpus, memGb);
  }

  /** Whether nothing would be lacking without the capacity of such a task. */
  boolean canSpare(JobSpec task) {
    return !insufficient(cpus - task.cpus(), gpus - task.gpus(), memGb - task.memGb());
  }

  private static boolean insufficient(double cpus, double gpus, double memGb) {
    return cpus < -Resources.TOLERANCE
        || gpus < -Resources.TOLERANCE
        || memGb < -Resources.TOLERANCE;
  }
}
