package io.embernotch.jobs;

import io.embernotch.agents.TaskStopper;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.JobShape;
import io.embernotch.model.Machine;
import io.embernotch.persistence.StateWriter;
import io.embernotch.state.ClusterState;
import io.embernotch.state.FailureAttribution;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the end of an attempt to its job: done marks, completion, restart of a gang, failure
 * attribution and backoff. Owned by the leader's event loop.
 */
public final class AttemptOutcomes {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptOutcomes.class);

  /** The shortest run time in seconds that a machine's performance is computed from. */
  private static final double MIN_RUN_S = 0.1;

  /** After an exit of unknown cause, a job backs off for a heartbeat interval divided by this. */
  private static final int BACKOFFS_PER_HEARTBEAT = 3;

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final JobCompletions completions;
  private final FailureAttribution failureAttribution;
  private final int performanceSamples;
  private final Consumer<Job> attemptClosed;
  private final Runnable clusterChanged;
  private TaskStopper stopper;

  /**
   * Creates the handler; {@link #setStopper} must be called before its use.
   *
   * @param performanceSamples how many finished tasks a machine's performance is averaged over
   * @param attemptClosed called with the job of each attempt that is closed
   * @param clusterChanged called when capacity was freed, so that a scheduling round is due
   */
  public AttemptOutcomes(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      JobCompletions completions,
      int performanceSamples,
      Consumer<Job> attemptClosed,
      Runnable clusterChanged) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.completions = completions;
    this.failureAttribution = new FailureAttribution(context.settings(), state);
    this.performanceSamples = performanceSamples;
    this.attemptClosed = attemptClosed;
    this.clusterChanged = clusterChanged;
  }

  /**
   * Sets the stopper of attempts. It can't be a constructor parameter: stopping an attempt may end
   * it, and the end of an attempt may stop others, so each class refers to the other.
   */
  public void setStopper(TaskStopper stopper) {
    this.stopper = stopper;
  }

  /** Resumes completions, cancellations and gang restarts that an earlier leader began. */
  public void resume() {
    completions.resume();
    for (Job job : state.jobs.values()) {
      if (job.finalPhase == JobPhase.CANCELLED) {
        List.copyOf(job.openAttempts.values()).forEach(attempt -> stopper.requestStop(attempt, 0));
      } else if (isIncompleteGang(job)) {
        stopper.stopGang(job, 0);
      }
    }
  }

  /** Whether some, but not all, tasks of a gang have an open attempt. */
  private static boolean isIncompleteGang(Job job) {
    return job.spec.shape() == JobShape.GANG
        && job.openAttempts.size() < job.spec.tasks()
        && !job.openAttempts.isEmpty();
  }

  /**
   * Handles the exit of an attempt on its machine.
   *
   * @param saved whether the task saved its state before it exited
   */
  public void handleExit(Attempt attempt, Machine machine, ExitCause cause, boolean saved) {
    double now = context.clock().now();
    logExit(attempt, cause, saved, now);
    if (cause == ExitCause.DONE && attempt.job.spec.shape() != JobShape.SERVICE) {
      handleFinished(attempt, machine, now);
    } else {
      handleFailed(attempt, machine, cause, now);
    }
    close(attempt);
  }

  private static void logExit(Attempt attempt, ExitCause cause, boolean saved, double now) {
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "{} exited: {}{}; {} s after its start, {} s of them running, {} s expected",
          attempt,
          cause,
          saved ? ", saved" : "",
          Math.round(now - attempt.createdAt),
          attempt.runningAt < 0 ? 0 : Math.round(now - attempt.runningAt),
          Math.round(attempt.job.spec.expectS()));
    }
  }

  private void handleFinished(Attempt attempt, Machine machine, double now) {
    Job job = attempt.job;
    recordRunTime(attempt, machine, now);
    boolean ended = job.finalPhase != null;
    if (!ended) {
      markDone(attempt);
    }
    failureAttribution.recordSuccess(job, machine);
    if (!ended && job.remaining() == 0) {
      completions.decide(job, JobPhase.DONE);
      job.openAttempts.values().forEach(this::withdrawStop);
    }
  }

  /**
   * Adds the run time to the averages of job and machine if the task ran once, without a restart.
   */
  private void recordRunTime(Attempt attempt, Machine machine, double now) {
    Job job = attempt.job;
    if (attempt.runningAt >= 0
        && !job.restartedTasks.get(attempt.task)
        && !job.done.get(attempt.task)) {
      double ranS = Math.max(MIN_RUN_S, now - attempt.runningAt);
      job.finishedSumS += ranS;
      job.finishedCount++;
      machine.recordFinished(job.meanS() / ranS, performanceSamples);
    }
  }

  private static void markDone(Attempt attempt) {
    Job job = attempt.job;
    if (job.spec.shape() == JobShape.GANG) {
      // A gang completes together: when one task is done, every task is.
      job.done.set(0, job.spec.tasks());
    } else {
      job.done.set(attempt.task);
    }
  }

  /** Withdraws the stop request of an attempt: its job is done, so the attempt ends by itself. */
  private void withdrawStop(Attempt attempt) {
    attempt.stopping = false;
    Machine machine = state.machines.get(attempt.machine);
    if (machine != null) {
      machine.attemptsChanged();
    }
  }

  private void handleFailed(Attempt attempt, Machine machine, ExitCause cause, double now) {
    double heartbeatS = context.settings().workers().heartbeatIntervalS();
    switch (cause) {
      case ERROR -> failureAttribution.recordFailure(attempt, machine, now);
      case NO_ROOM, BUSY -> machine.avoidUntil = now + heartbeatS;
      case UNKNOWN -> attempt.job.backoffUntil = now + heartbeatS / BACKOFFS_PER_HEARTBEAT;
      default -> {}
    }
    stopRestOfGang(attempt, attempt.stopping ? attempt.stopGraceS : 0);
  }

  /** Handles an attempt that provably no longer runs although its exit was not reported. */
  public void handleLost(Attempt attempt, Machine machine, String reason) {
    LOG.info("{} no longer runs: {}", attempt, reason);
    stopRestOfGang(attempt, 0);
    close(attempt);
  }

  private void stopRestOfGang(Attempt attempt, double graceS) {
    Job job = attempt.job;
    if (job.spec.shape() == JobShape.GANG && job.finalPhase == null) {
      stopper.stopGang(job, graceS);
    }
  }

  /** Closes an attempt: frees its capacity and schedules the write of its shard. */
  public void close(Attempt attempt) {
    state.closeAttempt(attempt, context.clock().now());
    if (attempt.launchState != Attempt.LaunchState.UNCOMMITTED
        && attempt.launchState != Attempt.LaunchState.READY) {
      attempt.job.restartedTasks.set(attempt.task);
    }
    stateWriter.writeLater(attempt.job, attempt.task);
    attemptClosed.accept(attempt.job);
    clusterChanged.run();
  }
}
