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
 * Accumulates capacity for gangs that wait and find neither enough free machines nor any to rent.
 * Capacity that is freed bit by bit is taken at once by smaller tasks, so without this a gang of
 * whole machines may wait for as long as there are small tasks. Some machines therefore accept
 * nothing new but tasks that will have ended before the machine has capacity for a task of the
 * gang. Their number grows with the time that the gang has waited. The first gang that waits may
 * have as many as it needs, the others only within a share of the machines, so that the fleet is
 * not emptied for them.
 */
final class GangAccumulation {
  /** Worker leases after which capacity is accumulated for all of its tasks. */
  private static final double FULL_WAIT_LEASES = 2;

  /** Largest share of the machines that are up that accumulate capacity. */
  private static final double MAX_MACHINE_SHARE = 0.25;

  /** What a task takes; hosts are searched for once for each size. */
  private record TaskSize(double cpus, double gpus, double memGb) {}

  /** A machine, and in how many seconds it has capacity for a task. */
  private record Host(CandidateMachine candidate, double availableInS) {}

  private final SchedulingCycle cycle;
  private final CandidateMachines candidates;
  private final Settings settings;
  private final Map<TaskSize, List<Host>> hostsBySize = new HashMap<>();

  /** How many more machines may accumulate capacity. */
  private int machineBudget;

  /** Whether no gang has had machines accumulate capacity yet. */
  private boolean firstGang;

  GangAccumulation(SchedulingCycle cycle) {
    this.cycle = cycle;
    this.candidates = cycle.candidates();
    this.settings = cycle.settings();
  }

  /** Has machines accumulate capacity for the gangs among these jobs that need it, in order. */
  void reserveMachines(List<Job> order) {
    machineBudget =
        (int)
            (MAX_MACHINE_SHARE
                * candidates.all().stream()
                    .filter(candidate -> candidate.state == CandidateMachine.State.UP)
                    .count());
    firstGang = true;
    order.forEach(job -> cycle.plan().attempt(job, () -> reserveMachines(job)));
  }

  private void reserveMachines(Job job) {
    if (isWaitingGang(job) && (machineBudget > 0 || firstGang) && !mayScaleOutFor(job)) {
      machineBudget = firstGang ? Math.max(machineBudget, job.spec.tasks()) : machineBudget;
      firstGang = false;
      accumulate(job);
    }
  }

  private boolean isWaitingGang(Job job) {
    return job.spec.shape() == JobShape.GANG
        && job.openAttempts.isEmpty()
        && !job.failsEverywhere()
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

  /** The hosts of the zone that has most, or among equals those that are available first. */
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

  /** The machines that will have capacity for one such task first. */
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

  /** Seconds until there is capacity for one such task; {@link Double#MAX_VALUE}: never. */
  private double availableInS(CandidateMachine candidate, JobSpec spec) {
    List<Attempt> attempts = new ArrayList<>(candidate.machine.openAttempts.values());
    attempts.sort(Comparator.comparingDouble(this::remainingS));
    CapacityBalance balance = candidate.balanceNow(spec);
    double availableInS = 0;
    for (Attempt attempt : attempts) {
      if (!balance.insufficient()) {
        break;
      }
      availableInS = remainingS(attempt);
      balance.add(attempt.job.spec);
    }
    return balance.insufficient() ? Double.MAX_VALUE : availableInS;
  }

  /** Seconds that a task still has to run; {@link Double#MAX_VALUE} for a service. */
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
