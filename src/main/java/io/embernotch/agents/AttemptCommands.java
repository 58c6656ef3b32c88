package io.embernotch.agents;

import io.embernotch.model.AgentCommand;
import io.embernotch.model.Attempt;
import io.embernotch.model.Attempt.LaunchState;

/** The commands that start and stop an attempt, and when each of them may be sent. */
final class AttemptCommands {
  private AttemptCommands() {}

  /** True if the attempt is committed and no copy of its start is in flight. */
  static boolean isStartDue(Attempt attempt) {
    return attempt.launchState == LaunchState.READY && !attempt.stopping;
  }

  /** True if the attempt is to end and may be on its machine. */
  static boolean isStopDue(Attempt attempt) {
    return attempt.stopping
        && (attempt.launchState == LaunchState.CONFIRMED
            || attempt.launchState == LaunchState.UNCONFIRMED
            || attempt.launchState == LaunchState.IN_HEARTBEAT_RESPONSE);
  }

  static AgentCommand start(Attempt attempt) {
    return new AgentCommand(
        AgentCommand.Verb.START, attempt.job.spec.ref(), attempt.task, attempt.number, 0);
  }

  static AgentCommand stop(Attempt attempt) {
    return new AgentCommand(
        AgentCommand.Verb.STOP,
        attempt.job.spec.ref(),
        attempt.task,
        attempt.number,
        attempt.stopGraceS);
  }
}
