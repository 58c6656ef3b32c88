package io.embernotch.plan;

import io.embernotch.model.Attempt;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Shape;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * For live services only. Gangs of high priority once had arrays stopped as well, but guaranteed
 * arrays come before them in the order and took the room back, twenty times a second.
 */
final class Preemption {
  private final Slots slots;
  private final Plan plan;
  private final double now;
  private final Set<Attempt> stopped = Collections.newSetFromMap(new IdentityHashMap<>());

  Preemption(Slots slots, Plan plan, double now) {
    this.slots = slots;
    this.plan = plan;
    this.now = now;
  }

  /** Stops work of lower priority where that destroys least, for up to {@code wanted} tasks. */
  int makeRoom(JobSpec spec, int wanted, Zones zones, Predicate<Slot> allowed) {
    if (wanted <= 0) {
      return 0;
    }
    List<Slot> hosts = new ArrayList<>();
    for (Slot s : slots.all()) {
      if (s.kind != Slot.Kind.READY
          || s.least == null
          || s.least.compareTo(spec.priority()) >= 0
          || !s.allows(spec)
          || !allowed.test(s)
          || zones.room(s.zone) == 0) {
        continue;
      }
      List<Attempt> victims = victims(spec, s);
      if (victims != null) {
        s.score = s.fetchS(spec) + victims.stream().mapToDouble(this::lost).sum() / victims.size();
        hosts.add(s);
      }
    }
    hosts.sort(Comparator.comparingDouble(s -> s.score));
    int made = 0;
    for (Slot s : hosts) {
      while (made < wanted && zones.room(s.zone) > 0) {
        List<Attempt> victims = victims(spec, s);
        if (victims == null) {
          break;
        }
        for (Attempt a : victims) {
          stopped.add(a);
          s.willFree(a.job.spec);
          // A live service does not wait for others to save; they fall back to their last checkpoint.
          plan.stops.add(new Plan.Stop(a, 0, "room for " + spec.ref()));
        }
        s.take(spec, 1);
        s.claimed = true;
        slots.reopen(s);
        zones.put(s.zone, 1);
        made++;
      }
    }
    return made;
  }

  /** Seconds of progress that stopping this attempt loses or delays. */
  private double lost(Attempt a) {
    double ran = a.runningAt < 0 ? 0 : now - a.runningAt;
    return a.job.spec.checkpointS() > 0 ? Math.min(ran, a.job.spec.checkpointS() / 2) : ran;
  }

  /** What must go for one such task, or null if there is not enough of lower priority. */
  private List<Attempt> victims(JobSpec spec, Slot s) {
    List<Attempt> lower = new ArrayList<>();
    for (Attempt a : s.machine.open.values()) {
      if (!a.stopping && !stopped.contains(a) && a.job.spec.priority().compareTo(spec.priority()) < 0) {
        lower.add(a);
      }
    }
    lower.sort(
        Comparator.comparing((Attempt a) -> a.job.spec.priority())
            .thenComparing(a -> a.job.spec.shape() == Shape.GANG)
            .thenComparingDouble(this::lost));
    double cpus = s.cpus + s.freeingCpus;
    double gpus = s.gpus + s.freeingGpus;
    double mem = s.mem + s.freeingMem;
    List<Attempt> out = new ArrayList<>();
    for (Attempt a : lower) {
      if (!out.isEmpty() && cpus >= spec.cpus() && gpus >= spec.gpus() && mem >= spec.memGb()) {
        break;
      }
      out.add(a);
      cpus += a.job.spec.cpus();
      gpus += a.job.spec.gpus();
      mem += a.job.spec.memGb();
    }
    return !out.isEmpty() && cpus >= spec.cpus() && gpus >= spec.gpus() && mem >= spec.memGb() ? out : null;
  }
}
