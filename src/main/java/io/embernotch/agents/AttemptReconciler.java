package io.embernotch.agents;

import io.embernotch.model.Attempt;
import io.embernotch.model.Attempt.LaunchState;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import io.embernotch.model.TaskState;
import io.embernotch.model.TaskStatus;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares a machine's open attempts with the tasks that its newest heartbeat lists. A listed
 * attempt exists or has exited. A missing one has ended for good only if the agent cannot execute a
 * delayed copy of its start command any more.
 */
final class AttemptReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptReconciler.class);

  private final long tokenBase;
  private final AgentReconciler.Listener listener;
  private final ImageCache imageCache;

  AttemptReconciler(long tokenBase, AgentReconciler.Listener listener, ImageCache imageCache) {
    this.tokenBase = tokenBase;
    this.listener = listener;
    this.imageCache = imageCache;
  }

  /**
   * Reconciles all open attempts of a machine with its newest heartbeat.
   *
   * @param origin how the heartbeat came about
   * @param newAgentEpoch whether the agent has begun a new epoch since its previous heartbeat, so
   *     that everything it ran before has ended
   * @param now seconds of the steady clock
   */
  void reconcile(
      Heartbeat heartbeat,
      HeartbeatOrigin origin,
      Machine machine,
      boolean newAgentEpoch,
      double now) {
    Set<String> listed = new HashSet<>();
    for (TaskStatus status : heartbeat.tasks()) {
      String key = Machine.taskKey(status.ref(), status.task());
      Attempt attempt = machine.openAttempts.get(key);
      if (attempt != null && attempt.number == status.attempt()) {
        listed.add(key);
        reconcilePresent(attempt, machine, status, now);
      } else {
        listener.unexpectedTaskReported(machine, status.ref());
      }
    }
    for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
      if (!listed.contains(Machine.taskKey(attempt.job.spec.ref(), attempt.task))) {
        reconcileAbsent(attempt, machine, heartbeat, origin, newAgentEpoch);
      }
    }
  }

  private void reconcilePresent(Attempt attempt, Machine machine, TaskStatus status, double now) {
    attempt.launchState = LaunchState.CONFIRMED;
    TaskState previousState = attempt.state;
    if (status.state() == TaskState.EXITED) {
      boolean hadImage = previousState != null && previousState != TaskState.FETCHING;
      if (hadImage || status.cause() == ExitCause.DONE) {
        imageCache.recordUse(machine, attempt.job.spec);
      }
      listener.taskExited(attempt, machine, status.cause(), status.saved());
      return;
    }
    if (previousState != status.state()) {
      attempt.state = status.state();
      machine.attemptsChanged();
      if (status.state() != TaskState.FETCHING) {
        imageCache.recordUse(machine, attempt.job.spec);
      }
    }
    if (status.state() == TaskState.RUNNING && attempt.runningAt < 0) {
      attempt.runningAt = now;
      listener.taskRunning(attempt, machine);
    }
  }

  private void reconcileAbsent(
      Attempt attempt,
      Machine machine,
      Heartbeat heartbeat,
      HeartbeatOrigin origin,
      boolean newAgentEpoch) {
    switch (attempt.launchState) {
      case CONFIRMED -> {
        if (newAgentEpoch || heartbeat.token() > attempt.startToken) {
          listener.attemptLost(
              attempt, machine, newAgentEpoch ? "new agent epoch" : "no longer in heartbeats");
        } else {
          // The agent may have restarted without its tasks. It would still execute a delayed copy
          // of the start command, so the attempt stays open until the agent reports a higher token.
          attempt.launchState = LaunchState.UNCONFIRMED;
          fenceOff(machine, attempt.startToken);
        }
      }
      case IN_HEARTBEAT_RESPONSE -> {
        // The agent drops a response to a heartbeat of a former epoch, or with a lower token than
        // it
        // has seen. It has executed or dropped it before it sends its next heartbeat. The response
        // to a call proves neither: the agent may make it while the other response is in flight.
        if (origin == HeartbeatOrigin.SENT_BY_AGENT
            || newAgentEpoch
            || heartbeat.token() > attempt.startToken) {
          startNotExecuted(attempt, machine);
        }
      }
      case UNCONFIRMED -> {
        // A delayed start command carries at most startToken, so an agent that has seen a higher
        // token refuses it. So does an agent in a later epoch than the command names, which is
        // known only for commands of this term.
        if (heartbeat.token() > attempt.startToken
            || (newAgentEpoch && attempt.startToken >= tokenBase)) {
          listener.attemptLost(attempt, machine, "never started");
        }
      }
      case UNCOMMITTED, READY -> {
        // Nothing has been sent.
      }
    }
  }

  /**
   * Records that the attempt's start command was not executed and no copy of it is in flight, so it
   * can be sent again. An attempt that is to be stopped has thereby ended. If it stayed open, it
   * would never be closed, and its gang could not start again.
   */
  private void startNotExecuted(Attempt attempt, Machine machine) {
    LOG.debug("{} was not executed: the response with its start command was dropped", attempt);
    attempt.launchState = LaunchState.READY;
    if (attempt.stopping) {
      listener.attemptLost(attempt, machine, "never started");
    }
  }

  /**
   * Raises the machine's token above that of a command which may still arrive, even minutes late.
   * Once the agent has seen the higher token, it refuses the command.
   */
  private static void fenceOff(Machine machine, long token) {
    machine.unconfirmedToken = Math.max(machine.unconfirmedToken, token);
    machine.token = Math.max(machine.token, token + 1);
  }
}
