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

  private final ControllerContext env;
  private final ClusterState ledger;
  private final StateWriter committer;
  private final JobCompletions endings;
  private final FailureAttribution blame;
  private final int remembered;
  private final Consumer<Job> closed;
  private final Runnable changed;
  private TaskStopper stops;

  /**
   * @param remembered finished tasks that a machine's performance is counted from
   * @param closed is told of each job that has one attempt less open; {@code changed} asks for a
   *     plan
   */
  public AttemptOutcomes(
      ControllerContext env,
      ClusterState ledger,
      StateWriter committer,
      JobCompletions endings,
      int remembered,
      Consumer<Job> closed,
      Runnable changed) {
    this.env = env;
    this.ledger = ledger;
    this.committer = committer;
    this.endings = endings;
    this.blame = new FailureAttribution(env, ledger);
    this.remembered = remembered;
    this.closed = closed;
    this.changed = changed;
  }

  /** Stopping an attempt may end it, and an end may stop others, so each has to know the other. */
  public void stopBy(TaskStopper stops) {
    this.stops = stops;
  }

  /** What an earlier leader has decided goes on, and what it has not finished is finished. */
  public void takeOver() {
    endings.takeOver();
    for (Job job : ledger.jobs.values()) {
      if (job.end == JobPhase.CANCELLED) {
        List.copyOf(job.open.values()).forEach(a -> stops.want(a, 0));
      } else if (job.spec.shape() == JobShape.GANG
          && job.open.size() < job.spec.tasks()
          && !job.open.isEmpty()) {
        stops.breakGang(job, 0);
      }
    }
  }

  /** An attempt has exited on its machine. */
  public void exited(Attempt a, Machine m, ExitCause cause, boolean saved) {
    Job job = a.job;
    double now = env.clock().now();
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
    if (a.runningAt >= 0 && !job.restarted.get(a.task) && !job.done.get(a.task)) {
      double ran = Math.max(0.1, now - a.runningAt);
      job.finishedSumS += ran;
      job.finishedCount++;
      m.finished(job.meanS() / ran, remembered);
    }
    boolean ended = job.end != null;
    if (!ended && job.spec.shape() == JobShape.GANG) {
      // A gang completes together: when one task is done, every task is.
      job.done.set(0, job.spec.tasks());
    } else if (!ended) {
      job.done.set(a.task);
    }
    blame.cleared(job, m);
    if (ended) {
      return;
    }
    if (job.remaining() == 0) {
      endings.decide(job, JobPhase.DONE);
      for (Attempt other : job.open.values()) {
        other.stopping = false;
        touched(other);
      }
    }
  }

  private void failed(Attempt a, Machine m, ExitCause cause, double now) {
    Job job = a.job;
    double report = env.settings().workers().reportS();
    switch (cause) {
      case ERROR -> blame.failed(a, m, now);
      case NO_ROOM, BUSY -> m.avoidUntil = now + report;
      case UNKNOWN -> job.backoffUntil = now + report / 3;
      default -> {}
    }
    if (job.spec.shape() == JobShape.GANG && job.end == null) {
      stops.breakGang(job, a.stopping ? a.stopGraceS : 0);
    }
  }

  /** An attempt is proven gone without an exit. */
  public void gone(Attempt a, Machine m, String why) {
    LOG.info("{} is gone: {}", a, why);
    if (a.job.spec.shape() == JobShape.GANG && a.job.end == null) {
      stops.breakGang(a.job, 0);
    }
    close(a);
  }

  private void touched(Attempt a) {
    Machine m = ledger.machines.get(a.machine);
    if (m != null) {
      m.touched();
    }
  }

  /** An attempt is over: its place is free, and what the store is to hold has changed. */
  public void close(Attempt a) {
    ledger.close(a, env.clock().now());
    if (a.start != Attempt.LaunchState.UNCOMMITTED && a.start != Attempt.LaunchState.READY) {
      a.job.restarted.set(a.task);
    }
    committer.later(a.job, a.task);
    closed.accept(a.job);
    changed.run();
  }
}
