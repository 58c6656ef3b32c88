package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineLoad;
import io.embernotch.model.Priority;
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
  private static final int MAX_SEARCHES = 8;

  /** The best of so many times the machines that are needed will do. */
  private static final int SUFFICIENT_FACTOR = 2;

  private final Settings settings;
  private final CandidateMachines candidates;
  private final SchedulingPlan plan;
  private final double now;
  private final Set<Attempt> preempted = Collections.newSetFromMap(new IdentityHashMap<>());
  private int searches;

  /** Machines that run what is beyond a guarantee; null until somebody asks. */
  private List<CandidateMachine> machinesBeyondGuarantee;

  Preemption(Settings settings, CandidateMachines slots, SchedulingPlan plan, double now) {
    this.settings = settings;
    this.candidates = slots;
    this.plan = plan;
    this.now = now;
  }

  /** Stops work of lower priority where that destroys least, for up to {@code wanted} tasks. */
  int preempt(
      JobSpec spec, int wanted, ZoneConstraints zones, Predicate<CandidateMachine> allowed) {
    // A live service does not wait for others to save; they fall back to their last checkpoint.
    return preempt(
        spec,
        wanted,
        zones,
        candidates.all(),
        candidate ->
            candidate.lowestPriority != null
                && candidate.lowestPriority.compareTo(spec.priority()) < 0
                && allowed.test(candidate),
        attempt -> attempt.job.spec.priority().compareTo(spec.priority()) < 0,
        attempt -> 0);
  }

  /**
   * Stops what others run beyond their guarantees, for up to {@code wanted} tasks of a job within
   * its team's.
   */
  int preemptBeyondGuarantee(Job job, int wanted, ZoneConstraints zones) {
    if (!job.withinGuarantee || ++searches > MAX_SEARCHES) {
      return 0;
    }
    if (machinesBeyondGuarantee == null) {
      machinesBeyondGuarantee =
          candidates.all().stream()
              .filter(
                  candidate ->
                      candidate.state == CandidateMachine.State.UP
                          && runsBeyondGuarantee(candidate))
              .toList();
    }
    return preempt(
        job.spec,
        wanted,
        zones,
        machinesBeyondGuarantee,
        candidate -> true,
        attempt -> preemptibleFor(attempt.job, job),
        attempt -> attempt.job.spec.checkpointS() > 0 ? attempt.job.spec.saveS() : 0);
  }

  private static boolean runsBeyondGuarantee(CandidateMachine candidate) {
    for (Attempt attempt : candidate.machine.openAttempts.values()) {
      if (!attempt.job.withinGuarantee && attempt.job.spec.priority() != Priority.PRODUCTION) {
        return true;
      }
    }
    return false;
  }

  private boolean preemptibleFor(Job other, Job job) {
    if (other.withinGuarantee
        || other.spec.priority() == Priority.PRODUCTION
        || other.spec.team().equals(job.spec.team())) {
      return false;
    }
    return settings.guest(other.spec.team())
        || other.spec.priority().compareTo(job.spec.priority()) < 0;
  }

  private int preempt(
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
    for (CandidateMachine candidate : from) {
      if (candidate.state != CandidateMachine.State.UP
          || !allowed.test(candidate)
          || !candidate.allows(spec)
          || zones.remaining(candidate.zone) == 0) {
        continue;
      }
      List<Attempt> victims = victims(spec, candidate, may);
      if (victims != null) {
        if (from == machinesBeyondGuarantee && hosts.size() > SUFFICIENT_FACTOR * wanted) {
          break;
        }
        candidate.score =
            candidate.fetchS(spec)
                + victims.stream().mapToDouble(this::lostS).sum() / victims.size();
        hosts.add(candidate);
      }
    }
    if (spec.shape() == JobShape.GANG
        && hosts.stream().mapToInt(candidate -> tasksAfterPreemption(spec, candidate, may)).sum()
            < wanted) {
      // All of it starts or none does: half of its room would be stopped for nothing.
      return 0;
    }
    hosts.sort(Comparator.comparingDouble(candidate -> candidate.score));
    int made = 0;
    for (CandidateMachine candidate : hosts) {
      while (made < wanted && zones.remaining(candidate.zone) > 0) {
        List<Attempt> victims = victims(spec, candidate, may);
        if (victims == null) {
          break;
        }
        for (Attempt attempt : victims) {
          preempted.add(attempt);
          candidate.addFreeing(attempt.job.spec);
          plan.stops.add(
              new SchedulingPlan.Stop(
                  attempt, graceS.applyAsDouble(attempt), "room for " + spec.ref()));
        }
        candidate.allocate(spec, 1);
        candidate.claimed = true;
        candidates.reopen(candidate);
        zones.add(candidate.zone, 1);
        made++;
      }
    }
    return made;
  }

  /** Seconds of progress that stopping this attempt loses or delays. */
  private double lostS(Attempt attempt) {
    double ran = attempt.runningAt < 0 ? 0 : now - attempt.runningAt;
    return attempt.job.spec.checkpointS() > 0
        ? Math.min(ran, attempt.job.spec.checkpointS() / 2)
        : ran;
  }

  /** What must go for one such task, and nothing besides; null if what may go is not enough. */
  private List<Attempt> victims(JobSpec spec, CandidateMachine candidate, Predicate<Attempt> may) {
    List<Attempt> out = new ArrayList<>();
    Resources kept = candidate.reservedAgainst(spec);
    double cpus = candidate.cpus + candidate.freeingCpus - spec.cpus() - kept.cpus();
    double gpus = candidate.gpus + candidate.freeingGpus - spec.gpus() - kept.gpus();
    double mem = candidate.memGb + candidate.freeingMemGb - spec.memGb() - kept.memGb();
    for (Attempt attempt : candidate.machine.openAttempts.values()) {
      if (!attempt.stopping && !preempted.contains(attempt) && may.test(attempt)) {
        out.add(attempt);
        cpus += attempt.job.spec.cpus();
        gpus += attempt.job.spec.gpus();
        mem += attempt.job.spec.memGb();
      }
    }
    if (out.isEmpty() || lacks(cpus, gpus, mem)) {
      return null;
    }
    // What is worth most is spared first; tiny tasks beside large ones mostly need not go.
    out.sort(
        Comparator.comparing((Attempt attempt) -> attempt.job.spec.priority())
            .thenComparing(attempt -> attempt.job.spec.shape() == JobShape.GANG)
            .thenComparingDouble(this::lostS));
    for (int i = out.size() - 1; i >= 0; i--) {
      JobSpec victim = out.get(i).job.spec;
      if (!lacks(cpus - victim.cpus(), gpus - victim.gpus(), mem - victim.memGb())) {
        cpus -= victim.cpus();
        gpus -= victim.gpus();
        mem -= victim.memGb();
        out.remove(i);
      }
    }
    return out.isEmpty() ? null : out;
  }

  /** How many such tasks there is room for once all that may go is gone. */
  private int tasksAfterPreemption(
      JobSpec spec, CandidateMachine candidate, Predicate<Attempt> may) {
    double share = Double.MAX_VALUE;
    MachineLoad there =
        new MachineLoad(
            candidate.machine.openAttempts.values().stream()
                .filter(
                    attempt ->
                        !attempt.stopping && !preempted.contains(attempt) && may.test(attempt))
                .toList());
    Resources kept = candidate.reservedAgainst(spec);
    share =
        Math.min(
            share,
            spec.cpus() <= 0
                ? share
                : (candidate.cpus + candidate.freeingCpus + there.cpus - kept.cpus())
                    / spec.cpus());
    share =
        Math.min(
            share,
            spec.gpus() <= 0
                ? share
                : (candidate.gpus + candidate.freeingGpus + there.gpus - kept.gpus())
                    / spec.gpus());
    share =
        Math.min(
            share,
            spec.memGb() <= 0
                ? share
                : (candidate.memGb + candidate.freeingMemGb + there.memGb - kept.memGb())
                    / spec.memGb());
    return (int) Math.floor(Math.max(0, share) + EPS);
  }

  static boolean lacks(double cpus, double gpus, double mem) {
    return cpus < -EPS || gpus < -EPS || mem < -EPS;
  }
}
