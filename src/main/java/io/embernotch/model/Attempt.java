package io.embernotch.model;

/**
 * One start of one task on one machine. While it is open it holds its place, its team's quota and
 * its job's zone; it is closed only once its end is proven.
 */
public final class Attempt {
  /** Where the start command of an attempt is. */
  public enum LaunchState {
    /** Its commit has not been answered: no command may leave. */
    UNCOMMITTED,
    /** Committed, and no copy of its command is on the way. */
    READY,
    /** A direct command is on the way. */
    SENDING,
    /** Given in the response to a heartbeat: executed before the next heartbeat, or never. */
    IN_HEARTBEAT_RESPONSE,
    /** A direct command went unanswered: only a heartbeat under a newer token tells. */
    UNCONFIRMED,
    /** The worker has been seen to hold it. */
    CONFIRMED
  }

  public final Job job;
  public final int task;
  public final long number;
  public final String machine;
  public final String zone;

  /** Highest token under which its start may have left. */
  public long startToken;

  public LaunchState launchState = LaunchState.UNCOMMITTED;
  public TaskState state;

  /** An earlier leader opened it. */
  public boolean inherited;

  public double createdAt;

  /** When it was first seen running; below 0 until then. */
  public double runningAt = -1;

  public boolean stopping;
  public double stopGraceS;
  public double stopRequestedAt = -1;
  public double stopSentAt = -1;

  public Attempt(Job job, int task, long number, String machine, String zone, long startToken) {
    this.job = job;
    this.task = task;
    this.number = number;
    this.machine = machine;
    this.zone = zone;
    this.startToken = startToken;
  }

  /**
   * A command that starts it may be on its way, or it waits for its image where it is. What was
   * started under tokens below {@code base}, by an earlier leader, is taken for running: nothing
   * tells since when.
   */
  public boolean mayYetStart(long base) {
    return switch (launchState) {
      case SENDING, IN_HEARTBEAT_RESPONSE -> true;
      case UNCONFIRMED -> startToken >= base;
      case CONFIRMED -> state == null || state == TaskState.FETCHING;
      case UNCOMMITTED, READY -> false;
    };
  }

  /**
   * It runs, or nothing is known but that it may: it was started by an earlier leader, or its
   * command got no answer. A new leader that took what it had not heard of for queued once
   * contradicted what users had been told before.
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
