package io.embernotch.jobs;

import io.embernotch.context.ControllerContext;
import io.embernotch.state.FailureAttribution;
import io.embernotch.state.ClusterState;
import io.embernotch.agents.TaskStopper;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.JobPhase;
import io.embernotch.model.JobShape;
import io.embernotch.persistence.StateWriter;
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
        List.copyOf(job.openAttempts.values()).forEach(a -> stopper.requestStop(a, 0));
      } else if (job.spec.shape() == JobShape.GANG
          && job.openAttempts.size() < job.spec.tasks()
          && !job.openAttempts.isEmpty()) {
        stopper.stopGang(job, 0);
      }
    }
  }

  /** An attempt has exited on its machine. */
  public void exited(Attempt a, Machine m, ExitCause cause, boolean saved) {
    Job job = a.job;
    double now = context.clock().now();
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "{} exited: {}{}; {} s after its start, {} s of them running, {} s expected",
          a,
          cause,
          saved ? ", saved" : "",
          Math.round(now - a.createdAt),
          a.runningAt < 0 ? 0 : Math.round(now - a.runningAt),
          Math.round(job.spec.expectS()));
    }
    if (cause == ExitCause.DONE && job.spec.shape() != JobShape.SERVICE) {
      finished(a, m, now);
    } else {
      failed(a, m, cause, now);
    }
    close(a);
  }

  private void finished(Attempt a, Machine m, double now) {
    Job job = a.job;
    if (a.runningAt >= 0 && !job.restartedTasks.get(a.task) && !job.done.get(a.task)) {
      double ran = Math.max(0.1, now - a.runningAt);
      job.finishedSumS += ran;
      job.finishedCount++;
      m.recordFinished(job.meanS() / ran, remembered);
    }
    boolean ended = job.finalPhase != null;
    if (!ended && job.spec.shape() == JobShape.GANG) {
      // A gang completes together: when one task is done, every task is.
      job.done.set(0, job.spec.tasks());
    } else if (!ended) {
      job.done.set(a.task);
    }
    failureAttribution.cleared(job, m);
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

  private void failed(Attempt a, Machine m, ExitCause cause, double now) {
    Job job = a.job;
    double heartbeat = context.settings().workers().heartbeatIntervalS();
    switch (cause) {
      case ERROR -> failureAttribution.failed(a, m, now);
      case NO_ROOM, BUSY -> m.avoidUntil = now + heartbeat;
      case UNKNOWN -> job.backoffUntil = now + heartbeat / 3;
      default -> {}
    }
    if (job.spec.shape() == JobShape.GANG && job.finalPhase == null) {
      stopper.stopGang(job, a.stopping ? a.stopGraceS : 0);
    }
  }

  /** An attempt is proven gone without an exit. */
  public void gone(Attempt a, Machine m, String why) {
    LOG.info("{} is gone: {}", a, why);
    if (a.job.spec.shape() == JobShape.GANG && a.job.finalPhase == null) {
      stopper.stopGang(a.job, 0);
    }
    close(a);
  }

  private void touched(Attempt a) {
    Machine m = state.machines.get(a.machine);
    if (m != null) {
      m.attemptsChanged();
    }
  }

  /** An attempt is over: its place is free, and what the store is to hold has changed. */
  public void close(Attempt a) {
    state.closeAttempt(a, context.clock().now());
    if (a.launchState != Attempt.LaunchState.UNCOMMITTED && a.launchState != Attempt.LaunchState.READY) {
      a.job.restartedTasks.set(a.task);
    }
    stateWriter.writeLater(a.job, a.task);
    closed.accept(a.job);
    changed.run();
  }
}
