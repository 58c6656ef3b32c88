package io.embernotch.plan;

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
final class Slots {
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

  private final List<Slot> all = new ArrayList<>();
  private final List<Slot> ready = new ArrayList<>();

  /** Machines that are up and have room, but no GPU. */
  private final List<Slot> bare = new ArrayList<>();

  private final List<Slot> coming = new ArrayList<>();
  private final List<Slot> fresh = new ArrayList<>();
  private boolean anySpot;
  private final Map<String, Integer> inZone = new HashMap<>();

  /** There is a machine at the cheap price, up or coming. */
  boolean anySpot() {
    return anySpot;
  }

  void add(Slot s) {
    all.add(s);
    inZone.merge(s.zone, 1, Integer::sum);
    anySpot |= s.spot;
    if (!s.full()) {
      if (!s.gpusTaken()) {
        open(s).add(s);
      } else if (s.kind == Slot.Kind.READY) {
        bare.add(s);
      }
    }
  }

  void add(Fleet.Expected e, MachineType t) {
    for (int i = 0; t != null && i < e.number(); i++) {
      add(new Slot(Slot.Kind.COMING, null, t, e.zone(), e.spot()));
    }
  }

  private List<Slot> open(Slot s) {
    return switch (s.kind) {
      case READY -> ready;
      case COMING -> coming;
      case NEW -> fresh;
    };
  }

  private List<Slot> open(Room room) {
    return switch (room) {
      case NOW, FREEING -> ready;
      case COMING -> coming;
      case NEW -> fresh;
    };
  }

  List<Slot> all() {
    return all;
  }

  /** What all machines have together. */
  Amount together() {
    Amount sum = Amount.ZERO;
    for (Slot s : all) {
      sum = sum.plus(new Amount(s.type.cpus(), s.type.gpus(), s.type.memGb()), 1);
    }
    return sum;
  }

  /** Machines that are up and have room now or will have. */
  List<Slot> ready() {
    return ready;
  }

  /** A slot may have room again, since something there is to be stopped. */
  void reopen(Slot s) {
    if (!ready.contains(s)) {
      bare.remove(s);
      ready.add(s);
    }
  }

  int inZone(String zone) {
    return inZone.getOrDefault(zone, 0);
  }

  /** Slots with such room for this job, best first. */
  List<Slot> candidates(
      Room room, JobSpec spec, Predicate<Slot> allowed, ToDoubleFunction<Slot> score) {
    List<Slot> from = open(room);
    from.removeIf(this::filledUp);
    List<Slot> out = new ArrayList<>();
    if (spec.gpus() <= 0 && from == ready) {
      bare.removeIf(Slot::full);
      add(bare, out, room, spec, allowed, score);
    }
    add(from, out, room, spec, allowed, score);
    out.sort(Comparator.comparingDouble(s -> s.score));
    return out;
  }

  private boolean filledUp(Slot s) {
    if (s.full()) {
      return true;
    }
    if (s.gpusTaken() && s.kind == Slot.Kind.READY) {
      bare.add(s);
      return true;
    }
    return s.gpusTaken();
  }

  private static void add(
      List<Slot> from,
      List<Slot> out,
      Room room,
      JobSpec spec,
      Predicate<Slot> allowed,
      ToDoubleFunction<Slot> score) {
    for (Slot s : from) {
      if (s.count(spec, room == Room.FREEING) > 0
          && s.allows(spec)
          && Gathering.lets(s, spec)
          && allowed.test(s)) {
        s.score = score.applyAsDouble(s);
        out.add(s);
      }
    }
  }

  /** What is held on each machine now. */
  Map<String, Amount[]> held() {
    Map<String, Amount[]> out = new HashMap<>();
    for (Slot s : all) {
      Amount[] total = s.hold == null ? null : s.hold.total();
      if (total != null) {
        out.put(s.machine.name, total);
      }
    }
    return out;
  }

  static Slot slot(Machine m, double now) {
    if (m.type == null
        || m.zone == null
        || m.deleting
        || m.failed
        || m.cordoned
        || m.recallAt >= 0) {
      return null;
    }
    if (!m.up()) {
      return now < m.countUntil ? Slot.of(Slot.Kind.COMING, m) : null;
    }
    return Slot.of(Slot.Kind.READY, m);
  }

  static Slots of(
      Collection<Machine> machines, Predicate<Machine> usable, double now, Holds holds) {
    Slots out = new Slots();
    for (Machine m : machines) {
      Slot s = slot(m, now);
      if (s != null && (s.kind != Slot.Kind.READY || usable.test(m))) {
        s.hold = s.kind == Slot.Kind.READY && !s.spot && holds.concerns(m) ? holds.on(m) : null;
        out.add(s);
      }
    }
    return out;
  }
}
