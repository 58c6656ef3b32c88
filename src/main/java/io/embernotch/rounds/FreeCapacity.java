package io.embernotch.rounds;

import io.embernotch.model.Attempt;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;

/**
 * What a machine has left beside its open attempts and its reservations: reserved capacity takes no
 * restart.
 *
 * @param cpus free CPUs
 * @param gpus free GPUs
 * @param memGb free memory in GB
 */
record FreeCapacity(double cpus, double gpus, double memGb) {
  /** The free capacity of a machine whose type is known. */
  static FreeCapacity of(Machine machine) {
    double cpus = machine.type.cpus() - machine.reservedCpus;
    double gpus = machine.type.gpus() - machine.reservedGpus;
    double memGb = machine.type.memGb() - machine.reservedMemGb;
    for (Attempt attempt : machine.openAttempts.values()) {
      cpus -= attempt.job.spec.cpus();
      gpus -= attempt.job.spec.gpus();
      memGb -= attempt.job.spec.memGb();
    }
    return new FreeCapacity(cpus, gpus, memGb);
  }

  /** Whether one more task of a job fits. */
  boolean fits(JobSpec spec) {
    return cpus >= spec.cpus() && gpus >= spec.gpus() && memGb >= spec.memGb();
  }
}
