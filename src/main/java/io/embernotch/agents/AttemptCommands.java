package io.embernotch.agents;

import io.embernotch.model.AgentCommand;
import io.embernotch.model.Attempt;
import io.embernotch.model.Attempt.LaunchState;

/** Creates the commands that start and stop an attempt, and decides when each of them is due. */
final class AttemptCommands {
  private AttemptCommands() {}

  /**
   * Returns whether the attempt is committed, is not to be stopped, and no copy of its start
   * command is in flight.
   */
  static boolean isStartDue(Attempt attempt) {
    return attempt.launchState == LaunchState.READY && !attempt.stopping;
  }

  /** Returns whether the attempt is to be stopped and may exist on its machine. */
  static boolean isStopDue(Attempt attempt) {
    return attempt.stopping
        && (attempt.launchState == LaunchState.CONFIRMED
            || attempt.launchState == LaunchState.UNCONFIRMED
            || attempt.launchState == LaunchState.IN_HEARTBEAT_RESPONSE);
  }

  static AgentCommand startCommand(Attempt attempt) {
    return new AgentCommand(
        AgentCommand.Verb.START, attempt.job.spec.ref(), attempt.task, attempt.number, 0);
  }

  static AgentCommand stopCommand(Attempt attempt) {
    return new AgentCommand(
        AgentCommand.Verb.STOP,
        attempt.job.spec.ref(),
        attempt.task,
        attempt.number,
        attempt.stopGraceS);
  }
}
