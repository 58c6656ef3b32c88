package io.embernotch.model;

import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PrimitiveIterator;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** A job and its progress, owned by the leader. */
public final class Job {
  /** A job that has failed on so many machines and succeeded nowhere is itself at fault. */
  public static final int AT_FAULT_MIN_MACHINES = 3;

  /** The job as submitted. */
  public final JobSpec spec;

  /** When it was submitted, in milliseconds of the time of day. */
  public final long submittedMs;

  /** DONE or CANCELLED once that is decided; null before. */
  public JobPhase finalPhase;

  /**
   * Whether the store is known to hold the end, or one that implies it (the cancellation of a job
   * that this one depends on): only then may anybody be answered so, and from then on always.
   */
  public boolean endPersisted;

  /**
   * Whether its user wants it cancelled: nothing of it starts any more, and it ends once the end
   * may be answered.
   */
  public boolean cancelRequested;

  /**
   * Whether it was accepted before data was lost: what is known of its progress may lack starts.
   */
  public boolean restoredAfterLoss;

  /** When the end was decided, in milliseconds of the time of day. */
  public long endedMs;

  /** Ids of the jobs that it depends on and that are not known to be done. */
  public final Set<String> unmetDependencies = new HashSet<>();

  /**
   * When it could first have started, in milliseconds of the time of day: its submission, or the
   * end of the last job that it depends on.
   */
  public long eligibleSinceMs;

  /** Its own priority, or a higher one of a job that depends on it. */
  public Priority effectivePriority;

  /**
   * Latest start by which it, and what depends on it, can meet their deadlines, in milliseconds of
   * the time of day; {@link Long#MAX_VALUE} without a deadline.
   */
  public long latestStartMs = Long.MAX_VALUE;

  /**
   * The occurrence of a release that it is for, as RELEASE/DATE; null if that is not settled, or it
   * is for none.
   */
  public String release;

  /**
   * When it is to be done for its release, in milliseconds of the time of day; {@link
   * Long#MAX_VALUE} if there is no such time.
   */
  public long releaseDeadlineMs = Long.MAX_VALUE;

  /** Milliseconds that it still needs once it has started. */
  public long remainingRunMs;

  /**
   * Set by the scheduler: it cannot meet its release's deadline together with other jobs that need
   * less.
   */
  public boolean missesDeadline;

  /** Set by the scheduler: among jobs of the same rank the lowest one goes first. */
  public long urgencyMs;

  /** Numbers of the tasks that are done. */
  public final BitSet done = new BitSet();

  /**
   * Numbers of the done tasks that the store is known to hold. Users are answered by these, so that
   * a controller that answers from the store never reports less.
   */
  public final BitSet persistedDone = new BitSet();

  /** Open attempts by the number of their task, in its order. */
  public final Map<Integer, Attempt> openAttempts = new TreeMap<>();

  /** Number that the next attempt gets. */
  public long nextAttempt = 1;

  /**
   * Nothing of it may start before this time (steady seconds): tasks of it may run of which nothing
   * is known.
   */
  public double notBefore;

  /**
   * Nothing of it starts before this time (steady seconds): it fails everywhere, or was refused.
   */
  public double backoffUntil;

  /** Names of the machines on which its tasks failed before any succeeded, in that order. */
  public final Set<String> errorMachines = new LinkedHashSet<>();

  /** Whether the log says that it fails everywhere. */
  public boolean failureLogged;

  /**
   * Numbers of tasks that have run before: their last run does not tell how long a whole one is.
   */
  public final BitSet restartedTasks = new BitSet();

  /** Sum of the run times of {@link #finishedCount} finished tasks, in seconds. */
  public double finishedSumS;

  /** Number of finished tasks whose run time is known. */
  public int finishedCount;

  /** Names of the machines that restarted stragglers are to go to next, by task. */
  public final Map<Integer, String> preferredMachines = new TreeMap<>();

  /** Set by the scheduler: it fits its team's guarantee with the team's earlier jobs. */
  public boolean withinGuarantee;

  /**
   * A job without progress.
   *
   * @param submittedMs when it was submitted, in milliseconds of the time of day
   */
  public Job(JobSpec spec, long submittedMs) {
    this.spec = spec;
    this.submittedMs = submittedMs;
    this.eligibleSinceMs = submittedMs;
    this.effectivePriority = spec.priority();
  }

  /** Whether it fails on every machine, most likely by a mistake in its submission. */
  public boolean isAtFault() {
    return errorMachines.size() >= AT_FAULT_MIN_MACHINES;
  }

  /** Whether it waits for jobs that it depends on: nothing of it may be planned or started. */
  public boolean blocked() {
    return !unmetDependencies.isEmpty();
  }

  /** Number of tasks that are not done. */
  public int remaining() {
    return spec.tasks() - done.cardinality();
  }

  /** Mean run time of finished tasks in seconds; 0 if none has finished. */
  public double meanS() {
    return finishedCount == 0 ? 0 : finishedSumS / finishedCount;
  }

  /** Numbers of the tasks that neither are done nor have an open attempt, in ascending order. */
  public PrimitiveIterator.OfInt pending() {
    return IntStream.iterate(pendingFrom(0), t -> t < spec.tasks(), t -> pendingFrom(t + 1))
        .iterator();
  }

  /** The first {@linkplain #pending pending} task; the number of tasks if there is none. */
  public int firstPending() {
    return pendingFrom(0);
  }

  private int pendingFrom(int from) {
    int task = done.nextClearBit(from);
    while (openAttempts.containsKey(task)) {
      task = done.nextClearBit(task + 1);
    }
    return task;
  }

  /** Number of tasks to be placed; 0 while nothing of it may start. */
  public int pendingCount() {
    return finalPhase != null || cancelRequested || blocked()
        ? 0
        : remaining() - openAttempts.size();
  }

  /**
   * Number of tasks that run, or may run: a controller that answers from the store may have counted
   * them as running.
   */
  public int runningCount() {
    int count = 0;
    for (Attempt attempt : openAttempts.values()) {
      if (attempt.mayRun()) {
        count++;
      }
    }
    return count;
  }
}
