package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;

/** A part of a machine. */
public record Resources(double cpus, double gpus, double memGb) {
  public static final Resources ZERO = new Resources(0, 0, 0);
  private static final double EPS = 1e-6;

  public static Resources of(JobSpec spec) {
    return new Resources(spec.cpus(), spec.gpus(), spec.memGb());
  }

  public Resources plus(Resources o, double times) {
    return new Resources(cpus + o.cpus * times, gpus + o.gpus * times, memGb + o.memGb * times);
  }

  /** What is left of it, at least nothing, without {@code o}. */
  public Resources minus(Resources o) {
    return new Resources(
        Math.max(0, cpus - o.cpus), Math.max(0, gpus - o.gpus), Math.max(0, memGb - o.memGb));
  }

  /** The larger of both in everything. */
  public Resources max(Resources o) {
    return new Resources(Math.max(cpus, o.cpus), Math.max(gpus, o.gpus), Math.max(memGb, o.memGb));
  }

  public boolean isZero() {
    return cpus <= EPS && gpus <= EPS && memGb <= EPS;
  }

  /** How many of {@code unit} it holds. */
  public int count(Resources unit) {
    double n = Double.MAX_VALUE;
    n = unit.cpus > 0 ? Math.min(n, (cpus + EPS) / unit.cpus) : n;
    n = unit.gpus > 0 ? Math.min(n, (gpus + EPS) / unit.gpus) : n;
    n = unit.memGb > 0 ? Math.min(n, (memGb + EPS) / unit.memGb) : n;
    return n == Double.MAX_VALUE ? 0 : (int) Math.floor(n);
  }
}
