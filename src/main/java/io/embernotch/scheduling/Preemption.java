package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineLoad;
import io.embernotch.model.Priority;
import io.embernotch.model.JobShape;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Who is stopped for whom. Live services have any work of lower priority stopped. What is within
 * its team's guarantee and finds no machine to be had has work stopped that others run beyond
 * theirs: all of teams without any guarantee, else what is of lower priority. A guest's array that
 * had filled every machine once kept guaranteed gangs waiting for minutes, since single places came
 * free and whole machines never did.
 *
 * <p>Gangs of high priority once had any arrays stopped as well, but guaranteed arrays come before
 * them in the order and took the room back, twenty times a second. What is guaranteed is never
 * stopped for them now, and what is not comes behind them.
 */
final class Preemption {
  private static final double EPS = 1e-6;

  /**
   * Looking through all machines costs time, so a few jobs a plan may; there are several plans a
   * second.
   */
  private static final int MOST_LOOKS = 8;

  /** The best of so many times the machines that are needed will do. */
  private static final int ENOUGH = 2;

  private final Settings settings;
  private final CandidateMachines slots;
  private final SchedulingPlan plan;
  private final double now;
  private final Set<Attempt> stopped = Collections.newSetFromMap(new IdentityHashMap<>());
  private int looks;

  /** Machines that run what is beyond a guarantee; null until somebody asks. */
  private List<CandidateMachine> lenders;

  Preemption(Settings settings, CandidateMachines slots, SchedulingPlan plan, double now) {
    this.settings = settings;
    this.slots = slots;
    this.plan = plan;
    this.now = now;
  }

  /** Stops work of lower priority where that destroys least, for up to {@code wanted} tasks. */
  int makeRoom(JobSpec spec, int wanted, ZoneConstraints zones, Predicate<CandidateMachine> allowed) {
    // A live service does not wait for others to save; they fall back to their last checkpoint.
    return makeRoom(
        spec,
        wanted,
        zones,
        slots.all(),
        s -> s.least != null && s.least.compareTo(spec.priority()) < 0 && allowed.test(s),
        a -> a.job.spec.priority().compareTo(spec.priority()) < 0,
        a -> 0);
  }

  /**
   * Stops what others run beyond their guarantees, for up to {@code wanted} tasks of a job within
   * its team's.
   */
  int giveGuarantee(Job job, int wanted, ZoneConstraints zones) {
    if (!job.withinGuarantee || ++looks > MOST_LOOKS) {
      return 0;
    }
    if (lenders == null) {
      lenders =
          slots.all().stream().filter(s -> s.kind == CandidateMachine.Kind.READY && runsBeyond(s)).toList();
    }
    return makeRoom(
        job.spec,
        wanted,
        zones,
        lenders,
        s -> true,
        a -> beyond(a.job, job),
        a -> a.job.spec.checkpointS() > 0 ? a.job.spec.saveS() : 0);
  }

  private static boolean runsBeyond(CandidateMachine s) {
    for (Attempt a : s.machine.openAttempts.values()) {
      if (!a.job.withinGuarantee && a.job.spec.priority() != Priority.PRODUCTION) {
        return true;
      }
    }
    return false;
  }

  private boolean beyond(Job other, Job job) {
    if (other.withinGuarantee
        || other.spec.priority() == Priority.PRODUCTION
        || other.spec.team().equals(job.spec.team())) {
      return false;
    }
    return settings.guest(other.spec.team())
        || other.spec.priority().compareTo(job.spec.priority()) < 0;
  }

