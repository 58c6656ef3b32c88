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
 * All machines that a plan may use. Machines without free capacity are excluded from the searches:
 * on a busy fleet they are nearly all, and the cost of looking at them for each job would be
 * machines times tasks. For the same reason, machines whose GPUs are all taken are searched only
 * for jobs that need none.
 */
final class CandidateMachines {
  /** The kinds of capacity that a task can be allocated. */
  enum Capacity {
    /** Free on a machine that is up. */
    FREE,
    /** On a machine that is up, including what is being freed there. */
    FREEING,
    /** On a machine that is booting or requested. */
    BOOTING,
    /** On a machine that this plan rents. */
    SCALE_OUT
  }

  private final List<CandidateMachine> all = new ArrayList<>();
  private final List<CandidateMachine> upWithCapacity = new ArrayList<>();

  /** Machines that are up and have capacity, but no free GPUs. */
  private final List<CandidateMachine> upWithoutFreeGpus = new ArrayList<>();

  private final List<CandidateMachine> booting = new ArrayList<>();
  private final List<CandidateMachine> scaledOut = new ArrayList<>();
  private final Map<String, Integer> countByZone = new HashMap<>();
  private boolean anySpot;

  /** Creates candidates for the usable machines of the fleet, with their reservations. */
  static CandidateMachines of(
      Collection<Machine> machines,
      Predicate<Machine> usable,
      double now,
      ReservationView reservations) {
    CandidateMachines candidates = new CandidateMachines();
    for (Machine machine : machines) {
      CandidateMachine candidate = candidate(machine, now);
      if (candidate == null) {
        continue;
      }
      boolean up = candidate.state == CandidateMachine.State.UP;
      if (!up || usable.test(machine)) {
        candidate.reservation =
            up && !candidate.spot && reservations.affects(machine)
                ? reservations.on(machine)
                : null;
        candidates.add(candidate);
      }
    }
    return candidates;
  }

  /** A machine as a candidate; null if it may take no new work. */
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

  /** Whether there is a spot machine, up or booting. */
  boolean anySpot() {
    return anySpot;
  }

  /** Adds a machine of the fleet, or one that this plan rents. */
  void add(CandidateMachine candidate) {
    all.add(candidate);
    countByZone.merge(candidate.zone, 1, Integer::sum);
    anySpot |= candidate.spot;
    if (!candidate.full()) {
      if (!candidate.gpusTaken()) {
        offered(candidate.state).add(candidate);
      } else if (candidate.state == CandidateMachine.State.UP) {
        upWithoutFreeGpus.add(candidate);
      }
    }
  }

  /**
   * Adds machines that a rental request in flight may provide; none if {@code type} is null
   * (unknown).
   */
  void add(FleetView.Expected expected, MachineType type) {
    for (int i = 0; type != null && i < expected.number(); i++) {
      add(
          new CandidateMachine(
              CandidateMachine.State.BOOTING, null, type, expected.zone(), expected.spot()));
    }
  }

  private List<CandidateMachine> offered(CandidateMachine.State state) {
    return switch (state) {
      case UP -> upWithCapacity;
      case BOOTING -> booting;
      case SCALE_OUT -> scaledOut;
    };
  }

  private List<CandidateMachine> offered(Capacity capacity) {
    return switch (capacity) {
      case FREE, FREEING -> upWithCapacity;
      case BOOTING -> booting;
      case SCALE_OUT -> scaledOut;
    };
  }

  List<CandidateMachine> all() {
    return all;
  }

  /** Whether any machine accumulates capacity for a gang. */
  boolean anyAccumulating() {
    return all.stream().anyMatch(CandidateMachine::isAccumulating);
  }

  /** Total capacity of all machines, used or free. */
  Resources totalCapacity() {
    Resources total = Resources.ZERO;
    for (CandidateMachine candidate : all) {
      MachineType type = candidate.type;
      total = total.plus(new Resources(type.cpus(), type.gpus(), type.memGb()), 1);
    }
    return total;
  }

  /**
   * Includes a machine in the searches again: attempts on it are to be stopped, which frees
   * capacity.
   */
  void offerAgain(CandidateMachine candidate) {
    if (!upWithCapacity.contains(candidate)) {
      upWithoutFreeGpus.remove(candidate);
      upWithCapacity.add(candidate);
    }
  }

  /** Number of machines in the zone. */
  int inZone(String zone) {
    return countByZone.getOrDefault(zone, 0);
  }

  /**
   * Machines with this kind of capacity for the job, best first; the order of equal ones is stable.
   */
  List<CandidateMachine> ranked(
      Capacity capacity,
      JobSpec spec,
      Predicate<CandidateMachine> allowed,
      ToDoubleFunction<CandidateMachine> score) {
    List<CandidateMachine> offered = offered(capacity);
    offered.removeIf(this::noLongerOffered);
    List<CandidateMachine> ranked = new ArrayList<>();
    if (spec.gpus() <= 0 && offered == upWithCapacity) {
      upWithoutFreeGpus.removeIf(CandidateMachine::full);
      addMatching(upWithoutFreeGpus, ranked, capacity, spec, allowed, score);
    }
    addMatching(offered, ranked, capacity, spec, allowed, score);
    ranked.sort(Comparator.comparingDouble(candidate -> candidate.score));
    return ranked;
  }

  private boolean noLongerOffered(CandidateMachine candidate) {
    if (candidate.full()) {
      return true;
    }
    if (candidate.gpusTaken() && candidate.state == CandidateMachine.State.UP) {
      upWithoutFreeGpus.add(candidate);
      return true;
    }
    return candidate.gpusTaken();
  }

  private static void addMatching(
      List<CandidateMachine> from,
      List<CandidateMachine> matching,
      Capacity capacity,
      JobSpec spec,
      Predicate<CandidateMachine> allowed,
      ToDoubleFunction<CandidateMachine> score) {
    for (CandidateMachine candidate : from) {
      if (candidate.taskCapacity(spec, capacity == Capacity.FREEING) > 0
          && candidate.allows(spec)
          && candidate.admits(spec)
          && allowed.test(candidate)) {
        candidate.score = score.applyAsDouble(candidate);
        matching.add(candidate);
      }
    }
  }

  /** Amounts reserved after this plan, by machine name, without machines on which nothing is. */
  Map<String, ReservationAmounts> reserved() {
    Map<String, ReservationAmounts> reserved = new HashMap<>();
    for (CandidateMachine candidate : all) {
      if (candidate.reservation != null) {
        candidate
            .reservation
            .totalReserved()
            .ifPresent(total -> reserved.put(candidate.machine.name, total));
      }
    }
    return reserved;
  }
}
