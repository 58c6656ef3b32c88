package io.embernotch.straggler;

/** The paper's power model (section 4, equations 1 and 2), with money in place of watts. */
final class EnergyModel {
  private EnergyModel() {}

  /** Equation 2: how much {@code n} tasks on {@code cores} cores slow each other down. */
  static double slowdown(int n, int cores) {
    return n <= cores ? 1.0 : (double) n / cores;
  }

  /** Static power: the price per second, or one unit for a machine that costs nothing. */
  static double idlePower(double pricePerS) {
    return pricePerS > 0 ? pricePerS : 1.0;
  }

  /** Equation 1: static power, and that of one core for each task up to the number of cores. */
  static double power(double pricePerS, int n, int cores) {
    double fixed = idlePower(pricePerS);
    return fixed + Math.min(n, cores) * (fixed / cores);
  }
}
