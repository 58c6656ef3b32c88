package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.settings.Reservation;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reservations as a plan sees them.
 *
 * @param demands the reservations, each with the headroom that it wants; the index in this list is
 *     that of {@link ReservationAmounts}
 * @param reserved what is reserved on machines, by machine name: what the reservation's work takes
 *     there, and what is free for it
 * @param used what the work of each reservation takes of a machine; empty if no such work runs
 *     there
 */
public record ReservationView(
    List<ReservationDemand> demands,
    Map<String, ReservationAmounts> reserved,
    Function<Machine, Optional<ReservationAmounts>> used) {
  /** There are no reservations. */
  public static final ReservationView NONE =
      new ReservationView(List.of(), Map.of(), machine -> Optional.empty());

  /**
   * One reservation, and how much is to be free for it.
   *
   * @param reservation its terms
   * @param headroom what is to be free beside what its work takes
   */
  public record ReservationDemand(Reservation reservation, List<FleetView.Headroom> headroom) {}

  /** What is reserved on a machine. */
  MachineReservation on(Machine machine) {
    ReservationAmounts usedThere =
        used.apply(machine).orElseGet(() -> ReservationAmounts.zeros(demands.size()));
    return new MachineReservation(
        demands, usedThere, reserved.getOrDefault(machine.name, usedThere));
  }

  /** Nothing is reserved, and no work of a reservation runs. */
  MachineReservation nothing() {
    ReservationAmounts zeros = ReservationAmounts.zeros(demands.size());
    return new MachineReservation(demands, zeros, zeros);
  }

  /** Whether something is reserved on the machine, or used by work of a reservation. */
  boolean concerns(Machine machine) {
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
