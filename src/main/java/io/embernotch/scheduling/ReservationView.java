package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.settings.Reservation;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reservations as a plan sees them. Arrays have one entry for each of {@code demands}, at its
 * index.
 *
 * @param demands the reservations, each with the headroom that it wants
 * @param reserved what is reserved on machines, by machine name: what the reservation's work takes
 *     there, and what is free for it
 * @param used what the work of each reservation takes of a machine; the function returns null if
 *     that is nothing
 */
public record ReservationView(
    List<ReservationDemand> demands,
    Map<String, Resources[]> reserved,
    Function<Machine, Resources[]> used) {
  /** There are no reservations. */
  public static final ReservationView NONE =
      new ReservationView(List.of(), Map.of(), machine -> null);

  /**
   * One reservation, and how much is to be free for it.
   *
   * @param reservation its terms
   * @param headroom what is to be free beside what its work takes
   */
  public record ReservationDemand(Reservation reservation, List<FleetView.Headroom> headroom) {}

  /** What is reserved on a machine; with null, on a machine of which nothing is known yet. */
  MachineReservation on(Machine machine) {
    Resources[] usedThere = machine == null ? null : used.apply(machine);
    Resources[] reservedThere = machine == null ? null : reserved.get(machine.name);
    return new MachineReservation(
        demands, usedThere == null ? Resources.zeros(demands.size()) : usedThere, reservedThere);
  }

  /** Whether something is reserved on the machine, or used by work of a reservation. */
  boolean concerns(Machine machine) {
    return reserved.containsKey(machine.name) || used.apply(machine) != null;
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
