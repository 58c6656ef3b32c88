package io.embernotch.state;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/** Everything the leader knows: jobs, machines and the open attempts that tie them. */
public final class ClusterState {
  /** A job that has ended, and whose every attempt is proven gone. */
  public record EndedJob(JobPhase phase, int tasks, int done, long atMs) {
    public static EndedJob of(Job job) {
      return new EndedJob(job.finalPhase, job.spec.tasks(), job.done.cardinality(), job.endedMs);
    }
  }

  /** Jobs that have not ended, or still have open attempts. */
  public final Map<String, Job> jobs = new LinkedHashMap<>();

  public final Map<String, EndedJob> endedJobs = new HashMap<>();

  /**
   * Jobs that were accepted and whose description can't be read: they stay known, and can't run.
   */
  public final Set<String> unreadable = new HashSet<>();

  public final Map<String, Machine> machines = new TreeMap<>();
  public final Map<String, MachineType> types = new LinkedHashMap<>();

  public final LargestJobWaitTimes largestJobWaits = new LargestJobWaitTimes();

  /** Sizes of images in GB, as far as jobs that need them have been seen to run. */
  public final Map<String, Double> imageGb = new HashMap<>();

  private Function<String, List<String>> images = n -> List.of();

  /** Where to learn which images a machine has that was rented before. */
  public void setImageLookup(Function<String, List<String>> known) {
    images = known;
  }

  public Machine machine(String name, long token) {
    return machines.computeIfAbsent(
        name,
        n -> {
          Machine machine = new Machine(n);
          machine.token = token;
          machine.images.addAll(images.apply(n));
          return machine;
        });
  }

  /** Opens an attempt; the job's shards must then be committed before its start may be sent. */
  public Attempt openAttempt(Job job, int task, long number, Machine machine, double now) {
    Attempt attempt = new Attempt(job, task, number, machine.name, machine.zone, machine.token);
    attempt.createdAt = now;
    job.openAttempts.put(task, attempt);
    machine.openAttempts.put(Machine.taskKey(job.spec.ref(), task), attempt);
    machine.attemptsChanged();
    return attempt;
  }

  public void closeAttempt(Attempt attempt, double now) {
    if (attempt.job.openAttempts.get(attempt.task) == attempt) {
      attempt.job.openAttempts.remove(attempt.task);
    }
    Machine machine = machines.get(attempt.machine);
    if (machine != null
        && machine.openAttempts.remove(
            Machine.taskKey(attempt.job.spec.ref(), attempt.task), attempt)) {
      machine.attemptsChanged();
      if (machine.openAttempts.isEmpty()) {
        machine.idleSince = now;
      }
    }
  }

  public static boolean isOpen(Attempt attempt) {
    return attempt.job.openAttempts.get(attempt.task) == attempt;
  }
}
