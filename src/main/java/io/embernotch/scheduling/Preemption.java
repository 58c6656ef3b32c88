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
 * Chooses the attempts that are stopped for other jobs. Production jobs preempt any work of lower
 * priority. A job that is within its team's guarantee and for which no machine can be rented
 * preempts work of other teams that is beyond their guarantees: any such work of a team without a
 * guarantee, and work of lower priority of the others. Without that, an array of a team without a
 * guarantee that fills every machine keeps guaranteed gangs waiting: its tasks end one by one, and
 * a whole machine never becomes free.
 *
 * <p>Work within a guarantee is never preempted for gangs of high priority: it precedes them in
 * {@link JobOrdering}, so that it would take the capacity back in the next plan, again and again.
 * Work beyond a guarantee follows them.
 */
final class Preemption {
  /**
   * Most jobs of a plan that may search for work beyond guarantees. A search looks at many
   * machines, and there are several plans a second.
   */
  private static final int MAX_SEARCHES = 8;

  /** A search may end once it has found more than this many machines for each wanted task. */
  private static final int SUFFICIENT_FACTOR = 2;

  /**
   * A search for capacity for {@code wanted} tasks.
   *
   * @param machines the machines to search
   * @param allowed which of them may be used
   * @param preemptible which attempts may be stopped
   * @param graceS seconds that an attempt gets to save its progress
   * @param endsWhenSufficient whether the search may end before it has looked at all machines
   */
  private record Search(
      JobSpec spec,
      int wanted,
      ZoneConstraints zones,
      List<CandidateMachine> machines,
      Predicate<CandidateMachine> allowed,
      Predicate<Attempt> preemptible,
      ToDoubleFunction<Attempt> graceS,
      boolean endsWhenSufficient) {}

  private final Settings settings;
  private final CandidateMachines candidates;
  private final SchedulingPlanBuilder plan;
  private final double now;
  private final Set<Attempt> preempted = Collections.newSetFromMap(new IdentityHashMap<>());
  private int searches;

  /** Machines that run work beyond a guarantee; null until first needed. */
  private List<CandidateMachine> machinesBeyondGuarantee;

  Preemption(
      Settings settings, CandidateMachines candidates, SchedulingPlanBuilder plan, double now) {
    this.settings = settings;
    this.candidates = candidates;
    this.plan = plan;
    this.now = now;
  }

  /**
   * Preempts work of lower priority where that loses the least progress.
   *
   * @return for how many tasks capacity has been claimed, at most {@code wanted}
   */
  int preempt(
      JobSpec spec, int wanted, ZoneConstraints zones, Predicate<CandidateMachine> allowed) {
    // Production jobs do not wait until preempted work is saved; it resumes from its last
    // checkpoint.
    return preempt(
        new Search(
            spec,
            wanted,
            zones,
            candidates.all(),
            candidate ->
                candidate.runsLowerPriorityThan(spec.priority()) && allowed.test(candidate),
            attempt -> attempt.job.spec.priority().compareTo(spec.priority()) < 0,
            attempt -> 0,
            false));
  }

  /**
   * Preempts work of other teams beyond their guarantees, for a job within its team's guarantee.
   *
   * @return for how many tasks capacity has been claimed, at most {@code wanted}
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
        new Search(
            job.spec,
            wanted,
            zones,
            machinesBeyondGuarantee,
            candidate -> true,
            attempt -> preemptibleFor(attempt.job, job),
            attempt -> attempt.job.spec.checkpointS() > 0 ? attempt.job.spec.saveS() : 0,
            true));
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

  private int preempt(Search search) {
    if (search.wanted <= 0) {
      return 0;
    }
    List<CandidateMachine> hosts = findHosts(search);
    if (search.spec.shape() == JobShape.GANG
        && hosts.stream().mapToInt(host -> tasksAfterPreemption(search, host)).sum()
            < search.wanted) {
      // A gang starts as a whole, so preempting for a part of it is useless.
      return 0;
    }
    hosts.sort(Comparator.comparingDouble(candidate -> candidate.score));
    int claimed = 0;
    for (CandidateMachine host : hosts) {
      claimed += preemptOn(host, search, search.wanted - claimed);
    }
    return claimed;
  }

  /**
   * The machines where preemption frees capacity for a task, scored by fetch time and lost
   * progress.
   */
  private List<CandidateMachine> findHosts(Search search) {
    List<CandidateMachine> hosts = new ArrayList<>();
    for (CandidateMachine candidate : search.machines) {
      if (candidate.state != CandidateMachine.State.UP
          || !search.allowed.test(candidate)
          || !candidate.allows(search.spec)
          || search.zones.remaining(candidate.zone) == 0) {
        continue;
      }
      List<Attempt> victims = victims(search, candidate);
      if (victims.isEmpty()) {
        continue;
      }
      if (search.endsWhenSufficient && hosts.size() > SUFFICIENT_FACTOR * search.wanted) {
        break;
      }
      candidate.score =
          candidate.fetchS(search.spec)
              + victims.stream().mapToDouble(this::lostS).sum() / victims.size();
      hosts.add(candidate);
    }
    return hosts;
  }

