package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.scheduling.CandidateMachines.Room;
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
  private static final double SLACK = 0.1;

  /** What is needed of the planner. */
  interface Host {
    /** Claims for {@code n} such tasks room that will be there; tells for how many. */
    int claimLater(JobSpec like, int n);

    /** Has lesser work stopped for {@code n} such tasks where no machine is to be had. */
    void restore(JobSpec like, int n, Reservation terms);
  }

  private final ReservationView holds;
  private final CandidateMachines slots;
  private final Host host;

  ReservationPlanner(ReservationView holds, CandidateMachines slots, Host host) {
    this.holds = holds;
    this.slots = slots;
    this.host = host;
  }

  void keep() {
    for (int i = 0; i < holds.terms().size(); i++) {
      ReservationView.Term t = holds.terms().get(i);
      Resources wanted = Resources.ZERO;
      for (FleetView.Headroom h : t.spare()) {
        keep(i, t.terms(), h);
        wanted = wanted.plus(Resources.of(h.like()), Math.ceil(h.count() * (1 + SLACK)) + 1);
      }
      giveUp(i, wanted);
    }
  }

  private void keep(int term, Reservation r, FleetView.Headroom h) {
    Resources unit = Resources.of(h.like());
    // What is held on a machine that is empty but for that keeps it from whole-machine work: it
    // moves where others are.
    int lacking = h.count() - heldFor(term, unit, h.count(), false);
    for (String zone : r.zones().keySet()) {
      int least = (int) Math.ceil(r.zones().get(zone) * h.count());
      lacking -=
          extend(
              term,
              r,
              h.like(),
              unit,
              Math.min(lacking, least - heldIn(term, unit, zone)),
              zone,
              true);
    }
    lacking -= extend(term, r, h.like(), unit, lacking, null, false);
    lacking -= heldFor(term, unit, lacking, true);
    lacking -= extend(term, r, h.like(), unit, lacking, null, true);
    if (lacking > 0) {
      lacking -= host.claimLater(h.like(), lacking);
    }
    if (lacking > 0 && r.fixed()) {
      host.restore(h.like(), lacking, r);
    }
  }

  /** How many such tasks what is held has room for now; the machines are claimed for that. */
  private int heldFor(int term, Resources unit, int most, boolean onEmpty) {
    int n = 0;
    for (CandidateMachine s : slots.all()) {
      if (s.hold != null
          && n < most
          && s.machine.openAttempts.isEmpty() == onEmpty
          && s.hold.free(term).holds(unit) > 0) {
        n += Math.min(s.hold.free(term).holds(unit), s.freeLater().holds(unit));
        s.claimed = true;
      }
    }
    return Math.max(0, Math.min(n, most));
  }

  private int heldIn(int term, Resources unit, String zone) {
    return slots.all().stream()
        .filter(s -> s.hold != null && s.zone.equals(zone))
        .mapToInt(s -> s.hold.free(term).holds(unit))
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
    for (CandidateMachine s :
        slots.candidates(
            Room.NOW,
            like,
            s ->
                !s.spot
                    && (emptyToo || !s.machine.openAttempts.isEmpty())
                    && r.allowsType(s.type.name())
                    && (zone == null || zone.equals(s.zone)),
            s -> -PlacementScore.PACK_S * s.used() - (s.machine == null ? 0 : s.machine.images.size()))) {
      int there = s.hold == null ? 0 : s.hold.free(term).holds(unit);
      int n = Math.min(s.count(like, false) - there, wanted - done);
      if (n > 0) {
        s.hold = s.hold == null ? holds.on(null) : s.hold;
        s.hold.extend(term, unit, n);
        s.claimed = true;
        done += n;
      }
      if (done == wanted) {
        break;
      }
    }
    return done;
  }

  private void giveUp(int term, Resources wanted) {
    List<CandidateMachine> held = new ArrayList<>();
    Resources all = Resources.ZERO;
    for (CandidateMachine s : slots.all()) {
      if (s.hold != null && !s.hold.free(term).isZero()) {
        held.add(s);
        all = all.plus(s.hold.free(term), 1);
      }
    }
    // What no task can use by itself is of no use to them either.
    held.sort(
        Comparator.comparing((CandidateMachine s) -> s.hold.filled(term)).thenComparingDouble(s -> s.used()));
    for (CandidateMachine s : held) {
      Resources left = all.less(s.hold.free(term));
      if (left.cpus() < wanted.cpus()
          || left.gpus() < wanted.gpus()
          || left.memGb() < wanted.memGb()) {
        continue;
      }
      s.hold.giveUp(term);
      all = left;
    }
  }
}
