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

/** What the answer to a worker's heartbeat has it do. */
final class HeartbeatResponder {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatResponder.class);

  private final ControllerContext context;
  private final CallConcurrencyLimiter callLimiter;
  private final long tokenBase;
  private final AgentReconciler.Listener listener;

  HeartbeatResponder(
      ControllerContext context,
      CallConcurrencyLimiter callLimiter,
      long tokenBase,
      AgentReconciler.Listener listener) {
    this.context = context;
    this.callLimiter = callLimiter;
    this.tokenBase = tokenBase;
    this.listener = listener;
  }

  /**
   * The orders; {@code trusted}: our lease is proven, so that more may be done than to stop what is
   * to end.
   */
  List<AgentCommand> commandsFor(Machine machine, Heartbeat heartbeat, boolean trusted) {
    List<AgentCommand> orders = new ArrayList<>();
    if (heartbeat.agentEpoch() == machine.agentEpoch) {
      addStops(machine, orders);
    }
    // One that a newer heartbeat or answer has overtaken lists what has ended since as running.
    if (trusted
        && heartbeat.agentEpoch() == machine.agentEpoch
        && heartbeat.seq() == machine.heartbeatSeq) {
      addStarts(machine, orders);
      addReaps(machine, heartbeat, orders);
    }
    return orders;
  }

  private void addStops(Machine machine, List<AgentCommand> orders) {
    for (Attempt attempt : machine.openAttempts.values()) {
      if (stopDue(attempt)) {
        orders.add(stop(attempt));
        attempt.stopSentAt = context.clock().now();
      }
    }
  }

  static boolean stopDue(Attempt attempt) {
    return attempt.stopping
        && (attempt.launchState == LaunchState.CONFIRMED
            || attempt.launchState == LaunchState.UNCONFIRMED
            || attempt.launchState == LaunchState.IN_HEARTBEAT_RESPONSE);
  }

  static AgentCommand stop(Attempt attempt) {
    return new AgentCommand(
        AgentCommand.Verb.STOP,
        attempt.job.spec.ref(),
        attempt.task,
        attempt.number,
        attempt.stopGraceS);
  }

  static AgentCommand start(Attempt attempt) {
    return new AgentCommand(
        AgentCommand.Verb.START, attempt.job.spec.ref(), attempt.task, attempt.number, 0);
  }

  /**
   * Where the direct way has just failed, or is waited for, starts go out with the response
   * instead.
   */
  private void addStarts(Machine machine, List<AgentCommand> orders) {
    boolean failed =
        context.clock().now() - machine.commandFailedAt
            <= 2 * context.settings().workers().heartbeatIntervalS();
    if (machine.commandInFlight || !(failed || callLimiter.waits(machine))) {
      return;
    }
    for (Attempt attempt : machine.openAttempts.values()) {
      if (attempt.launchState == LaunchState.READY && !attempt.stopping) {
        orders.add(start(attempt));
        attempt.launchState = LaunchState.IN_HEARTBEAT_RESPONSE;
        attempt.startToken = machine.token;
      }
    }
  }

  /**
   * Lets the worker forget exited attempts, once what they mean is in the store and no copy of
   * their start can be carried out any more: the worker would run a forgotten attempt once more.
   * Even a command that was answered may be repeated on its way, so the answer that forgets carries
   * a token above all that starts have left under; the worker takes the token first.
   */
  private void addReaps(Machine machine, Heartbeat heartbeat, List<AgentCommand> orders) {
    boolean noLateStart =
        !machine.commandInFlight
            && heartbeat.token() > machine.unconfirmedToken
            && heartbeat.token() >= tokenBase;
    for (TaskStatus t : heartbeat.tasks()) {
      Attempt attempt = machine.openAttempts.get(Machine.taskKey(t.ref(), t.task()));
      boolean ours = attempt != null && attempt.number == t.attempt();
      if (t.state() == TaskState.EXITED) {
        if (!ours && noLateStart && listener.isOutcomePersisted(t.ref(), t.task())) {
          machine.token = Math.max(machine.token, machine.highestSentToken + 1);
          orders.add(new AgentCommand(AgentCommand.Verb.FORGET, t.ref(), t.task(), t.attempt(), 0));
        }
      } else if (!ours) {
        // Nothing that we let run is missing from the cluster state, so this must not run.
        LOG.warn(
            "machine {} runs {}/{}#{}, which should be gone",
            machine.name,
            t.ref(),
            t.task(),
            t.attempt());
        orders.add(new AgentCommand(AgentCommand.Verb.STOP, t.ref(), t.task(), t.attempt(), 0));
      }
    }
  }
}
