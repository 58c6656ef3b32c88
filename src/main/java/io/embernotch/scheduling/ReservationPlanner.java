package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.scheduling.CandidateMachines.Capacity;
import io.embernotch.settings.Reservation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Keeps the wanted capacity free for each reservation. It uses, in this order: capacity that is
 * already reserved, so that reservations stay where they are; free capacity; capacity that is being
 * freed, booting or rented; and, for a reservation of a fixed amount if no machine can be rented,
 * capacity freed by preemption. Excess capacity is released only beyond a margin, and first on
 * machines that run no work of the reservation, so that machines become empty.
 */
final class ReservationPlanner {
  /**
   * Share of the wanted capacity that may stay reserved in excess, in addition to capacity for one
   * task.
   */
  private static final double RELEASE_MARGIN = 0.1;

  /** Claims capacity that is not free yet. */
  interface CapacityProvider {
    /**
     * Claims capacity that will be available later.
     *
     * @return for how many tasks like {@code sample}, at most {@code wanted}
     */
    int claimLater(JobSpec sample, int wanted);

    /** Preempts work of lower priority for {@code wanted} tasks if no machine can be rented. */
    void preemptFor(JobSpec sample, int wanted, Reservation reservation);
  }

  /**
   * Tasks that a reservation wants capacity for: its index, a sample job, and the resources of a
   * task.
   */
  private record Need(int index, Reservation reservation, JobSpec sample, Resources unit) {}

  private final ReservationView reservations;
  private final CandidateMachines candidates;
  private final CapacityProvider provider;

  ReservationPlanner(
      ReservationView reservations, CandidateMachines candidates, CapacityProvider provider) {
    this.reservations = reservations;
    this.candidates = candidates;
    this.provider = provider;
  }

  /** Reserves missing capacity for each reservation, and releases excess capacity. */
  void reserve() {
    for (int i = 0; i < reservations.demands().size(); i++) {
      ReservationView.ReservationDemand demand = reservations.demands().get(i);
      Resources wanted = Resources.ZERO;
      for (FleetView.Headroom headroom : demand.headroom()) {
        JobSpec sample = headroom.sample();
        Resources unit = Resources.of(sample);
        reserve(new Need(i, demand.reservation(), sample, unit), headroom.count());
        wanted = wanted.plus(unit, Math.ceil(headroom.count() * (1 + RELEASE_MARGIN)) + 1);
      }
      releaseExcess(i, wanted);
    }
  }

  private void reserve(Need need, int wanted) {
    Predicate<CandidateMachine> inUse = candidate -> !candidate.machine.openAttempts.isEmpty();
    // A reservation on an otherwise empty machine blocks work that needs whole machines. It moves
    // to machines that are in use.
    int lacking = wanted - reservedTasks(need, wanted, false);
    for (Map.Entry<String, Double> zoneShare : need.reservation.zones().entrySet()) {
      String zone = zoneShare.getKey();
      int least = (int) Math.ceil(zoneShare.getValue() * wanted);
      int lackingInZone = Math.min(lacking, least - reservedTasksInZone(need, zone));
      lacking -= reserveFree(need, lackingInZone, candidate -> zone.equals(candidate.zone));
    }
    lacking -= reserveFree(need, lacking, inUse);
    lacking -= reservedTasks(need, lacking, true);
    lacking -= reserveFree(need, lacking, candidate -> true);
    if (lacking > 0) {
      lacking -= provider.claimLater(need.sample, lacking);
    }
    if (lacking > 0 && need.reservation.fixed()) {
      provider.preemptFor(need.sample, lacking, need.reservation);
    }
  }

  /** For how many tasks capacity is reserved already; claims the machines that have it. */
  private int reservedTasks(Need need, int most, boolean onEmptyMachines) {
    int tasks = 0;
    for (CandidateMachine candidate : candidates.all()) {
      if (candidate.reservation != null
          && tasks < most
          && candidate.machine.openAttempts.isEmpty() == onEmptyMachines
          && freeTasks(need, candidate) > 0) {
        tasks += Math.min(freeTasks(need, candidate), candidate.unusedCapacity().count(need.unit));
        candidate.claim();
      }
    }
    return Math.max(0, Math.min(tasks, most));
  }

  private int reservedTasksInZone(Need need, String zone) {
    return candidates.all().stream()
        .filter(candidate -> candidate.reservation != null && candidate.zone.equals(zone))
        .mapToInt(candidate -> freeTasks(need, candidate))
        .sum();
  }

  private static int freeTasks(Need need, CandidateMachine candidate) {
    return candidate.reservation.free(need.index).count(need.unit);
  }

  /**
   * Reserves free capacity on ordinary machines, starting with the most utilized ones.
   *
   * @return for how many tasks
   */
  private int reserveFree(Need need, int wanted, Predicate<CandidateMachine> allowed) {
    if (wanted <= 0) {
      return 0;
    }
    int added = 0;
    for (CandidateMachine candidate :
        candidates.ranked(
            Capacity.FREE,
            need.sample,
            candidate ->
                !candidate.spot
                    && need.reservation.allowsType(candidate.type.name())
                    && allowed.test(candidate),
            PlacementScore::ofHeadroom)) {
      int reserved = candidate.reservation == null ? 0 : freeTasks(need, candidate);
      int tasks = Math.min(candidate.taskCapacity(need.sample, false) - reserved, wanted - added);
      if (tasks > 0) {
        candidate.reservation =
            candidate.reservation == null ? reservations.unreserved() : candidate.reservation;
        candidate.reservation.reserve(need.index, need.unit, tasks);
        candidate.claim();
        added += tasks;
      }
      if (added == wanted) {
        break;
      }
    }
    return added;
  }

  private void releaseExcess(int index, Resources wanted) {
    List<CandidateMachine> reserved = new ArrayList<>();
    Resources total = Resources.ZERO;
    for (CandidateMachine candidate : candidates.all()) {
      if (candidate.reservation != null && !candidate.reservation.free(index).isZero()) {
        reserved.add(candidate);
        total = total.plus(candidate.reservation.free(index), 1);
      }
    }
    reserved.sort(
        Comparator.comparing((CandidateMachine candidate) -> candidate.reservation.inUse(index))
            .thenComparingDouble(CandidateMachine::utilization));
    for (CandidateMachine candidate : reserved) {
      Resources left = total.minus(candidate.reservation.free(index));
      if (left.cpus() < wanted.cpus()
          || left.gpus() < wanted.gpus()
          || left.memGb() < wanted.memGb()) {
        continue;
      }
      candidate.reservation.release(index);
      total = left;
    }
  }
}
