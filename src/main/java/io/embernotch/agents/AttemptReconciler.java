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

/**
 * Compares a machine's open attempts with the tasks that its newest heartbeat lists: what is listed
 * exists or has exited, and what is missing is gone only if no copy of its start can still be
 * executed.
 */
final class AttemptReconciler {
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
   * @param newAgentEpoch whether the agent has begun a new epoch since its previous heartbeat: all
   *     that it ran before has ended
   * @param now steady seconds
   */
  void reconcile(Heartbeat heartbeat, Machine machine, boolean newAgentEpoch, double now) {
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
        reconcileAbsent(attempt, machine, heartbeat, newAgentEpoch);
      }
    }
  }

  private void reconcilePresent(Attempt attempt, Machine machine, TaskStatus status, double now) {
    attempt.launchState = LaunchState.CONFIRMED;
    TaskState before = attempt.state;
    if (status.state() == TaskState.EXITED) {
      boolean hadImage = before != null && before != TaskState.FETCHING;
      if (hadImage || status.cause() == ExitCause.DONE) {
        imageCache.recordUse(machine, attempt.job.spec);
      }
      listener.taskExited(attempt, machine, status.cause(), status.saved());
      return;
    }
    if (before != status.state()) {
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
      Attempt attempt, Machine machine, Heartbeat heartbeat, boolean newAgentEpoch) {
    switch (attempt.launchState) {
      case CONFIRMED -> {
        if (newAgentEpoch || heartbeat.token() > attempt.startToken) {
          listener.attemptGone(
              attempt, machine, newAgentEpoch ? "new agent epoch" : "no longer in heartbeats");
        } else {
          // A machine that is back without its tasks would execute a copy of the start that
          // arrives only now.
          attempt.launchState = LaunchState.UNCONFIRMED;
          fenceOff(machine, attempt.startToken);
        }
      }
        // A response is executed before the next heartbeat or dropped, so this start never
        // happened.
      case IN_HEARTBEAT_RESPONSE -> launchNeverSent(attempt, machine);
      case UNCONFIRMED -> {
        // The late command carries at most startToken: an agent past it refuses the command. In an
        // agent epoch later than the one that the command names it is refused as well.
        if (heartbeat.token() > attempt.startToken
            || (newAgentEpoch && attempt.startToken >= tokenBase)) {
          listener.attemptGone(attempt, machine, "never started");
        }
      }
      case UNCOMMITTED, READY, SENDING -> {
        // Nothing has been sent, or the response to the direct command decides.
      }
    }
  }

  /**
   * No copy of the attempt's start is in flight any more, so it can be sent anew. An attempt that
   * is to end has ended with that: left open, it would never be closed, and would keep its gang
   * from starting again.
   */
  void launchNeverSent(Attempt attempt, Machine machine) {
    attempt.launchState = LaunchState.READY;
    if (attempt.stopping) {
      listener.attemptGone(attempt, machine, "never started");
    }
  }

  /**
   * A command under this token may yet arrive, even minutes late. Raises the machine's token above
   * it: once the agent has seen the higher one, it refuses the command.
   */
  static void fenceOff(Machine machine, long token) {
    machine.unconfirmedToken = Math.max(machine.unconfirmedToken, token);
    machine.token = Math.max(machine.token, token + 1);
  }
}
