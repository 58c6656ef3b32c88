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

  void add(CandidateMachine candidate) {
    all.add(candidate);
    inZone.merge(candidate.zone, 1, Integer::sum);
    anySpot |= candidate.spot;
    if (!candidate.full()) {
      if (!candidate.gpusTaken()) {
        open(candidate).add(candidate);
      } else if (candidate.kind == CandidateMachine.Kind.READY) {
        bare.add(candidate);
      }
    }
  }

  void add(FleetView.Expected e, MachineType type) {
    for (int i = 0; type != null && i < e.number(); i++) {
      add(new CandidateMachine(CandidateMachine.Kind.COMING, null, type, e.zone(), e.spot()));
    }
  }

  private List<CandidateMachine> open(CandidateMachine candidate) {
    return switch (candidate.kind) {
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
    for (CandidateMachine candidate : all) {
      sum =
          sum.plus(
              new Resources(candidate.type.cpus(), candidate.type.gpus(), candidate.type.memGb()),
              1);
    }
    return sum;
  }

  /** Machines that are up and have room now or will have. */
  List<CandidateMachine> ready() {
    return ready;
  }

  /** A slot may have room again, since something there is to be stopped. */
  void reopen(CandidateMachine candidate) {
    if (!ready.contains(candidate)) {
      bare.remove(candidate);
      ready.add(candidate);
    }
  }

  int inZone(String zone) {
    return inZone.getOrDefault(zone, 0);
  }

  /** Slots with such room for this job, best first. */
  List<CandidateMachine> candidates(
      Room room,
      JobSpec spec,
      Predicate<CandidateMachine> allowed,
      ToDoubleFunction<CandidateMachine> score) {
    List<CandidateMachine> from = open(room);
    from.removeIf(this::filledUp);
    List<CandidateMachine> out = new ArrayList<>();
    if (spec.gpus() <= 0 && from == ready) {
      bare.removeIf(CandidateMachine::full);
      add(bare, out, room, spec, allowed, score);
    }
    add(from, out, room, spec, allowed, score);
    out.sort(Comparator.comparingDouble(candidate -> candidate.score));
    return out;
  }

  private boolean filledUp(CandidateMachine candidate) {
    if (candidate.full()) {
      return true;
    }
    if (candidate.gpusTaken() && candidate.kind == CandidateMachine.Kind.READY) {
      bare.add(candidate);
      return true;
    }
    return candidate.gpusTaken();
  }

  private static void add(
      List<CandidateMachine> from,
      List<CandidateMachine> out,
      Room room,
      JobSpec spec,
      Predicate<CandidateMachine> allowed,
      ToDoubleFunction<CandidateMachine> score) {
    for (CandidateMachine candidate : from) {
      if (candidate.count(spec, room == Room.FREEING) > 0
          && candidate.allows(spec)
          && GangAccumulation.lets(candidate, spec)
          && allowed.test(candidate)) {
        candidate.score = score.applyAsDouble(candidate);
        out.add(candidate);
      }
    }
  }

  /** What is held on each machine now. */
  Map<String, Resources[]> held() {
    Map<String, Resources[]> out = new HashMap<>();
    for (CandidateMachine candidate : all) {
      Resources[] total = candidate.hold == null ? null : candidate.hold.total();
      if (total != null) {
        out.put(candidate.machine.name, total);
      }
    }
    return out;
  }

  static CandidateMachine slot(Machine machine, double now) {
    if (machine.type == null
        || machine.zone == null
        || machine.deleting
        || machine.failed
        || machine.cordoned
        || machine.reclaimAt >= 0) {
      return null;
    }
    if (!machine.up()) {
      return now < machine.expectedUntil
          ? CandidateMachine.of(CandidateMachine.Kind.COMING, machine)
          : null;
    }
    return CandidateMachine.of(CandidateMachine.Kind.READY, machine);
  }

  static CandidateMachines of(
      Collection<Machine> machines, Predicate<Machine> usable, double now, ReservationView holds) {
    CandidateMachines out = new CandidateMachines();
    for (Machine machine : machines) {
      CandidateMachine candidate = slot(machine, now);
      if (candidate != null
          && (candidate.kind != CandidateMachine.Kind.READY || usable.test(machine))) {
        candidate.hold =
            candidate.kind == CandidateMachine.Kind.READY
                    && !candidate.spot
                    && holds.concerns(machine)
                ? holds.on(machine)
                : null;
        out.add(candidate);
      }
    }
    return out;
  }
}
