package io.embernotch.fleet;

import io.embernotch.model.Machine;
import io.embernotch.scheduling.FailureRisk;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;

/**
 * How often machines and zones fail, from what this leader has seen and what is to be expected
 * before.
 */
final class FailureRates {
  /**
   * What is expected: one failure of a machine in so many workers' leases of its time, of a zone in
   * so many.
   */
  private static final double MACHINE_LEASES = 1000;

  private static final double ZONE_LEASES = 4000;

  /**
   * Leases for which a replica is counted on, and from a failure until what ran there may start
   * elsewhere.
   */
  private static final double HORIZON_LEASES = 5;

  private static final double NOTICED_LEASES = 1;

  private final Settings settings;
  private double machineS;
  private double zoneS;
  private int machines;
  private int zones;
  private double countedAt = -1;

  FailureRates(Settings settings) {
    this.settings = settings;
  }

  void tick(ClusterState state, double now) {
    if (countedAt >= 0) {
      double up = state.machines.values().stream().filter(Machine::up).count();
      machineS += up * (now - countedAt);
      zoneS += settings.zones().size() * (now - countedAt);
    }
    countedAt = now;
  }

  void machineFailed() {
    machines++;
  }

  void zoneFailed() {
    zones++;
  }

  FailureRisk risk() {
    double lease = settings.workers().leaseS();
    return new FailureRisk(
        (machines + 1) / (machineS + MACHINE_LEASES * lease),
        (zones + 1) / (zoneS + ZONE_LEASES * lease),
        HORIZON_LEASES * lease,
        NOTICED_LEASES * lease);
  }
}
