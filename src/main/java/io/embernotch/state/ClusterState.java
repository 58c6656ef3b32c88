package io.embernotch.state;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Everything a leader knows of the cluster: jobs, machines and the open attempts that connect them.
 * Owned by the leader's event loop; not safe for use by other threads.
 */
public final class ClusterState {
  /**
   * A job that has ended and no attempt of which runs any more.
   *
   * @param phase DONE or CANCELLED
   * @param tasks how many tasks the job has
   * @param done how many of them were done
   * @param atMs when the end was decided, in milliseconds of wall-clock time
   */
  public record EndedJob(JobPhase phase, int tasks, int done, long atMs) {
    /** Returns the end of a job whose final phase is decided. */
    public static EndedJob of(Job job) {
      return new EndedJob(job.finalPhase, job.spec.tasks(), job.done.cardinality(), job.endedMs);
    }
  }

  /**
   * Jobs that have not ended, have an open attempt or have an unwritten change; by id, in the order
   * in which they became known.
   */
  public final Map<String, Job> jobs = new LinkedHashMap<>();

  /** Jobs that have ended and are no longer in {@link #jobs}, by id. */
  public final Map<String, EndedJob> endedJobs = new HashMap<>();

  /** Entries of the store that can't be read, and what is known of the jobs that they belong to. */
  public final UnreadableEntries unreadable = new UnreadableEntries();

  /** Machines by name. */
  public final Map<String, Machine> machines = new TreeMap<>();

  /** Machine types by name, in the order of the configuration. */
  public final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Wait times of the largest jobs under this leader. */
  public final LargestJobWaitTimes largestJobWaitTimes = new LargestJobWaitTimes();

  /** Sizes of images in GB; only of images whose jobs have been seen running. */
  public final Map<String, Double> imageGb = new HashMap<>();

  private Function<String, List<String>> imageLookup = name -> List.of();

  /** Sets the source of the images that a machine, given by name, is known to have already. */
  public void setImageLookup(Function<String, List<String>> imageLookup) {
    this.imageLookup = imageLookup;
  }

  /** Returns what this leader knows of a job. */
  public JobKnowledge knowledgeOf(String ref) {
    if (endedJobs.containsKey(ref)) {
      return JobKnowledge.ENDED;
    }
    if (jobs.containsKey(ref)) {
      return JobKnowledge.LIVE;
    }
    if (unreadable.isEndUnknown(ref)) {
      return JobKnowledge.END_UNREADABLE;
    }
    return unreadable.submission(ref).isPresent()
        ? JobKnowledge.SUBMISSION_UNREADABLE
        : JobKnowledge.NOT_SEEN;
  }

  /**
   * Whether a job whose submission was just found can be added as a job without progress: no
   * earlier leader has written any, and this leader has not added the job yet.
   */
  public boolean isNew(String ref) {
    return switch (knowledgeOf(ref)) {
      case NOT_SEEN -> true;
      case SUBMISSION_UNREADABLE ->
          unreadable.submission(ref).filter(found -> !found.mayHaveProgress()).isPresent();
      case LIVE, ENDED, END_UNREADABLE -> false;
    };
  }

  /** Returns the end of a job as the store holds it; empty while the store holds none. */
  public Optional<EndedJob> persistedEnd(String ref) {
    EndedJob ended = endedJobs.get(ref);
    if (ended != null) {
      return Optional.of(ended);
    }
    return Optional.ofNullable(jobs.get(ref)).filter(job -> job.endPersisted).map(EndedJob::of);
  }

  /** Returns the machine of this name; adds an unknown one with the given fencing token. */
  public Machine machine(String name, long token) {
    return machines.computeIfAbsent(
        name,
        key -> {
          Machine machine = new Machine(key);
          machine.token = token;
          machine.images.addAll(imageLookup.apply(key));
          return machine;
        });
  }

  /**
   * Opens an attempt; the job's shard must be committed before its start command may be sent.
   *
   * @param number the attempt's number, never used before for this job
   * @param now seconds of the steady clock
   */
  public Attempt openAttempt(Job job, int task, long number, Machine machine, double now) {
    Attempt attempt = new Attempt(job, task, number, machine.name, machine.zone, machine.token);
    attempt.createdAt = now;
    job.openAttempts.put(task, attempt);
    machine.openAttempts.put(Machine.taskKey(job.spec.ref(), task), attempt);
    machine.attemptsChanged();
    return attempt;
  }

  /**
   * Removes an attempt from its job and its machine; leaves a later attempt of its task open.
   *
   * @param now seconds of the steady clock
   */
  public void closeAttempt(Attempt attempt, double now) {
    if (isOpen(attempt)) {
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

  /** Whether the attempt has not been closed. */
  public static boolean isOpen(Attempt attempt) {
    return attempt.job.openAttempts.get(attempt.task) == attempt;
  }
}
