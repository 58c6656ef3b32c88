package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Accumulates capacity for waiting gangs for which there are neither enough free machines nor
 * machines to rent. Smaller tasks take freed capacity at once, so without accumulation a gang that
 * needs whole machines may wait for as long as there are small tasks. An accumulating machine
 * accepts only tasks that are expected to end before it has capacity for a task of the gang. The
 * number of accumulating machines grows with the time that the gang has waited. The first waiting
 * gang gets as many as it needs; the others only within a share of the machines, so that the fleet
 * is not emptied for them.
 */
final class GangAccumulation {
  /**
   * Waiting time, in worker leases, after which capacity is accumulated for all tasks of a gang.
   */
  private static final double FULL_WAIT_LEASES = 2;

  /** Largest share of the machines in state UP that may accumulate capacity. */
  private static final double MAX_MACHINE_SHARE = 0.25;

  /** Resources of one task; hosts are computed once for each size. */
  private record TaskSize(double cpus, double gpus, double memGb) {}

  /** A machine, and the seconds until it has capacity for a task. */
  private record Host(CandidateMachine candidate, double availableInS) {}

  private final SchedulingCycle cycle;
  private final CandidateMachines candidates;
  private final Settings settings;
  private final Map<TaskSize, List<Host>> hostsBySize = new HashMap<>();

  /** How many more machines may accumulate capacity. */
  private int machineBudget;

  /** Whether no machine of this plan accumulates capacity for a gang yet. */
  private boolean firstGang;

  GangAccumulation(SchedulingCycle cycle) {
    this.cycle = cycle;
    this.candidates = cycle.candidates();
    this.settings = cycle.settings();
  }

  /** Selects machines to accumulate capacity for the gangs among these jobs, in the given order. */
  void selectMachines(List<Job> order) {
    machineBudget =
        (int)
            (MAX_MACHINE_SHARE
                * candidates.all().stream()
                    .filter(candidate -> candidate.state == CandidateMachine.State.UP)
                    .count());
    firstGang = true;
    order.forEach(job -> cycle.plan().attempt(job, () -> selectMachines(job)));
  }

  private void selectMachines(Job job) {
    if (isWaitingGang(job) && (machineBudget > 0 || firstGang) && !mayScaleOutFor(job)) {
      machineBudget = firstGang ? Math.max(machineBudget, job.spec.tasks()) : machineBudget;
      firstGang = false;
      accumulate(job);
    }
  }

  private boolean isWaitingGang(Job job) {
    return job.spec.shape() == JobShape.GANG
        && job.openAttempts.isEmpty()
        && !job.isAtFault()
        && cycle.aged(job);
  }

  private boolean mayScaleOutFor(Job job) {
    return settings.zones().stream()
        .anyMatch(zone -> cycle.scaleOutPlanner().available(job.spec, zone));
  }

  private void accumulate(Job job) {
    JobSpec spec = job.spec;
    double share =
        Math.min(
            1,
            (cycle.waitedLeases(job) - SchedulingCycle.AGED_LEASES)
                / (FULL_WAIT_LEASES - SchedulingCycle.AGED_LEASES));
    int wanted = Math.min(machineBudget, (int) Math.ceil(share * spec.tasks()));
    List<Host> hosts =
        spec.oneZone()
            ? bestZoneHosts(spec, wanted)
            : firstAvailable(spec, wanted, new ZoneConstraints(spec, null));
    for (Host host : hosts) {
      host.candidate.accumulateFor(spec.ref(), host.availableInS);
      machineBudget--;
    }
  }

  /**
   * The hosts in the zone with the most hosts; among equal zones, the one whose last host is
   * available first.
   */
  private List<Host> bestZoneHosts(JobSpec spec, int wanted) {
    List<Host> best = List.of();
    for (String zone : settings.zones()) {
      List<Host> hosts = firstAvailable(spec, wanted, new ZoneConstraints(spec, zone));
      if (hosts.size() > best.size()
          || (hosts.size() == best.size() && lastAvailableInS(hosts) < lastAvailableInS(best))) {
        best = hosts;
      }
    }
    return best;
  }

  private static double lastAvailableInS(List<Host> hosts) {
    return hosts.isEmpty() ? 0 : hosts.get(hosts.size() - 1).availableInS;
  }

  /** The first machines to have capacity for one task of the job, at most {@code wanted}. */
  private List<Host> firstAvailable(JobSpec spec, int wanted, ZoneConstraints zones) {
    List<Host> hosts = new ArrayList<>();
    TaskSize size = new TaskSize(spec.cpus(), spec.gpus(), spec.memGb());
    for (Host host : hostsBySize.computeIfAbsent(size, key -> byAvailability(spec))) {
      CandidateMachine candidate = host.candidate;
      if (hosts.size() < wanted
          && !candidate.isAccumulating()
          && candidate.allows(spec)
          && zones.remaining(candidate.zone) > 0) {
        zones.add(candidate.zone, 1);
        hosts.add(host);
      }
    }
    return hosts;
  }

  private List<Host> byAvailability(JobSpec spec) {
    List<Host> hosts = new ArrayList<>();
    for (CandidateMachine candidate : candidates.all()) {
      if (candidate.state == CandidateMachine.State.UP && candidate.type.fits(spec)) {
        double availableInS = availableInS(candidate, spec);
        if (availableInS < Double.MAX_VALUE) {
          hosts.add(new Host(candidate, availableInS));
        }
      }
    }
    hosts.sort(Comparator.comparingDouble(Host::availableInS));
    return hosts;
  }

  /**
   * Seconds until the machine has capacity for one such task; {@link Double#MAX_VALUE} if never.
   */
  private double availableInS(CandidateMachine candidate, JobSpec spec) {
    List<Attempt> attempts = new ArrayList<>(candidate.machine.openAttempts.values());
    attempts.sort(Comparator.comparingDouble(this::remainingS));
    CapacityBalance balance = candidate.balanceNow(spec);
    double availableInS = 0;
    for (Attempt attempt : attempts) {
      if (!balance.hasShortfall()) {
        break;
      }
      availableInS = remainingS(attempt);
      balance.add(attempt.job.spec);
    }
    return balance.hasShortfall() ? Double.MAX_VALUE : availableInS;
  }

  /** Estimated seconds until an attempt ends; {@link Double#MAX_VALUE} for a service. */
  private double remainingS(Attempt attempt) {
    if (attempt.stopping) {
      return attempt.job.spec.saveS();
    }
    if (attempt.job.spec.shape() == JobShape.SERVICE) {
      return Double.MAX_VALUE;
    }
    double expectedS =
        CandidateMachine.ESTIMATE_MARGIN
            * Math.max(attempt.job.spec.expectS(), attempt.job.meanS());
    return Math.max(1, expectedS - (cycle.now() - attempt.createdAt));
  }
}
