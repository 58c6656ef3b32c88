package io.embernotch.state;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who is at fault when tasks fail: a machine that fails whatever it starts, or a job that was
 * submitted with a mistake and fails wherever it goes. A job that failed on several machines and
 * nowhere succeeded is at fault, and its failures speak against no machine. A machine is at fault
 * once several jobs speak against it, those that succeed elsewhere more than those of which nothing
 * is known yet.
 *
 * <p>A single job once was enough to have a machine returned that it had failed on three times, so
 * a gang with a mistake cost a machine and a boot with each of its first tries.
 */
public final class FailureAttribution {
  private static final Logger LOG = LoggerFactory.getLogger(FailureAttribution.class);
  private static final double EPS = 1e-6;

  /**
   * What a job's failures count that succeeds elsewhere, and one's of which that is not known; 1 is
   * enough.
   */
  private static final double SOUND = 0.5;

  private static final double UNKNOWN = 1.0 / 3;

  /** As often must a job that succeeds elsewhere fail on a machine to be enough by itself. */
  private static final int OFTEN = 3;

  private final ControllerContext context;
  private final ClusterState state;

  public FailureAttribution(ControllerContext context, ClusterState state) {
    this.context = context;
    this.state = state;
  }

  public void failed(Attempt attempt, Machine machine, double now) {
    Job job = attempt.job;
    double heartbeat = context.settings().workers().heartbeatIntervalS();
    machine.failures.merge(job.spec.ref(), 1, Integer::sum);
    if (!hasSucceeded(job)) {
      job.errorMachines.add(machine.name);
    }
    if (job.failsEverywhere()) {
      // Tried again with one task at a time, so what that costs is bounded however large the job
      // is.
      int again = job.errorMachines.size() - Job.MANY_MACHINES;
      job.backoffUntil =
          now
              + Math.min(
                  context.settings().workers().leaseS(), heartbeat * (1 << Math.min(5, again)));
      excuse(job);
      return;
    }
    machine.errorStreak++;
    machine.avoidUntil = now + heartbeat * (1 << Math.min(4, machine.errorStreak));
    judge(machine);
  }

  /**
   * A task was done: neither its machine nor its job is at fault. What failed the job elsewhere is.
   */
  public void succeeded(Job job, Machine machine) {
    machine.errorStreak = 0;
    machine.failures.clear();
    if (job.errorMachines.isEmpty()) {
      return;
    }
    List<Machine> failedOn = machines(job);
    job.errorMachines.clear();
    job.backoffUntil = 0;
    failedOn.forEach(this::judge);
  }

  private List<Machine> machines(Job job) {
    return job.errorMachines.stream().map(state.machines::get).filter(Objects::nonNull).toList();
  }

  private static boolean hasSucceeded(Job job) {
    return !job.done.isEmpty();
  }

  /** How much speaks against a machine; from 1 on it is enough. */
  private double against(Machine machine) {
    double sum = EPS;
    for (Map.Entry<String, Integer> e : machine.failures.entrySet()) {
      Job job = state.jobs.get(e.getKey());
      if (job != null && !job.failsEverywhere()) {
        sum += !hasSucceeded(job) ? UNKNOWN : e.getValue() >= OFTEN ? 1 : SOUND;
      }
    }
    return sum;
  }

  private void judge(Machine machine) {
    if (machine.cordoned || against(machine) < 1) {
      return;
    }
    LOG.info(
        "machine {} quarantined, it fails what it starts: {}",
        machine.name,
        machine.failures.keySet());
    machine.cordoned = true;
    for (String ref : machine.failures.keySet()) {
      Job job = state.jobs.get(ref);
      // That it failed here is not its fault.
      if (job != null && job.errorMachines.remove(machine.name) && !job.failsEverywhere()) {
        job.backoffUntil = 0;
      }
    }
  }

  /** The machines that this job failed on are as good as without it. */
  private void excuse(Job job) {
    if (!job.failureLogged) {
      job.failureLogged = true;
      LOG.info("job {} fails wherever it goes: {}", job.spec.ref(), job.errorMachines);
    }
    for (Machine machine : machines(job)) {
      double left = against(machine);
      machine.cordoned &= left >= 1;
      if (left <= EPS) {
        machine.errorStreak = 0;
        machine.avoidUntil = 0;
      }
    }
  }
}
