package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Attempt.LaunchState;
import io.embernotch.model.Machine;
import io.embernotch.model.AgentCommand;
import io.embernotch.model.TaskStatus;
import io.embernotch.model.TaskState;
import io.embernotch.model.Heartbeat;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the answer to a worker's report has it do. */
final class HeartbeatResponder {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatResponder.class);

  private final ControllerContext context;
  private final CallConcurrencyLimiter callLimiter;
  private final long tokenBase;
  private final AgentReconciler.Listener listener;

  HeartbeatResponder(ControllerContext context, CallConcurrencyLimiter callLimiter, long tokenBase, AgentReconciler.Listener listener) {
    this.context = context;
    this.callLimiter = callLimiter;
    this.tokenBase = tokenBase;
    this.listener = listener;
  }

  /**
   * The orders; {@code trusted}: our lease is proven, so that more may be done than to stop what is
   * to end.
   */
  List<AgentCommand> commandsFor(Machine m, Heartbeat r, boolean trusted) {
    List<AgentCommand> orders = new ArrayList<>();
    if (r.agentEpoch() == m.agentEpoch) {
      addStops(m, orders);
    }
    // One that a newer report or answer has overtaken lists what has ended since as running.
    if (trusted && r.agentEpoch() == m.agentEpoch && r.seq() == m.heartbeatSeq) {
      addStarts(m, orders);
      addReaps(m, r, orders);
    }
    return orders;
  }

  private void addStops(Machine m, List<AgentCommand> orders) {
    for (Attempt a : m.openAttempts.values()) {
      if (stopDue(a)) {
        orders.add(stop(a));
        a.stopSentAt = context.clock().now();
      }
    }
  }

  static boolean stopDue(Attempt a) {
    return a.stopping
        && (a.launchState == LaunchState.CONFIRMED || a.launchState == LaunchState.UNCONFIRMED || a.launchState == LaunchState.IN_HEARTBEAT_RESPONSE);
  }

  static AgentCommand stop(Attempt a) {
    return new AgentCommand(AgentCommand.Verb.STOP, a.job.spec.ref(), a.task, a.number, a.stopGraceS);
  }

  static AgentCommand start(Attempt a) {
    return new AgentCommand(AgentCommand.Verb.START, a.job.spec.ref(), a.task, a.number, 0);
  }

  /**
   * Where the direct way has just failed, or is waited for, starts go out with the response
   * instead.
   */
  private void addStarts(Machine m, List<AgentCommand> orders) {
    boolean failed = context.clock().now() - m.commandFailedAt <= 2 * context.settings().workers().heartbeatIntervalS();
    if (m.commandInFlight || !(failed || callLimiter.waits(m))) {
      return;
    }
    for (Attempt a : m.openAttempts.values()) {
      if (a.launchState == LaunchState.READY && !a.stopping) {
        orders.add(start(a));
        a.launchState = LaunchState.IN_HEARTBEAT_RESPONSE;
        a.startToken = m.token;
      }
    }
  }

  /**
   * Lets the worker forget exited attempts, once what they mean is in the store and no copy of
   * their start can be carried out any more: the worker would run a forgotten attempt once more.
   * Even a command that was answered may be repeated on its way, so the answer that forgets carries
   * a token above all that starts have left under; the worker takes the token first.
   */
  private void addReaps(Machine m, Heartbeat r, List<AgentCommand> orders) {
    boolean noLateStart = !m.commandInFlight && r.token() > m.unconfirmedToken && r.token() >= tokenBase;
    for (TaskStatus t : r.tasks()) {
      Attempt a = m.openAttempts.get(Machine.taskKey(t.ref(), t.task()));
      boolean ours = a != null && a.number == t.attempt();
      if (t.state() == TaskState.EXITED) {
        if (!ours && noLateStart && listener.isOutcomePersisted(t.ref(), t.task())) {
          m.token = Math.max(m.token, m.highestSentToken + 1);
          orders.add(new AgentCommand(AgentCommand.Verb.FORGET, t.ref(), t.task(), t.attempt(), 0));
        }
      } else if (!ours) {
        // Nothing that we let run is missing from the ledger, so this must not run.
        LOG.warn(
            "machine {} runs {}/{}#{}, which should be gone",
            m.name,
            t.ref(),
            t.task(),
            t.attempt());
        orders.add(new AgentCommand(AgentCommand.Verb.STOP, t.ref(), t.task(), t.attempt(), 0));
      }
    }
  }
}
