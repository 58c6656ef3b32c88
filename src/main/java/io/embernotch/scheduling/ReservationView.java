package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.settings.Reservation;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reservations as a plan sees them.
 *
 * @param terms each with the tasks like which room is to be kept free beside what its work holds
 * @param held what is held on machines, by name, for each of the terms: what its work takes there,
 *     and what is free for it
 * @param used what the work of each of the terms takes of a machine; null if nothing
 */
public record ReservationView(
    List<ReservationDemand> demands,
    Map<String, Resources[]> reserved,
    Function<Machine, Resources[]> used) {
  public static final ReservationView NONE =
      new ReservationView(List.of(), Map.of(), machine -> null);

  /** One reservation, and how much is to be free for it. */
  public record ReservationDemand(Reservation reservation, List<FleetView.Headroom> headroom) {}

  /** What is held on a machine; null: on one of which nothing is known yet. */
  MachineReservation on(Machine machine) {
    Resources[] there = machine == null ? null : used.apply(machine);
    Resources[] kept = machine == null ? null : reserved.get(machine.name);
    return new MachineReservation(
        demands, there == null ? MachineReservation.none(demands.size()) : there, kept);
  }

  /** Something is held on the machine, or used by those who may hold it. */
  boolean concerns(Machine machine) {
    return reserved.containsKey(machine.name) || used.apply(machine) != null;
  }

  /** One of the terms serves the job, so that room for it is kept by them. */
  public boolean serves(JobSpec job) {
    for (ReservationDemand t : demands) {
      if (t.reservation.serves(job)) {
        return true;
      }
    }
    return false;
  }
}
