package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.AgentCommand;
import io.embernotch.model.Attempt;
import io.embernotch.model.Attempt.LaunchState;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import io.embernotch.model.TaskState;
import io.embernotch.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects the commands for the response to an agent's heartbeat. Only responses carry starts: an
 * agent executes a response at most once, and drops it 4 s after it has sent the heartbeat.
 */
final class HeartbeatResponder {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatResponder.class);

  private final ControllerContext context;
  private final long tokenBase;
  private final AgentReconciler.Listener listener;

  HeartbeatResponder(ControllerContext context, long tokenBase, AgentReconciler.Listener listener) {
    this.context = context;
    this.tokenBase = tokenBase;
    this.listener = listener;
  }

  /**
   * Returns the commands for the response to a heartbeat that has been reconciled.
   *
   * @param leaseProven whether the leader's lease is proven; otherwise only stops are sent
   */
  List<AgentCommand> commandsFor(Machine machine, Heartbeat heartbeat, boolean leaseProven) {
    List<AgentCommand> commands = new ArrayList<>();
    if (heartbeat.agentEpoch() == machine.agentEpoch) {
      addStops(machine, commands);
    }
    // A newer heartbeat, or the response to a call, may have overtaken this heartbeat, which then
    // lists tasks as running that have exited since.
    if (leaseProven
        && heartbeat.agentEpoch() == machine.agentEpoch
        && heartbeat.seq() == machine.heartbeatSeq) {
      addStarts(machine, commands);
      addCommandsForClosedAttempts(machine, heartbeat, commands);
    }
    return commands;
  }

  private void addStops(Machine machine, List<AgentCommand> commands) {
    for (Attempt attempt : machine.openAttempts.values()) {
      if (AttemptCommands.isStopDue(attempt)) {
        commands.add(AttemptCommands.stopCommand(attempt));
        attempt.stopSentAt = context.clock().now();
      }
    }
  }

  private static void addStarts(Machine machine, List<AgentCommand> commands) {
    for (Attempt attempt : machine.openAttempts.values()) {
      if (AttemptCommands.isStartDue(attempt)) {
        commands.add(AttemptCommands.startCommand(attempt));
        attempt.launchState = LaunchState.IN_HEARTBEAT_RESPONSE;
        attempt.startToken = machine.token;
      }
    }
  }

  /**
   * Makes the agent forget exited attempts once their outcome is in the store and no copy of their
   * start command can be executed any more: the agent would run a forgotten attempt again. Copies
   * of direct starts can be left only of a leader of an earlier version. The agent refuses them
   * once it has seen a token of this term.
   *
   * <p>A task that runs without an open attempt is stopped.
   */
  private void addCommandsForClosedAttempts(
      Machine machine, Heartbeat heartbeat, List<AgentCommand> commands) {
    boolean noDelayedStart =
        !machine.commandInFlight
            && heartbeat.token() > machine.unconfirmedToken
            && heartbeat.token() >= tokenBase;
    for (TaskStatus status : heartbeat.tasks()) {
      Attempt attempt = machine.openAttempts.get(Machine.taskKey(status.ref(), status.task()));
      boolean open = attempt != null && attempt.number == status.attempt();
      if (open) {
        continue;
      }
      if (status.state() != TaskState.EXITED) {
        // The cluster state contains every started attempt that may continue, so this one may not.
        LOG.warn(
            "machine {} runs {}/{}#{}, for which no attempt is open: stopping it",
            machine.name,
            status.ref(),
            status.task(),
            status.attempt());
        commands.add(command(AgentCommand.Verb.STOP, status));
      } else if (noDelayedStart && listener.isOutcomePersisted(status.ref(), status.task())) {
        commands.add(command(AgentCommand.Verb.FORGET, status));
      }
    }
  }

  private static AgentCommand command(AgentCommand.Verb verb, TaskStatus status) {
    return new AgentCommand(verb, status.ref(), status.task(), status.attempt(), 0);
  }
}
