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
  private static final double FIRST_LEASES = 1;

  private static final double WHOLE_LEASES = 2;

  /** Largest share of the machines that are up that is held so. */
  private static final double MOST_SHARE = 0.25;

  /** Owners' estimates are often wrong by half. */
  private static final double DOUBT = 1.5;

  /** What a task takes; machines are looked through once for each. */
  private record Size(double cpus, double gpus, double memGb) {}

  private record Host(CandidateMachine slot, double emptyInS) {}

  private final CandidateMachines slots;
  private final Settings settings;
  private final ScaleOutPlanner market;
  private final double now;
  private final long wallMs;
  private final Map<Size, List<Host>> hosts = new HashMap<>();
  private int left;

  GangAccumulation(
      CandidateMachines slots, Settings settings, ScaleOutPlanner market, double now, long wallMs) {
    this.slots = slots;
    this.settings = settings;
    this.market = market;
    this.now = now;
    this.wallMs = wallMs;
  }

  /** Whether a job has waited for so long that room, and its team's quota, are held for it. */
  boolean aged(Job job) {
    return waitedLeases(job) > FIRST_LEASES;
  }

  private double waitedLeases(Job job) {
    return (wallMs - job.eligibleSinceMs) / 1000.0 / settings.workers().leaseS();
  }

  /** Holds machines for the gangs among these jobs that need it, in this order. */
  void hold(List<Job> order) {
    left =
        (int)
            (MOST_SHARE
                * slots.all().stream()
                    .filter(candidate -> candidate.kind == CandidateMachine.Kind.READY)
                    .count());
    boolean first = true;
    for (Job job : order) {
      boolean waits =
          job.spec.shape() == JobShape.GANG
              && job.openAttempts.isEmpty()
              && !job.failsEverywhere()
              && aged(job);
      if (waits
          && (left > 0 || first)
          && settings.zones().stream().noneMatch(z -> market.canBuy(job.spec, z))) {
        left = first ? Math.max(left, job.spec.tasks()) : left;
        first = false;
        gather(job);
      }
    }
  }

  private void gather(Job job) {
    JobSpec spec = job.spec;
    double grown = Math.min(1, (waitedLeases(job) - FIRST_LEASES) / (WHOLE_LEASES - FIRST_LEASES));
    int wanted = Math.min(left, (int) Math.ceil(grown * spec.tasks()));
    List<Host> best = List.of();
    if (spec.oneZone()) {
      for (String zone : settings.zones()) {
        List<Host> there = soonest(spec, wanted, new ZoneConstraints(spec, zone));
        if (there.size() > best.size()
            || (there.size() == best.size() && lastS(there) < lastS(best))) {
          best = there;
        }
      }
    } else {
      best = soonest(spec, wanted, new ZoneConstraints(spec, null));
    }
    for (Host h : best) {
      h.slot.heldFor = spec.ref();
      h.slot.heldS = h.emptyInS;
      left--;
    }
  }

  private static double lastS(List<Host> hosts) {
    return hosts.isEmpty() ? 0 : hosts.get(hosts.size() - 1).emptyInS;
  }

  /** The machines that will have room for one such task first. */
  private List<Host> soonest(JobSpec spec, int wanted, ZoneConstraints zones) {
    List<Host> out = new ArrayList<>();
    for (Host h :
        hosts.computeIfAbsent(
            new Size(spec.cpus(), spec.gpus(), spec.memGb()), z -> inOrder(spec))) {
      if (out.size() < wanted
          && h.slot.heldFor == null
          && h.slot.allows(spec)
          && zones.room(h.slot.zone) > 0) {
        zones.put(h.slot.zone, 1);
        out.add(h);
      }
    }
    return out;
  }

  private List<Host> inOrder(JobSpec spec) {
    List<Host> out = new ArrayList<>();
    for (CandidateMachine candidate : slots.all()) {
      if (candidate.kind == CandidateMachine.Kind.READY && candidate.type.fits(spec)) {
        double emptyInS = emptyInS(candidate, spec);
        if (emptyInS < Double.MAX_VALUE) {
          out.add(new Host(candidate, emptyInS));
        }
      }
    }
    out.sort(Comparator.comparingDouble(Host::emptyInS));
    return out;
  }

  /** Seconds until there is room for one such task. */
  private double emptyInS(CandidateMachine candidate, JobSpec spec) {
    List<Attempt> there = new ArrayList<>(candidate.machine.openAttempts.values());
    there.sort(Comparator.comparingDouble(this::leftS));
    Resources kept = candidate.keptFrom(spec);
    double cpus = candidate.cpus - spec.cpus() - kept.cpus();
    double gpus = candidate.gpus - spec.gpus() - kept.gpus();
    double mem = candidate.mem - spec.memGb() - kept.memGb();
    double at = 0;
    for (Attempt attempt : there) {
      if (!Preemption.lacks(cpus, gpus, mem)) {
        break;
      }
      at = leftS(attempt);
      cpus += attempt.job.spec.cpus();
      gpus += attempt.job.spec.gpus();
      mem += attempt.job.spec.memGb();
    }
    return Preemption.lacks(cpus, gpus, mem) ? Double.MAX_VALUE : at;
  }

  /** Seconds that a task still has to run; a service has no end. */
  private double leftS(Attempt attempt) {
    if (attempt.stopping) {
      return attempt.job.spec.saveS();
    }
    if (attempt.job.spec.shape() == JobShape.SERVICE) {
      return Double.MAX_VALUE;
    }
    return Math.max(
        1,
        DOUBT * Math.max(attempt.job.spec.expectS(), attempt.job.meanS())
            - (now - attempt.createdAt));
  }

  /**
   * Whether a task of this job may go to a machine that is held for another: it will have ended
   * before it is empty.
   */
  static boolean lets(CandidateMachine candidate, JobSpec spec) {
    return candidate.heldFor == null
        || candidate.heldFor.equals(spec.ref())
        || (spec.shape() == JobShape.ARRAY
            && spec.expectS() > 0
            && DOUBT * spec.expectS() <= candidate.heldS);
  }
}
