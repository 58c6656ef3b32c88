package io.embernotch.state;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.settings.Settings;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Attributes task failures to machines or to jobs: a machine may fail whatever it starts, and a job
 * that was submitted with a mistake fails on whatever machine it starts. A job that failed on
 * several machines and succeeded on none is at fault, and its failures do not count against any
 * machine. A machine is at fault, and is quarantined, once the failures of several jobs count
 * against it; those of jobs that succeed elsewhere count more than those of jobs that have not
 * succeeded yet.
 *
 * <p>A single job that has not succeeded yet must not be enough to have a machine replaced: a gang
 * with a mistake would cost a machine and a boot with each of its first attempts.
 *
 * <p>Owned by the leader's event loop.
 */
public final class FailureAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FailureAttribution.class);

  /** Total weight of the failures on a machine from which the machine is at fault. */
  private static final double AT_FAULT_WEIGHT = 1;

  /** Weight of a job's failures on a machine if it succeeds elsewhere. */
  private static final double SUCCEEDS_ELSEWHERE_WEIGHT = 0.5;

  /** Weight of a job's failures on a machine if it has not succeeded anywhere yet. */
  private static final double NO_SUCCESS_YET_WEIGHT = 1.0 / 3;

  /** Offset for rounding errors in sums of weights that should equal {@link #AT_FAULT_WEIGHT}. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /** Failures of one job that succeeds elsewhere from which a machine is at fault. */
  private static final int REPEATED_FAILURES = 3;

  /**
   * Maximum number of doublings of a job's backoff, one for each further machine that it fails on.
   */
  private static final int MAX_JOB_DOUBLINGS = 5;

  /** Maximum number of doublings of a machine's backoff, one for each consecutive failure. */
  private static final int MAX_MACHINE_DOUBLINGS = 4;

  private final Settings settings;
  private final ClusterState state;

  /** Attributes failures to the jobs and machines of {@code state}. */
  public FailureAttribution(Settings settings, ClusterState state) {
    this.settings = settings;
    this.state = state;
  }

  /**
   * Records that a task has exited with an error at {@code now}, in seconds of the steady clock.
   */
  public void recordFailure(Attempt attempt, Machine machine, double now) {
    Job job = attempt.job;
    machine.failures.merge(job.spec.ref(), 1, Integer::sum);
    if (!hasSucceeded(job)) {
      job.errorMachines.add(machine.name);
    }
    if (job.isAtFault()) {
      job.backoffUntil = now + jobBackoffS(job);
      clearMachinesOf(job);
    } else {
      machine.errorStreak++;
      machine.avoidUntil = now + machineBackoffS(machine);
      quarantineIfAtFault(machine);
    }
  }

  /**
   * Returns the backoff of a job at fault, in seconds. Such a job is retried with one task at a
   * time, so the cost of its retries is bounded regardless of its size.
   */
  private double jobBackoffS(Job job) {
    int doublings = job.errorMachines.size() - Job.AT_FAULT_MIN_MACHINES;
    return Math.min(
        settings.workers().leaseS(),
        heartbeatIntervalS() * (1 << Math.min(MAX_JOB_DOUBLINGS, doublings)));
  }

  private double machineBackoffS(Machine machine) {
    return heartbeatIntervalS() * (1 << Math.min(MAX_MACHINE_DOUBLINGS, machine.errorStreak));
  }

  private double heartbeatIntervalS() {
    return settings.workers().heartbeatIntervalS();
  }

  /**
   * Records that a task of the job was done on the machine, so neither is at fault; the failures of
   * the job on other machines count against those.
   */
  public void recordSuccess(Job job, Machine machine) {
    machine.errorStreak = 0;
    machine.failures.clear();
    if (job.errorMachines.isEmpty()) {
      return;
    }
    List<Machine> failedOn = errorMachines(job);
    job.errorMachines.clear();
    job.backoffUntil = 0;
    failedOn.forEach(this::quarantineIfAtFault);
  }

  private List<Machine> errorMachines(Job job) {
    return job.errorMachines.stream().map(state.machines::get).filter(Objects::nonNull).toList();
  }

  private static boolean hasSucceeded(Job job) {
    return !job.done.isEmpty();
  }

  /** Returns the total weight of the failures that count against a machine. */
  private double failureWeight(Machine machine) {
    double sum = ROUNDING_TOLERANCE;
    for (Map.Entry<String, Integer> failures : machine.failures.entrySet()) {
      Job job = state.jobs.get(failures.getKey());
      if (job != null && !job.isAtFault()) {
        sum += failureWeight(job, failures.getValue());
      }
    }
    return sum;
  }

  private static double failureWeight(Job job, int failures) {
    if (!hasSucceeded(job)) {
      return NO_SUCCESS_YET_WEIGHT;
    }
    return failures >= REPEATED_FAILURES ? AT_FAULT_WEIGHT : SUCCEEDS_ELSEWHERE_WEIGHT;
  }

  private void quarantineIfAtFault(Machine machine) {
    if (machine.cordoned || failureWeight(machine) < AT_FAULT_WEIGHT) {
      return;
    }
    LOG.info(
        "machine {} quarantined after failures of jobs {}",
        machine.name,
        machine.failures.keySet());
    machine.cordoned = true;
    for (String ref : machine.failures.keySet()) {
      Job job = state.jobs.get(ref);
      // A failure on a machine at fault does not count against the job.
      if (job != null && job.errorMachines.remove(machine.name) && !job.isAtFault()) {
        job.backoffUntil = 0;
      }
    }
  }

  /**
   * Clears the machines on which a job at fault failed: its failures no longer count against them.
   */
  private void clearMachinesOf(Job job) {
    if (!job.failureLogged) {
      job.failureLogged = true;
      LOG.info(
          "job {} failed on several machines and succeeded on none: {}",
          job.spec.ref(),
          job.errorMachines);
    }
    for (Machine machine : errorMachines(job)) {
      double remaining = failureWeight(machine);
      machine.cordoned &= remaining >= AT_FAULT_WEIGHT;
      if (remaining <= ROUNDING_TOLERANCE) {
        machine.errorStreak = 0;
        machine.avoidUntil = 0;
      }
    }
  }
}
