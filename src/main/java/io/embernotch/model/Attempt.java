package io.embernotch.model;

/**
 * One start of one task on one machine. While it is open it takes its share of the machine, of its
 * team's quota and of its job's zone; it is closed only once its end is proven.
 */
public final class Attempt {
  /** Where the start command of an attempt is. */
  public enum LaunchState {
    /** Its commit is unanswered: no command may be sent. */
    UNCOMMITTED,
    /** Committed, and no copy of its command is on the way. */
    READY,
    /** Given in the response to a heartbeat: executed before the next heartbeat, or never. */
    IN_HEARTBEAT_RESPONSE,
    /**
     * Opened by an earlier leader, or no longer reported by a worker that may have lost its state:
     * only a heartbeat under a newer token tells.
     */
    UNCONFIRMED,
    /** The worker has reported it. */
    CONFIRMED
  }

  /** The job. */
  public final Job job;

  /** Number of the task within the job. */
  public final int task;

  /** Number of the attempt, which no other attempt of the job has. */
  public final long number;

  /** Name of the machine. */
  public final String machine;

  /** Zone of the machine. */
  public final String zone;

  /** Highest fencing token under which its start command may have been sent. */
  public long startToken;

  /** Where its start command is. */
  public LaunchState launchState = LaunchState.UNCOMMITTED;

  /** State that its worker last reported; null before. */
  public TaskState state;

  /** Whether an earlier leader opened it. */
  public boolean inherited;

  /** When this leader opened it or took it over. */
  public double createdAt;

  /** When it was first reported running; below 0 before. */
  public double runningAt = -1;

  /** Whether it is to be stopped. */
  public boolean stopping;

  /** Seconds that it has to save once it is told to stop. */
  public double stopGraceS;

  /** When its stop was requested; below 0 before. */
  public double stopRequestedAt = -1;

  /** When its stop command was last sent; below 0 before. */
  public double stopSentAt = -1;

  /** A new attempt whose commit is unanswered. */
  public Attempt(Job job, int task, long number, String machine, String zone, long startToken) {
    this.job = job;
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.zone = zone;
    this.startToken = startToken;
  }

  /**
   * Whether a command that starts it may be on its way, or it waits for its image on its machine.
   * One that was started by an earlier leader is taken for running, since nothing tells since when.
   *
   * @param tokenBase lowest fencing token of this leader
   */
  public boolean mayStillStart(long tokenBase) {
    return switch (launchState) {
      case IN_HEARTBEAT_RESPONSE -> true;
      case UNCONFIRMED -> startToken >= tokenBase;
      case CONFIRMED -> state == null || state == TaskState.FETCHING;
      case UNCOMMITTED, READY -> false;
    };
  }

  /**
   * Whether it runs, or may run as far as is known: an earlier leader started it, or its command
   * got no answer. If a new leader took attempts that it has not heard of for queued, it would
   * contradict what users were answered before.
   */
  public boolean mayRun() {
    if (state != null) {
      return state == TaskState.RUNNING || state == TaskState.SAVING;
    }
    return inherited
        || launchState == LaunchState.UNCONFIRMED
        || launchState == LaunchState.IN_HEARTBEAT_RESPONSE;
  }

  @Override
  public String toString() {
    return job.spec.ref() + "/" + task + "#" + number + "@" + machine;
  }
}
