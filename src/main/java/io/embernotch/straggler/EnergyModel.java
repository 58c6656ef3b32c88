package io.embernotch.straggler;

/** The paper's power model (section 4, equations 1 and 2), with money in place of watts. */
final class EnergyModel {
  private EnergyModel() {}

  /** Equation 2: alpha, by how much {@code tasks} on {@code cores} slow each other down. */
  static double slowdown(int tasks, int cores) {
    return tasks <= cores ? 1.0 : (double) tasks / cores;
  }

  /** Static power: the price per second, or one unit for a machine that costs nothing. */
  static double idlePower(double pricePerS) {
    return pricePerS > 0 ? pricePerS : 1.0;
  }

  /** Equation 1: static power, and that of one core for each task up to the number of cores. */
  static double power(double pricePerS, int tasks, int cores) {
    double idlePower = idlePower(pricePerS);
    return idlePower + Math.min(tasks, cores) * (idlePower / cores);
  }
}
