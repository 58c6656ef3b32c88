package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/**
 * Free capacity of a machine less the demand on it. A negative amount is a shortfall; subtraction
 * of {@link Resources}, in contrast, stops at zero.
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

  /** Whether any amount is negative. */
  boolean hasShortfall() {
    return hasShortfall(cpus, gpus, memGb);
  }

  /** Whether no amount would be negative without the capacity of such a task. */
  boolean canSpare(JobSpec task) {
    return !hasShortfall(cpus - task.cpus(), gpus - task.gpus(), memGb - task.memGb());
  }

  private static boolean hasShortfall(double cpus, double gpus, double memGb) {
    return cpus < -Resources.TOLERANCE
        || gpus < -Resources.TOLERANCE
        || memGb < -Resources.TOLERANCE;
  }
}
