package io.embernotch.scheduling;

import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * All machines of a plan. Those without any room are kept out of the way: on a busy fleet they are
 * nearly all, and looking at them again for each job made a plan cost machines times tasks. For the
 * same reason machines whose GPUs are all taken are shown only to jobs that need none.
 */
final class CandidateMachines {
  /** Room that a task can be given. */
  enum Room {
    /** On a machine that is up. */
    NOW,
    /** On a machine that is up, once what is being stopped there has ended. */
    FREEING,
    /** On a machine that is booting or asked for. */
    COMING,
    /** On a machine that this plan rents. */
    NEW
  }

  private final List<CandidateMachine> all = new ArrayList<>();
  private final List<CandidateMachine> ready = new ArrayList<>();

  /** Machines that are up and have room, but no GPU. */
  private final List<CandidateMachine> bare = new ArrayList<>();

  private final List<CandidateMachine> coming = new ArrayList<>();
  private final List<CandidateMachine> fresh = new ArrayList<>();
  private boolean anySpot;
  private final Map<String, Integer> inZone = new HashMap<>();

  /** There is a machine at the cheap price, up or coming. */
  boolean anySpot() {
    return anySpot;
  }

  void add(CandidateMachine s) {
    all.add(s);
    inZone.merge(s.zone, 1, Integer::sum);
    anySpot |= s.spot;
    if (!s.full()) {
      if (!s.gpusTaken()) {
        open(s).add(s);
      } else if (s.kind == CandidateMachine.Kind.READY) {
        bare.add(s);
      }
    }
  }

  void add(FleetView.Expected e, MachineType t) {
    for (int i = 0; t != null && i < e.number(); i++) {
      add(new CandidateMachine(CandidateMachine.Kind.COMING, null, t, e.zone(), e.spot()));
    }
  }

  private List<CandidateMachine> open(CandidateMachine s) {
    return switch (s.kind) {
      case READY -> ready;
      case COMING -> coming;
      case NEW -> fresh;
    };
  }

  private List<CandidateMachine> open(Room room) {
    return switch (room) {
      case NOW, FREEING -> ready;
      case COMING -> coming;
      case NEW -> fresh;
    };
  }

  List<CandidateMachine> all() {
    return all;
  }

  /** What all machines have together. */
  Resources together() {
    Resources sum = Resources.ZERO;
    for (CandidateMachine s : all) {
      sum = sum.plus(new Resources(s.type.cpus(), s.type.gpus(), s.type.memGb()), 1);
    }
    return sum;
  }

  /** Machines that are up and have room now or will have. */
  List<CandidateMachine> ready() {
    return ready;
  }

  /** A slot may have room again, since something there is to be stopped. */
  void reopen(CandidateMachine s) {
    if (!ready.contains(s)) {
      bare.remove(s);
      ready.add(s);
    }
  }

  int inZone(String zone) {
    return inZone.getOrDefault(zone, 0);
  }

  /** Slots with such room for this job, best first. */
  List<CandidateMachine> candidates(
      Room room, JobSpec spec, Predicate<CandidateMachine> allowed, ToDoubleFunction<CandidateMachine> score) {
    List<CandidateMachine> from = open(room);
    from.removeIf(this::filledUp);
    List<CandidateMachine> out = new ArrayList<>();
    if (spec.gpus() <= 0 && from == ready) {
      bare.removeIf(CandidateMachine::full);
      add(bare, out, room, spec, allowed, score);
    }
    add(from, out, room, spec, allowed, score);
    out.sort(Comparator.comparingDouble(s -> s.score));
    return out;
  }

  private boolean filledUp(CandidateMachine s) {
    if (s.full()) {
      return true;
    }
    if (s.gpusTaken() && s.kind == CandidateMachine.Kind.READY) {
      bare.add(s);
      return true;
    }
    return s.gpusTaken();
  }

  private static void add(
      List<CandidateMachine> from,
      List<CandidateMachine> out,
      Room room,
      JobSpec spec,
      Predicate<CandidateMachine> allowed,
      ToDoubleFunction<CandidateMachine> score) {
    for (CandidateMachine s : from) {
      if (s.count(spec, room == Room.FREEING) > 0
          && s.allows(spec)
          && GangAccumulation.lets(s, spec)
          && allowed.test(s)) {
        s.score = score.applyAsDouble(s);
        out.add(s);
      }
    }
  }

  /** What is held on each machine now. */
  Map<String, Resources[]> held() {
    Map<String, Resources[]> out = new HashMap<>();
    for (CandidateMachine s : all) {
      Resources[] total = s.hold == null ? null : s.hold.total();
      if (total != null) {
        out.put(s.machine.name, total);
      }
    }
    return out;
  }

  static CandidateMachine slot(Machine m, double now) {
    if (m.type == null
        || m.zone == null
        || m.deleting
        || m.failed
        || m.cordoned
        || m.reclaimAt >= 0) {
      return null;
    }
    if (!m.up()) {
      return now < m.expectedUntil ? CandidateMachine.of(CandidateMachine.Kind.COMING, m) : null;
    }
    return CandidateMachine.of(CandidateMachine.Kind.READY, m);
  }

  static CandidateMachines of(
      Collection<Machine> machines, Predicate<Machine> usable, double now, ReservationView holds) {
    CandidateMachines out = new CandidateMachines();
    for (Machine m : machines) {
      CandidateMachine s = slot(m, now);
      if (s != null && (s.kind != CandidateMachine.Kind.READY || usable.test(m))) {
        s.hold = s.kind == CandidateMachine.Kind.READY && !s.spot && holds.concerns(m) ? holds.on(m) : null;
        out.add(s);
      }
    }
    return out;
  }
}
