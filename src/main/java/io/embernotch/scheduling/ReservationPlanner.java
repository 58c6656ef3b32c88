package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.scheduling.CandidateMachines.Capacity;
import io.embernotch.settings.Reservation;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Keeps as much free for each reservation as it is to have. What is held already comes first, so
 * that it stays where it is; then room that nobody uses; then what is coming free, booting, or
 * rented; last, for one that is given as an amount and where no machine is to be had, what lesser
 * work has to leave. Too much is given up only from a margin on, and first where nothing of the
 * reservation's work runs, so that machines come free.
 */
final class ReservationPlanner {
  /** So much more than is wanted may stay held, and a task's room. */
  private static final double RELEASE_MARGIN = 0.1;

  /** What is needed of the planner. */
  interface Host {
    /** Claims for {@code n} such tasks room that will be there; tells for how many. */
    int claimLater(JobSpec like, int n);

    /** Has lesser work stopped for {@code n} such tasks where no machine is to be had. */
    void preemptFor(JobSpec like, int n, Reservation terms);
  }

  private final ReservationView reservations;
  private final CandidateMachines candidates;
  private final Host host;

  ReservationPlanner(ReservationView holds, CandidateMachines slots, Host host) {
    this.reservations = holds;
    this.candidates = slots;
    this.host = host;
  }

  void reserve() {
    for (int i = 0; i < reservations.demands().size(); i++) {
      ReservationView.ReservationDemand t = reservations.demands().get(i);
      Resources wanted = Resources.ZERO;
      for (FleetView.Headroom h : t.headroom()) {
        reserve(i, t.reservation(), h);
        wanted =
            wanted.plus(Resources.of(h.like()), Math.ceil(h.count() * (1 + RELEASE_MARGIN)) + 1);
      }
      releaseExcess(i, wanted);
    }
  }

  private void reserve(int term, Reservation r, FleetView.Headroom h) {
    Resources unit = Resources.of(h.like());
    // What is held on a machine that is empty but for that keeps it from whole-machine work: it
    // moves where others are.
    int lacking = h.count() - reservedTasks(term, unit, h.count(), false);
    for (String zone : r.zones().keySet()) {
      int least = (int) Math.ceil(r.zones().get(zone) * h.count());
      lacking -=
          extend(
              term,
              r,
              h.like(),
              unit,
              Math.min(lacking, least - reservedTasksInZone(term, unit, zone)),
              zone,
              true);
    }
    lacking -= extend(term, r, h.like(), unit, lacking, null, false);
    lacking -= reservedTasks(term, unit, lacking, true);
    lacking -= extend(term, r, h.like(), unit, lacking, null, true);
    if (lacking > 0) {
      lacking -= host.claimLater(h.like(), lacking);
    }
    if (lacking > 0 && r.fixed()) {
      host.preemptFor(h.like(), lacking, r);
    }
  }

  /** How many such tasks what is held has room for now; the machines are claimed for that. */
  private int reservedTasks(int term, Resources unit, int most, boolean onEmpty) {
    int n = 0;
    for (CandidateMachine candidate : candidates.all()) {
      if (candidate.reservation != null
          && n < most
          && candidate.machine.openAttempts.isEmpty() == onEmpty
          && candidate.reservation.free(term).count(unit) > 0) {
        n +=
            Math.min(
                candidate.reservation.free(term).count(unit),
                candidate.unusedCapacity().count(unit));
        candidate.claimed = true;
      }
    }
    return Math.max(0, Math.min(n, most));
  }

  private int reservedTasksInZone(int term, Resources unit, String zone) {
    return candidates.all().stream()
        .filter(candidate -> candidate.reservation != null && candidate.zone.equals(zone))
        .mapToInt(candidate -> candidate.reservation.free(term).count(unit))
        .sum();
  }

  /** Holds room that is free, where most is in use already; tells for how many tasks. */
  private int extend(
      int term,
      Reservation r,
      JobSpec like,
      Resources unit,
      int wanted,
      String zone,
      boolean emptyToo) {
    int done = 0;
    if (wanted <= 0) {
      return 0;
    }
    for (CandidateMachine candidate :
        candidates.candidates(
            Capacity.FREE,
            like,
            candidate ->
                !candidate.spot
                    && (emptyToo || !candidate.machine.openAttempts.isEmpty())
                    && r.allowsType(candidate.type.name())
                    && (zone == null || zone.equals(candidate.zone)),
            candidate ->
                -PlacementScore.PACKING_WEIGHT_S * candidate.utilization()
                    - (candidate.machine == null ? 0 : candidate.machine.images.size()))) {
      int there = candidate.reservation == null ? 0 : candidate.reservation.free(term).count(unit);
      int n = Math.min(candidate.taskCapacity(like, false) - there, wanted - done);
      if (n > 0) {
        candidate.reservation =
            candidate.reservation == null ? reservations.on(null) : candidate.reservation;
        candidate.reservation.extend(term, unit, n);
        candidate.claimed = true;
        done += n;
      }
      if (done == wanted) {
        break;
      }
    }
    return done;
  }

  private void releaseExcess(int term, Resources wanted) {
    List<CandidateMachine> held = new ArrayList<>();
    Resources all = Resources.ZERO;
    for (CandidateMachine candidate : candidates.all()) {
      if (candidate.reservation != null && !candidate.reservation.free(term).isZero()) {
        held.add(candidate);
        all = all.plus(candidate.reservation.free(term), 1);
      }
    }
    // What no task can use by itself is of no use to them either.
    held.sort(
        Comparator.comparing((CandidateMachine candidate) -> candidate.reservation.inUse(term))
            .thenComparingDouble(candidate -> candidate.utilization()));
    for (CandidateMachine candidate : held) {
      Resources left = all.minus(candidate.reservation.free(term));
      if (left.cpus() < wanted.cpus()
          || left.gpus() < wanted.gpus()
          || left.memGb() < wanted.memGb()) {
        continue;
      }
      candidate.reservation.release(term);
      all = left;
    }
  }
}
