package io.embernotch.scheduling;

/**
 * How often machines and zones fail, as the leader has observed it.
 *
 * @param machinePerS failures of one machine per second
 * @param zonePerS failures of one zone per second
 * @param horizonS seconds for which a replica that is placed now is expected to stay
 * @param detectionS seconds from a failure until the affected tasks may be started elsewhere
 */
public record FailureRisk(double machinePerS, double zonePerS, double horizonS, double detectionS) {
  /** Neither machines nor zones fail. */
  public static final FailureRisk NONE = new FailureRisk(0, 0, 0, 0);
}
