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
 * Room for gangs that wait and find neither enough free machines nor any to be had. Places that
 * come free one by one are followed at once by what is smaller, so without this a gang of whole
 * machines may wait for as long as small tasks do not run out. Some machines therefore take nothing
 * new but what will have ended before they are empty. How many grows with what the gang has waited.
 * The first that waits may hold all that it needs, the others only within a share of the machines,
 * so that the house is not emptied for them.
 */
final class GangAccumulation {
  /**
   * Workers' leases that a gang waits before room is gathered for it, and until it is for all of
   * its tasks.
   */
  private static final double MIN_WAIT_LEASES = 1;

  private static final double FULL_WAIT_LEASES = 2;

  /** Largest share of the machines that are up that is held so. */
  private static final double MAX_MACHINE_SHARE = 0.25;

  /** Owners' estimates are often wrong by half. */
  private static final double ESTIMATE_MARGIN = 1.5;

  /** What a task takes; machines are looked through once for each. */
  private record Size(double cpus, double gpus, double memGb) {}

  private record Host(CandidateMachine candidate, double availableInS) {}

  private final CandidateMachines candidates;
  private final Settings settings;
  private final ScaleOutPlanner scaleOutPlanner;
  private final double now;
  private final long wallMs;
  private final Map<Size, List<Host>> hosts = new HashMap<>();
  private int machineBudget;

  GangAccumulation(
      CandidateMachines slots, Settings settings, ScaleOutPlanner market, double now, long wallMs) {
    this.candidates = slots;
    this.settings = settings;
    this.scaleOutPlanner = market;
    this.now = now;
    this.wallMs = wallMs;
  }

  /** Whether a job has waited for so long that room, and its team's quota, are held for it. */
  boolean aged(Job job) {
    return waitedLeases(job) > MIN_WAIT_LEASES;
  }

  private double waitedLeases(Job job) {
    return (wallMs - job.eligibleSinceMs) / 1000.0 / settings.workers().leaseS();
  }

  /** Holds machines for the gangs among these jobs that need it, in this order. */
  void reserveMachines(List<Job> order) {
    machineBudget =
        (int)
            (MAX_MACHINE_SHARE
                * candidates.all().stream()
                    .filter(candidate -> candidate.state == CandidateMachine.State.UP)
                    .count());
    boolean first = true;
    for (Job job : order) {
      boolean waits =
          job.spec.shape() == JobShape.GANG
              && job.openAttempts.isEmpty()
              && !job.failsEverywhere()
              && aged(job);
      if (waits
          && (machineBudget > 0 || first)
          && settings.zones().stream().noneMatch(z -> scaleOutPlanner.available(job.spec, z))) {
        machineBudget = first ? Math.max(machineBudget, job.spec.tasks()) : machineBudget;
        first = false;
        accumulate(job);
      }
    }
  }

  private void accumulate(Job job) {
    JobSpec spec = job.spec;
    double grown =
        Math.min(1, (waitedLeases(job) - MIN_WAIT_LEASES) / (FULL_WAIT_LEASES - MIN_WAIT_LEASES));
    int wanted = Math.min(machineBudget, (int) Math.ceil(grown * spec.tasks()));
    List<Host> best = List.of();
    if (spec.oneZone()) {
      for (String zone : settings.zones()) {
        List<Host> there = firstAvailable(spec, wanted, new ZoneConstraints(spec, zone));
        if (there.size() > best.size()
            || (there.size() == best.size() && lastAvailableInS(there) < lastAvailableInS(best))) {
          best = there;
        }
      }
    } else {
      best = firstAvailable(spec, wanted, new ZoneConstraints(spec, null));
    }
    for (Host h : best) {
      h.candidate.accumulatingFor = spec.ref();
      h.candidate.accumulatedInS = h.availableInS;
      machineBudget--;
    }
  }

  private static double lastAvailableInS(List<Host> hosts) {
    return hosts.isEmpty() ? 0 : hosts.get(hosts.size() - 1).availableInS;
  }

  /** The machines that will have room for one such task first. */
  private List<Host> firstAvailable(JobSpec spec, int wanted, ZoneConstraints zones) {
    List<Host> out = new ArrayList<>();
    for (Host h :
        hosts.computeIfAbsent(
            new Size(spec.cpus(), spec.gpus(), spec.memGb()), z -> byAvailability(spec))) {
      if (out.size() < wanted
          && h.candidate.accumulatingFor == null
          && h.candidate.allows(spec)
          && zones.remaining(h.candidate.zone) > 0) {
        zones.add(h.candidate.zone, 1);
        out.add(h);
      }
    }
    return out;
  }

  private List<Host> byAvailability(JobSpec spec) {
    List<Host> out = new ArrayList<>();
    for (CandidateMachine candidate : candidates.all()) {
      if (candidate.state == CandidateMachine.State.UP && candidate.type.fits(spec)) {
        double emptyInS = availableInS(candidate, spec);
        if (emptyInS < Double.MAX_VALUE) {
          out.add(new Host(candidate, emptyInS));
        }
      }
    }
    out.sort(Comparator.comparingDouble(Host::availableInS));
    return out;
  }

  /** Seconds until there is room for one such task. */
  private double availableInS(CandidateMachine candidate, JobSpec spec) {
    List<Attempt> there = new ArrayList<>(candidate.machine.openAttempts.values());
    there.sort(Comparator.comparingDouble(this::remainingS));
    Resources kept = candidate.reservedAgainst(spec);
    double cpus = candidate.cpus - spec.cpus() - kept.cpus();
    double gpus = candidate.gpus - spec.gpus() - kept.gpus();
    double mem = candidate.memGb - spec.memGb() - kept.memGb();
    double at = 0;
    for (Attempt attempt : there) {
      if (!Preemption.lacks(cpus, gpus, mem)) {
        break;
      }
      at = remainingS(attempt);
      cpus += attempt.job.spec.cpus();
      gpus += attempt.job.spec.gpus();
      mem += attempt.job.spec.memGb();
    }
    return Preemption.lacks(cpus, gpus, mem) ? Double.MAX_VALUE : at;
  }

  /** Seconds that a task still has to run; a service has no end. */
  private double remainingS(Attempt attempt) {
    if (attempt.stopping) {
      return attempt.job.spec.saveS();
    }
    if (attempt.job.spec.shape() == JobShape.SERVICE) {
      return Double.MAX_VALUE;
    }
    return Math.max(
        1,
        ESTIMATE_MARGIN * Math.max(attempt.job.spec.expectS(), attempt.job.meanS())
            - (now - attempt.createdAt));
  }

  /**
   * Whether a task of this job may go to a machine that is held for another: it will have ended
   * before it is empty.
   */
  static boolean admits(CandidateMachine candidate, JobSpec spec) {
    return candidate.accumulatingFor == null
        || candidate.accumulatingFor.equals(spec.ref())
        || (spec.shape() == JobShape.ARRAY
            && spec.expectS() > 0
            && ESTIMATE_MARGIN * spec.expectS() <= candidate.accumulatedInS);
  }
}
