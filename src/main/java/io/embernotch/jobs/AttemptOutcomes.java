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

/** What the end of an attempt means for its job: done marks, ends, gangs to break, blame. */
public final class AttemptOutcomes {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptOutcomes.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final JobCompletions completions;
  private final FailureAttribution failureAttribution;
  private final int remembered;
  private final Consumer<Job> closed;
  private final Runnable changed;
  private TaskStopper stopper;

  /**
   * @param remembered finished tasks that a machine's performance is counted from
   * @param closed is told of each job that has one attempt less open; {@code changed} asks for a
   *     plan
   */
  public AttemptOutcomes(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      JobCompletions completions,
      int remembered,
      Consumer<Job> closed,
      Runnable changed) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.completions = completions;
    this.failureAttribution = new FailureAttribution(context, state);
    this.remembered = remembered;
    this.closed = closed;
    this.changed = changed;
  }

  /** Stopping an attempt may end it, and an end may stop others, so each has to know the other. */
  public void setStopper(TaskStopper stopper) {
    this.stopper = stopper;
  }

  /** What an earlier leader has decided goes on, and what it has not finished is finished. */
  public void resume() {
    completions.resume();
    for (Job job : state.jobs.values()) {
      if (job.finalPhase == JobPhase.CANCELLED) {
        List.copyOf(job.openAttempts.values()).forEach(attempt -> stopper.requestStop(attempt, 0));
      } else if (job.spec.shape() == JobShape.GANG
          && job.openAttempts.size() < job.spec.tasks()
          && !job.openAttempts.isEmpty()) {
        stopper.stopGang(job, 0);
      }
    }
  }

  /** An attempt has exited on its machine. */
  public void exited(Attempt attempt, Machine machine, ExitCause cause, boolean saved) {
    Job job = attempt.job;
    double now = context.clock().now();
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "{} exited: {}{}; {} s after its start, {} s of them running, {} s expected",
          attempt,
          cause,
          saved ? ", saved" : "",
          Math.round(now - attempt.createdAt),
          attempt.runningAt < 0 ? 0 : Math.round(now - attempt.runningAt),
          Math.round(job.spec.expectS()));
    }
    if (cause == ExitCause.DONE && job.spec.shape() != JobShape.SERVICE) {
      finished(attempt, machine, now);
    } else {
      failed(attempt, machine, cause, now);
    }
    close(attempt);
  }

  private void finished(Attempt attempt, Machine machine, double now) {
    Job job = attempt.job;
    if (attempt.runningAt >= 0
        && !job.restartedTasks.get(attempt.task)
        && !job.done.get(attempt.task)) {
      double ran = Math.max(0.1, now - attempt.runningAt);
      job.finishedSumS += ran;
      job.finishedCount++;
      machine.recordFinished(job.meanS() / ran, remembered);
    }
    boolean ended = job.finalPhase != null;
    if (!ended && job.spec.shape() == JobShape.GANG) {
      // A gang completes together: when one task is done, every task is.
      job.done.set(0, job.spec.tasks());
    } else if (!ended) {
      job.done.set(attempt.task);
    }
    failureAttribution.cleared(job, machine);
    if (ended) {
      return;
    }
    if (job.remaining() == 0) {
      completions.decide(job, JobPhase.DONE);
      for (Attempt other : job.openAttempts.values()) {
        other.stopping = false;
        touched(other);
      }
    }
  }

  private void failed(Attempt attempt, Machine machine, ExitCause cause, double now) {
    Job job = attempt.job;
    double heartbeat = context.settings().workers().heartbeatIntervalS();
    switch (cause) {
      case ERROR -> failureAttribution.failed(attempt, machine, now);
      case NO_ROOM, BUSY -> machine.avoidUntil = now + heartbeat;
      case UNKNOWN -> job.backoffUntil = now + heartbeat / 3;
      default -> {}
    }
    if (job.spec.shape() == JobShape.GANG && job.finalPhase == null) {
      stopper.stopGang(job, attempt.stopping ? attempt.stopGraceS : 0);
    }
  }

  /** An attempt is proven gone without an exit. */
  public void gone(Attempt attempt, Machine machine, String why) {
    LOG.info("{} is gone: {}", attempt, why);
    if (attempt.job.spec.shape() == JobShape.GANG && attempt.job.finalPhase == null) {
      stopper.stopGang(attempt.job, 0);
    }
    close(attempt);
  }

  private void touched(Attempt attempt) {
    Machine machine = state.machines.get(attempt.machine);
    if (machine != null) {
      machine.attemptsChanged();
    }
  }

  /** An attempt is over: its place is free, and what the store is to hold has changed. */
  public void close(Attempt attempt) {
    state.closeAttempt(attempt, context.clock().now());
    if (attempt.launchState != Attempt.LaunchState.UNCOMMITTED
        && attempt.launchState != Attempt.LaunchState.READY) {
      attempt.job.restartedTasks.set(attempt.task);
    }
    stateWriter.writeLater(attempt.job, attempt.task);
    closed.accept(attempt.job);
    changed.run();
  }
}
