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
  enum Capacity {
    /** On a machine that is up. */
    FREE,
    /** On a machine that is up, once what is being stopped there has ended. */
    FREEING,
    /** On a machine that is booting or asked for. */
    BOOTING,
    /** On a machine that this plan rents. */
    SCALE_OUT
  }

  private final List<CandidateMachine> all = new ArrayList<>();
  private final List<CandidateMachine> upWithCapacity = new ArrayList<>();

  /** Machines that are up and have room, but no GPU. */
  private final List<CandidateMachine> withoutGpus = new ArrayList<>();

  private final List<CandidateMachine> booting = new ArrayList<>();
  private final List<CandidateMachine> scaledOut = new ArrayList<>();
  private boolean anySpot;
  private final Map<String, Integer> countByZone = new HashMap<>();

  /** There is a machine at the cheap price, up or coming. */
  boolean anySpot() {
    return anySpot;
  }

  void add(CandidateMachine candidate) {
    all.add(candidate);
    countByZone.merge(candidate.zone, 1, Integer::sum);
    anySpot |= candidate.spot;
    if (!candidate.full()) {
      if (!candidate.gpusTaken()) {
        open(candidate).add(candidate);
      } else if (candidate.state == CandidateMachine.State.UP) {
        withoutGpus.add(candidate);
      }
    }
  }

  void add(FleetView.Expected e, MachineType type) {
    for (int i = 0; type != null && i < e.number(); i++) {
      add(new CandidateMachine(CandidateMachine.State.BOOTING, null, type, e.zone(), e.spot()));
    }
  }

  private List<CandidateMachine> open(CandidateMachine candidate) {
    return switch (candidate.state) {
      case UP -> upWithCapacity;
      case BOOTING -> booting;
      case SCALE_OUT -> scaledOut;
    };
  }

  private List<CandidateMachine> open(Capacity room) {
    return switch (room) {
      case FREE, FREEING -> upWithCapacity;
      case BOOTING -> booting;
      case SCALE_OUT -> scaledOut;
    };
  }

  List<CandidateMachine> all() {
    return all;
  }

  /** What all machines have together. */
  Resources totalCapacity() {
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
  List<CandidateMachine> upWithCapacity() {
    return upWithCapacity;
  }

  /** A slot may have room again, since something there is to be stopped. */
  void reopen(CandidateMachine candidate) {
    if (!upWithCapacity.contains(candidate)) {
      withoutGpus.remove(candidate);
      upWithCapacity.add(candidate);
    }
  }

  int countByZone(String zone) {
    return countByZone.getOrDefault(zone, 0);
  }

  /** Slots with such room for this job, best first. */
  List<CandidateMachine> candidates(
      Capacity room,
      JobSpec spec,
      Predicate<CandidateMachine> allowed,
      ToDoubleFunction<CandidateMachine> score) {
    List<CandidateMachine> from = open(room);
    from.removeIf(this::noLongerOffered);
    List<CandidateMachine> out = new ArrayList<>();
    if (spec.gpus() <= 0 && from == upWithCapacity) {
      withoutGpus.removeIf(CandidateMachine::full);
      add(withoutGpus, out, room, spec, allowed, score);
    }
    add(from, out, room, spec, allowed, score);
    out.sort(Comparator.comparingDouble(candidate -> candidate.score));
    return out;
  }

  private boolean noLongerOffered(CandidateMachine candidate) {
    if (candidate.full()) {
      return true;
    }
    if (candidate.gpusTaken() && candidate.state == CandidateMachine.State.UP) {
      withoutGpus.add(candidate);
      return true;
    }
    return candidate.gpusTaken();
  }

  private static void add(
      List<CandidateMachine> from,
      List<CandidateMachine> out,
      Capacity room,
      JobSpec spec,
      Predicate<CandidateMachine> allowed,
      ToDoubleFunction<CandidateMachine> score) {
    for (CandidateMachine candidate : from) {
      if (candidate.taskCapacity(spec, room == Capacity.FREEING) > 0
          && candidate.allows(spec)
          && GangAccumulation.admits(candidate, spec)
          && allowed.test(candidate)) {
        candidate.score = score.applyAsDouble(candidate);
        out.add(candidate);
      }
    }
  }

  /** What is held on each machine now. */
  Map<String, Resources[]> reserved() {
    Map<String, Resources[]> out = new HashMap<>();
    for (CandidateMachine candidate : all) {
      Resources[] total =
          candidate.reservation == null ? null : candidate.reservation.totalReserved();
      if (total != null) {
        out.put(candidate.machine.name, total);
      }
    }
    return out;
  }

  static CandidateMachine candidate(Machine machine, double now) {
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
          ? CandidateMachine.of(CandidateMachine.State.BOOTING, machine)
          : null;
    }
    return CandidateMachine.of(CandidateMachine.State.UP, machine);
  }

  static CandidateMachines of(
      Collection<Machine> machines, Predicate<Machine> usable, double now, ReservationView holds) {
    CandidateMachines out = new CandidateMachines();
    for (Machine machine : machines) {
      CandidateMachine candidate = candidate(machine, now);
      if (candidate != null
          && (candidate.state != CandidateMachine.State.UP || usable.test(machine))) {
        candidate.reservation =
            candidate.state == CandidateMachine.State.UP
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
