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
  public static final int MANY_MACHINES = 3;

  public final JobSpec spec;
  public final long submittedMs;

  /** DONE or CANCELLED once that is decided, else null. */
  public JobPhase finalPhase;

  /**
   * The store is known to hold the end, or one that implies it (a job before this one is
   * cancelled): only then may anybody be told, and from then on always.
   */
  public boolean endPersisted;

  /**
   * Its user wants it cancelled: nothing of it starts any more, and it ends once that can be told.
   */
  public boolean cancelRequested;

  /** It was accepted before data was lost, so what is known of its progress may lack starts. */
  public boolean restoredAfterLoss;

  /** When the end was decided, by the time of day. */
  public long endedMs;

  /** Jobs that must be done before any task of this one starts, and are not yet known to be. */
  public final Set<String> unmetDependencies = new HashSet<>();

  /**
   * When it could first have started: its submission, or the end of the last job that it awaits.
   */
  public long eligibleSinceMs;

  /** Its own priority, or a higher one of a job that needs it. */
  public Priority effectivePriority;

  /**
   * Latest start by which it, and what needs it, can meet their deadlines; no deadline: {@link
   * Long#MAX_VALUE}.
   */
  public long latestStartMs = Long.MAX_VALUE;

  /**
   * The coming out of a release that it is for, as RELEASE/DATE; null if that is not settled, or it
   * is for none.
   */
  public String release;

  /**
   * By when it is to be done for its release, by the time of day; {@link Long#MAX_VALUE}: there is
   * no such time.
   */
  public long releaseDeadlineMs = Long.MAX_VALUE;

  /** How long it still needs once it has started. */
  public long remainingRunMs;

  /** Set by the planner: it can't be done for its release together with others that take less. */
  public boolean missesDeadline;

  /** Set by the planner: the earlier, the sooner its turn among its like. */
  public long urgencyMs;

  public final BitSet done = new BitSet();

  /**
   * Those of them that the store is known to hold: what users are told of, so that whoever reads
   * the store tells no less.
   */
  public final BitSet persistedDone = new BitSet();

  public final Map<Integer, Attempt> openAttempts = new TreeMap<>();
  public long nextAttempt = 1;

  /** Nothing of it may start before this time: tasks of it may run of which nothing is known. */
  public double notBefore;

  /** Nothing of this job starts before this time: it fails everywhere, or was refused. */
  public double backoffUntil;

  /** Machines on which its tasks failed before any succeeded, in that order. */
  public final Set<String> errorMachines = new LinkedHashSet<>();

  /** The log says that it fails. */
  public boolean failureLogged;

  /** Tasks that have run before: their last run does not tell how long a whole one takes. */
  public final BitSet restartedTasks = new BitSet();

  /** The gang's present attempt lost a task: the rest must end before the next one. */
  public boolean gangBroken;

  public double finishedSumS;
  public int finishedCount;

  /** Machines a straggling task is to go to next, by task. */
  public final Map<Integer, String> preferredMachines = new TreeMap<>();

  /** Set by the planner: the job fits its team's guarantee with the team's earlier jobs. */
  public boolean withinGuarantee;

  public Job(JobSpec spec, long submittedMs) {
    this.spec = spec;
    this.submittedMs = submittedMs;
    this.eligibleSinceMs = submittedMs;
    this.effectivePriority = spec.priority();
  }

  /** It fails wherever it goes, most likely by a mistake in its submission. */
  public boolean failsEverywhere() {
    return errorMachines.size() >= MANY_MACHINES;
  }

  /** It waits for other jobs: nothing of it may start, and it takes part in nothing. */
  public boolean blocked() {
    return !unmetDependencies.isEmpty();
  }

  public int remaining() {
    return spec.tasks() - done.cardinality();
  }

  /** Mean run time of finished tasks, or 0 if none has finished. */
  public double meanS() {
    return finishedCount == 0 ? 0 : finishedSumS / finishedCount;
  }

  /** Tasks that neither are done nor have an open attempt, in their order. */
  public PrimitiveIterator.OfInt pending() {
    return IntStream.iterate(pendingFrom(0), t -> t < spec.tasks(), t -> pendingFrom(t + 1))
        .iterator();
  }

  /** The first of them; the number of tasks if there is none. */
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

  public int pendingCount() {
    return finalPhase != null || cancelRequested || blocked()
        ? 0
        : remaining() - openAttempts.size();
  }

  /** Tasks that run, or may run: users may have been told so by whoever reads the store. */
  public int runningCount() {
    int n = 0;
    for (Attempt attempt : openAttempts.values()) {
      if (attempt.mayRun()) {
        n++;
      }
    }
    return n;
  }

  /**
   * Whether a start command that was sent before {@code sentBefore}, in seconds of the steady
   * clock, is still unanswered: it may have been carried out.
   */
  public boolean startMayHaveArrived(double sentBefore) {
    return openAttempts.values().stream()
        .anyMatch(
            attempt ->
                attempt.launchState == Attempt.LaunchState.SENDING
                    && attempt.createdAt < sentBefore);
  }
}