  private int makeRoom(
      JobSpec spec,
      int wanted,
      ZoneConstraints zones,
      List<CandidateMachine> from,
      Predicate<CandidateMachine> allowed,
      Predicate<Attempt> may,
      ToDoubleFunction<Attempt> graceS) {
    if (wanted <= 0) {
      return 0;
    }
    List<CandidateMachine> hosts = new ArrayList<>();
    for (CandidateMachine s : from) {
      if (s.kind != CandidateMachine.Kind.READY
          || !allowed.test(s)
          || !s.allows(spec)
          || zones.room(s.zone) == 0) {
        continue;
      }
      List<Attempt> victims = victims(spec, s, may);
      if (victims != null) {
        if (from == lenders && hosts.size() > ENOUGH * wanted) {
          break;
        }
        s.score = s.fetchS(spec) + victims.stream().mapToDouble(this::lost).sum() / victims.size();
        hosts.add(s);
      }
    }
    if (spec.shape() == JobShape.GANG
        && hosts.stream().mapToInt(s -> most(spec, s, may)).sum() < wanted) {
      // All of it starts or none does: half of its room would be stopped for nothing.
      return 0;
    }
    hosts.sort(Comparator.comparingDouble(s -> s.score));
    int made = 0;
    for (CandidateMachine s : hosts) {
      while (made < wanted && zones.room(s.zone) > 0) {
        List<Attempt> victims = victims(spec, s, may);
        if (victims == null) {
          break;
        }
        for (Attempt a : victims) {
          stopped.add(a);
          s.willFree(a.job.spec);
          plan.stops.add(new SchedulingPlan.Stop(a, graceS.applyAsDouble(a), "room for " + spec.ref()));
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

  /** What must go for one such task, and nothing besides; null if what may go is not enough. */
  private List<Attempt> victims(JobSpec spec, CandidateMachine s, Predicate<Attempt> may) {
    List<Attempt> out = new ArrayList<>();
    Resources kept = s.keptFrom(spec);
    double cpus = s.cpus + s.freeingCpus - spec.cpus() - kept.cpus();
    double gpus = s.gpus + s.freeingGpus - spec.gpus() - kept.gpus();
    double mem = s.mem + s.freeingMem - spec.memGb() - kept.memGb();
    for (Attempt a : s.machine.openAttempts.values()) {
      if (!a.stopping && !stopped.contains(a) && may.test(a)) {
        out.add(a);
        cpus += a.job.spec.cpus();
        gpus += a.job.spec.gpus();
        mem += a.job.spec.memGb();
      }
    }
    if (out.isEmpty() || lacks(cpus, gpus, mem)) {
      return null;
    }
    // What is worth most is spared first; tiny tasks beside large ones mostly need not go.
    out.sort(
        Comparator.comparing((Attempt a) -> a.job.spec.priority())
            .thenComparing(a -> a.job.spec.shape() == JobShape.GANG)
            .thenComparingDouble(this::lost));
    for (int i = out.size() - 1; i >= 0; i--) {
      JobSpec j = out.get(i).job.spec;
      if (!lacks(cpus - j.cpus(), gpus - j.gpus(), mem - j.memGb())) {
        cpus -= j.cpus();
        gpus -= j.gpus();
        mem -= j.memGb();
        out.remove(i);
      }
    }
    return out.isEmpty() ? null : out;
  }

  /** How many such tasks there is room for once all that may go is gone. */
  private int most(JobSpec spec, CandidateMachine s, Predicate<Attempt> may) {
    double share = Double.MAX_VALUE;
    MachineLoad there =
        new MachineLoad(
            s.machine.openAttempts.values().stream()
                .filter(a -> !a.stopping && !stopped.contains(a) && may.test(a))
                .toList());
    Resources kept = s.keptFrom(spec);
    share =
        Math.min(
            share,
            spec.cpus() <= 0
                ? share
                : (s.cpus + s.freeingCpus + there.cpus - kept.cpus()) / spec.cpus());
    share =
        Math.min(
            share,
            spec.gpus() <= 0
                ? share
                : (s.gpus + s.freeingGpus + there.gpus - kept.gpus()) / spec.gpus());
    share =
        Math.min(
            share,
            spec.memGb() <= 0
                ? share
                : (s.mem + s.freeingMem + there.memGb - kept.memGb()) / spec.memGb());
    return (int) Math.floor(Math.max(0, share) + EPS);
  }

  static boolean lacks(double cpus, double gpus, double mem) {
    return cpus < -EPS || gpus < -EPS || mem < -EPS;
  }
}
