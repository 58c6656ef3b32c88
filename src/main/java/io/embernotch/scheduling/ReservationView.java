package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.settings.Reservation;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The reservations, with the amounts that are reserved and in use on each machine.
 *
 * @param demands the reservations, each with the capacity to keep free for it; {@link
 *     ReservationAmounts} uses the indexes of this list
 * @param reserved amounts reserved on machines, by machine name: what the reservation's work uses
 *     there, and what is kept free for it
 * @param used returns what the work of each reservation uses of a machine; empty if no such work
 *     runs there
 */
public record ReservationView(
    List<ReservationDemand> demands,
    Map<String, ReservationAmounts> reserved,
    Function<Machine, Optional<ReservationAmounts>> used) {
  /** A view without reservations. */
  public static final ReservationView NONE =
      new ReservationView(List.of(), Map.of(), machine -> Optional.empty());

  /**
   * A reservation, and the capacity to keep free for it.
   *
   * @param reservation the settings of the reservation
   * @param headroom capacity to keep free in addition to what its work uses
   */
  public record ReservationDemand(Reservation reservation, List<FleetView.Headroom> headroom) {}

  /** The reservations on a machine. */
  MachineReservation on(Machine machine) {
    ReservationAmounts usedThere =
        used.apply(machine).orElseGet(() -> ReservationAmounts.zeros(demands.size()));
    return new MachineReservation(
        demands, usedThere, reserved.getOrDefault(machine.name, usedThere));
  }

  /** The state of a machine on which nothing is reserved and no work of a reservation runs. */
  MachineReservation unreserved() {
    ReservationAmounts zeros = ReservationAmounts.zeros(demands.size());
    return new MachineReservation(demands, zeros, zeros);
  }

  /** Whether capacity of the machine is reserved, or in use by work of a reservation. */
  boolean affects(Machine machine) {
    return reserved.containsKey(machine.name) || used.apply(machine).isPresent();
  }

  /** Whether a reservation serves the job, and so keeps capacity free for it. */
  public boolean serves(JobSpec job) {
    for (ReservationDemand demand : demands) {
      if (demand.reservation.serves(job)) {
        return true;
      }
    }
    return false;
  }
}
