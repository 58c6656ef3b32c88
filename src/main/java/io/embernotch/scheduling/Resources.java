package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/**
 * Amounts of a machine's resources.
 *
 * @param cpus CPUs
 * @param gpus GPUs
 * @param memGb memory in gigabytes
 */
public record Resources(double cpus, double gpus, double memGb) {
  /** Nothing. */
  public static final Resources ZERO = new Resources(0, 0, 0);

  /** Amounts that differ by less are considered equal, since sums of them have rounding errors. */
  static final double TOLERANCE = 1e-6;

  /** What one task of the job takes. */
  public static Resources of(JobSpec spec) {
    return new Resources(spec.cpus(), spec.gpus(), spec.memGb());
  }

  /** The sum of this and {@code times} the other. */
  public Resources plus(Resources other, double times) {
    return new Resources(
        cpus + other.cpus * times, gpus + other.gpus * times, memGb + other.memGb * times);
  }

  /** What is left of this without the other; no amount becomes negative. */
  public Resources minus(Resources other) {
    return new Resources(
        Math.max(0, cpus - other.cpus),
        Math.max(0, gpus - other.gpus),
        Math.max(0, memGb - other.memGb));
  }

  /** The larger of both in each amount. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(cpus, other.cpus), Math.max(gpus, other.gpus), Math.max(memGb, other.memGb));
  }

  /** Whether all amounts are zero, up to rounding. */
  public boolean isZero() {
    return cpus <= TOLERANCE && gpus <= TOLERANCE && memGb <= TOLERANCE;
  }

  /** How many whole {@code unit}s fit; 0 if the unit is zero. */
  public int count(Resources unit) {
    double count = Double.MAX_VALUE;
    count = unit.cpus > 0 ? Math.min(count, (cpus + TOLERANCE) / unit.cpus) : count;
    count = unit.gpus > 0 ? Math.min(count, (gpus + TOLERANCE) / unit.gpus) : count;
    count = unit.memGb > 0 ? Math.min(count, (memGb + TOLERANCE) / unit.memGb) : count;
    return count == Double.MAX_VALUE ? 0 : (int) Math.floor(count);
  }
}
