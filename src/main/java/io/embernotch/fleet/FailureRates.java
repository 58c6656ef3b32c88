package io.embernotch.fleet;

import io.embernotch.model.Machine;
import io.embernotch.scheduling.FailureRisk;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;

/**
 * Failure rates of machines and zones, estimated from what this leader has observed and from a
 * prior that counts as one failure.
 */
final class FailureRates {
  /** Prior: one failure of a machine in this many worker leases of its uptime. */
  private static final double MACHINE_PRIOR_LEASES = 1000;

  /** Prior: one failure of a zone in this many worker leases. */
  private static final double ZONE_PRIOR_LEASES = 4000;

  /** Planning horizon for the availability of a replica, in worker leases. */
  private static final double HORIZON_LEASES = 5;

  /** Worker leases from a failure until its tasks may start elsewhere. */
  private static final double DETECTION_LEASES = 1;

  private final Settings settings;
  private double machineUptimeS;
  private double zoneUptimeS;
  private int machineFailures;
  private int zoneFailures;

  /**
   * When uptimes were last added up, in seconds of the steady clock; below 0 before the first time.
   */
  private double countedAt = -1;

  FailureRates(Settings settings) {
    this.settings = settings;
  }

  /** Adds the uptime since the last call. */
  void tick(ClusterState state, double now) {
    if (countedAt >= 0) {
      double up = state.machines.values().stream().filter(Machine::up).count();
      machineUptimeS += up * (now - countedAt);
      zoneUptimeS += settings.zones().size() * (now - countedAt);
    }
    countedAt = now;
  }

  void recordMachineFailure() {
    machineFailures++;
  }

  void recordZoneFailure() {
    zoneFailures++;
  }

  /** Returns the current estimate. */
  FailureRisk risk() {
    double leaseS = settings.workers().leaseS();
    return new FailureRisk(
        (machineFailures + 1) / (machineUptimeS + MACHINE_PRIOR_LEASES * leaseS),
        (zoneFailures + 1) / (zoneUptimeS + ZONE_PRIOR_LEASES * leaseS),
        HORIZON_LEASES * leaseS,
        DETECTION_LEASES * leaseS);
  }
}
