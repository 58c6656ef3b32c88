package io.embernotch.reservation;

import io.embernotch.model.Machine;
import io.embernotch.scheduling.ReservationAmounts;
import io.embernotch.scheduling.Resources;
import io.embernotch.state.ClusterState;
import java.util.Map;

/**
 * What one reservation has, for operators.
 *
 * @param reserved what is reserved for it, in use or not
 * @param used what of it is in use
 * @param machines on how many machines
 * @param idleCostPerHour price per hour of what is not in use
 */
record ReservationStatus(Resources reserved, Resources used, int machines, double idleCostPerHour) {

  /** The status of the reservation at this index; machines that are not known do not count. */
  static ReservationStatus of(
      int index,
      Map<String, ReservationAmounts> stored,
      ClusterState state,
      ReservationUsage usage) {
    Resources reserved = Resources.ZERO;
    Resources used = Resources.ZERO;
    int machines = 0;
    double idleCost = 0;
    for (Map.Entry<String, ReservationAmounts> entry : stored.entrySet()) {
      Machine machine = state.machines.get(entry.getKey());
      Resources reservedThere = entry.getValue().get(index);
      if (machine == null || machine.type == null || reservedThere.isZero()) {
        continue;
      }
      Resources usedThere =
          usage.of(machine).map(amounts -> amounts.get(index)).orElse(Resources.ZERO);
      reserved = reserved.plus(reservedThere, 1);
      used = used.plus(usedThere, 1);
      machines++;
      idleCost += idleCostPerHour(machine, reservedThere.minus(usedThere));
    }
    return new ReservationStatus(reserved, used, machines, idleCost);
  }

  private static double idleCostPerHour(Machine machine, Resources free) {
    double share =
        Math.max(
            free.cpus() / Math.max(1, machine.type.cpus()),
            machine.type.gpus() > 0 ? free.gpus() / machine.type.gpus() : 0);
    return machine.type.price() * Math.min(1, share);
  }
}