  /** Preempts attempts on one machine for up to {@code wanted} tasks; returns for how many. */
  private int preemptOn(CandidateMachine host, Search search, int wanted) {
    JobSpec spec = search.spec;
    int claimed = 0;
    while (claimed < wanted && search.zones.remaining(host.zone) > 0) {
      List<Attempt> victims = victims(search, host);
      if (victims.isEmpty()) {
        break;
      }
      for (Attempt attempt : victims) {
        preempted.add(attempt);
        host.addFreeing(attempt.job.spec);
        plan.stop(
            new SchedulingPlan.Stop(
                attempt, search.graceS.applyAsDouble(attempt), "preempted for " + spec.ref()));
      }
      CapacityAllocator.allocateOn(host, spec, 1, search.zones);
      candidates.offerAgain(host);
      claimed++;
    }
    return claimed;
  }

  /** Seconds of progress that stopping this attempt loses or delays. */
  private double lostS(Attempt attempt) {
    double ranS = attempt.runningAt < 0 ? 0 : now - attempt.runningAt;
    double checkpointS = attempt.job.spec.checkpointS();
    return checkpointS > 0 ? Math.min(ranS, checkpointS / 2) : ranS;
  }

  private boolean mayPreempt(Search search, Attempt attempt) {
    return !attempt.stopping && !preempted.contains(attempt) && search.preemptible.test(attempt);
  }

  /**
   * The attempts to stop on a machine to free capacity for one task, without any that can be
   * spared. Empty if stopping all preemptible attempts is not enough, or if none has to be stopped.
   */
  private List<Attempt> victims(Search search, CandidateMachine candidate) {
    List<Attempt> victims = new ArrayList<>();
    CapacityBalance balance = candidate.balanceAfterFreeing(search.spec);
    for (Attempt attempt : candidate.machine.openAttempts.values()) {
      if (mayPreempt(search, attempt)) {
        victims.add(attempt);
        balance.add(attempt.job.spec);
      }
    }
    if (victims.isEmpty() || balance.hasShortfall()) {
      return List.of();
    }
    // Spares the most valuable attempts first. If large tasks are stopped, small ones can mostly be
    // spared.
    victims.sort(
        Comparator.comparing((Attempt attempt) -> attempt.job.spec.priority())
            .thenComparing(attempt -> attempt.job.spec.shape() == JobShape.GANG)
            .thenComparingDouble(this::lostS));
    for (int i = victims.size() - 1; i >= 0; i--) {
      JobSpec victim = victims.get(i).job.spec;
      if (balance.canSpare(victim)) {
        balance.subtract(victim);
        victims.remove(i);
      }
    }
    return victims;
  }

  /** For how many tasks there is capacity once all attempts that may be preempted have ended. */
  private int tasksAfterPreemption(Search search, CandidateMachine candidate) {
    JobSpec spec = search.spec;
    MachineLoad load =
        new MachineLoad(
            candidate.machine.openAttempts.values().stream()
                .filter(attempt -> mayPreempt(search, attempt))
                .toList());
    return candidate.taskCapacityWithout(load, spec);
  }
}
