package io.embernotch.reservation;

import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import io.embernotch.scheduling.ReservationAmounts;
import io.embernotch.scheduling.Resources;
import io.embernotch.settings.Reservation;
import io.embernotch.state.ClusterState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What the work of each reservation takes of each machine; summed up only after changes. */
final class ReservationUsage {
  /** Amounts of a machine as of one version of it; empty if no work of a reservation runs there. */
  private record CachedUsage(
      int machineVersion, int reservations, Optional<ReservationAmounts> amounts) {}

  private final ClusterState state;
  private final Map<Machine, CachedUsage> cache = new HashMap<>();
  private List<Reservation> reservations = List.of();

  ReservationUsage(ClusterState state) {
    this.state = state;
  }

  /** Other reservations are in force. */
  void use(List<Reservation> current) {
    reservations = current;
    cache.clear();
  }

  /** Drops machines that are no longer part of the cluster. */
  void dropRemovedMachines() {
    cache.keySet().removeIf(machine -> state.machines.get(machine.name) != machine);
  }

  /** What the work of each reservation takes of a machine; empty if no such work runs there. */
  Optional<ReservationAmounts> of(Machine machine) {
    CachedUsage usage = cache.get(machine);
    if (usage == null
        || usage.machineVersion != machine.version
        || usage.reservations != reservations.size()) {
      usage = new CachedUsage(machine.version, reservations.size(), sum(machine));
      cache.put(machine, usage);
    }
    return usage.amounts;
  }

  private Optional<ReservationAmounts> sum(Machine machine) {
    ReservationAmounts sum = null;
    for (Attempt attempt : machine.openAttempts.values()) {
      for (int i = 0; i < reservations.size(); i++) {
        if (reservations.get(i).serves(attempt.job.spec)) {
          sum = sum == null ? ReservationAmounts.zeros(reservations.size()) : sum;
          sum = sum.with(i, sum.get(i).plus(Resources.of(attempt.job.spec), 1));
        }
      }
    }
    return Optional.ofNullable(sum);
  }
}
