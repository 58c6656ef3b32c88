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

  private final ControllerContext env;
  private final CallConcurrencyLimiter lanes;
  private final long epochBase;
  private final AgentReconciler.Outcome outcome;

  HeartbeatResponder(ControllerContext env, CallConcurrencyLimiter lanes, long epochBase, AgentReconciler.Outcome outcome) {
    this.env = env;
    this.lanes = lanes;
    this.epochBase = epochBase;
    this.outcome = outcome;
  }

  /**
   * The orders; {@code trusted}: our lease is proven, so that more may be done than to stop what is
   * to end.
   */
  List<AgentCommand> of(Machine m, Heartbeat r, boolean trusted) {
    List<AgentCommand> orders = new ArrayList<>();
    if (r.session() == m.session) {
      addStops(m, orders);
    }
    // One that a newer report or answer has overtaken lists what has ended since as running.
    if (trusted && r.session() == m.session && r.seq() == m.seq) {
      addStarts(m, orders);
      addReaps(m, r, orders);
    }
    return orders;
  }

  private void addStops(Machine m, List<AgentCommand> orders) {
    for (Attempt a : m.open.values()) {
      if (stopDue(a)) {
        orders.add(stop(a));
        a.stopSentAt = env.clock().now();
      }
    }
  }

  static boolean stopDue(Attempt a) {
    return a.stopping
        && (a.start == LaunchState.HELD || a.start == LaunchState.UNSURE || a.start == LaunchState.IN_RESPONSE);
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
    boolean failed = env.clock().now() - m.doFailedAt <= 2 * env.settings().workers().reportS();
    if (m.doInFlight || !(failed || lanes.waits(m))) {
      return;
    }
    for (Attempt a : m.open.values()) {
      if (a.start == LaunchState.READY && !a.stopping) {
        orders.add(start(a));
        a.start = LaunchState.IN_RESPONSE;
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
    boolean noLateStart = !m.doInFlight && r.token() > m.unsureToken && r.token() >= epochBase;
    for (TaskStatus t : r.tasks()) {
      Attempt a = m.open.get(Machine.taskKey(t.ref(), t.task()));
      boolean ours = a != null && a.number == t.attempt();
      if (t.state() == TaskState.EXITED) {
        if (!ours && noLateStart && outcome.settled(t.ref(), t.task())) {
          m.token = Math.max(m.token, m.sentToken + 1);
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
