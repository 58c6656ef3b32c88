package io.embernotch.agents;

import io.embernotch.actor.Clock;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops attempts: a single one, a whole gang, or all on a machine. Confined to the leader's event
 * loop.
 */
public final class TaskStopper {
  private static final Logger LOG = LoggerFactory.getLogger(TaskStopper.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler agents;
  private final Consumer<Attempt> close;
  private final BooleanSupplier isLoaded;

  /**
   * Creates the stopper of a term.
   *
   * @param close closes an attempt whose start command has not been sent
   * @param isLoaded whether the store has been loaded; no command is sent before
   */
  public TaskStopper(
      ControllerContext context,
      ClusterState state,
      AgentReconciler agents,
      Consumer<Attempt> close,
      BooleanSupplier isLoaded) {
    this.context = context;
    this.state = state;
    this.agents = agents;
    this.close = close;
    this.isLoaded = isLoaded;
  }

  /**
   * Requests that an attempt stop. One whose start command has not been sent is closed at once.
   *
   * @param graceS seconds that the task has to save a checkpoint; the shortest requested one counts
   */
  public void requestStop(Attempt attempt, double graceS) {
    if (attempt.launchState == Attempt.LaunchState.UNCOMMITTED
        || attempt.launchState == Attempt.LaunchState.READY) {
      close.accept(attempt);
      return;
    }
    if (!attempt.stopping || graceS < attempt.stopGraceS) {
      LOG.debug("stopping {} with {} s to save: {}", attempt, graceS, reason(attempt.job));
      attempt.stopping = true;
      attempt.stopGraceS = graceS;
      attempt.stopRequestedAt = context.clock().now();
      attempt.stopSentAt = Clock.NEVER;
    }
    Machine machine = state.machines.get(attempt.machine);
    if (machine != null && isLoaded.getAsBoolean()) {
      machine.attemptsChanged();
      agents.sendDueCommands(machine);
    }
  }

  private static String reason(Job job) {
    if (job.finalPhase != null) {
      return "the job has ended";
    }
    return job.cancelRequested ? "a user cancelled the job" : "preempted, displaced or restarted";
  }

  /**
   * Stops the open attempts of a gang. The gang's next attempt starts when all of them have ended.
   */
  public void stopGang(Job job, double graceS) {
    for (Attempt attempt : List.copyOf(job.openAttempts.values())) {
      if (!attempt.stopping) {
        requestStop(attempt, graceS);
      }
    }
  }

  /** Stops an attempt and, if it belongs to a gang, the gang's other attempts. */
  public void stopWithGang(Attempt attempt, double graceS) {
    if (attempt.job.spec.shape() == JobShape.GANG) {
      stopGang(attempt.job, graceS);
    } else {
      requestStop(attempt, graceS);
    }
  }

  /**
   * Stops all attempts on a machine if the cloud is about to reclaim it.
   *
   * @return whether the machine is up and has no open attempts, and is either about to be reclaimed
   *     or cordoned
   */
  public boolean drain(Machine machine) {
    if (machine.reclaimAt >= 0) {
      for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
        if (!attempt.stopping && attempt.job.finalPhase == null) {
          stopWithGang(attempt, attempt.job.spec.checkpointS() > 0 ? attempt.job.spec.saveS() : 0);
        }
      }
    }
    return (machine.reclaimAt >= 0 || machine.cordoned)
        && machine.openAttempts.isEmpty()
        && machine.up();
  }
}
