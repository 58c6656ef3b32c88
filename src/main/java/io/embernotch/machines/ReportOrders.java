package io.embernotch.machines;

import io.embernotch.env.Env;
import io.embernotch.model.Attempt;
import io.embernotch.model.Attempt.Start;
import io.embernotch.model.Machine;
import io.embernotch.model.Order;
import io.embernotch.model.TaskReport;
import io.embernotch.model.TaskState;
import io.embernotch.model.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the answer to a worker's report has it do. */
final class ReportOrders {
  private static final Logger LOG = LoggerFactory.getLogger(ReportOrders.class);

  private final Env env;
  private final Lanes lanes;
  private final long epochBase;
  private final Workers.Outcome outcome;

  ReportOrders(Env env, Lanes lanes, long epochBase, Workers.Outcome outcome) {
    this.env = env;
    this.lanes = lanes;
    this.epochBase = epochBase;
    this.outcome = outcome;
  }

  /**
   * The orders; {@code trusted}: our lease is proven, so that more may be done than to stop what is
   * to end.
   */
  List<Order> of(Machine m, WorkerReport r, boolean trusted) {
    List<Order> orders = new ArrayList<>();
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

  private void addStops(Machine m, List<Order> orders) {
    for (Attempt a : m.open.values()) {
      if (stopDue(a)) {
        orders.add(stop(a));
        a.stopSentAt = env.clock().now();
      }
    }
  }

  static boolean stopDue(Attempt a) {
    return a.stopping
        && (a.start == Start.HELD || a.start == Start.UNSURE || a.start == Start.IN_RESPONSE);
  }

  static Order stop(Attempt a) {
    return new Order(Order.Verb.STOP, a.job.spec.ref(), a.task, a.number, a.stopGraceS);
  }

  static Order start(Attempt a) {
    return new Order(Order.Verb.START, a.job.spec.ref(), a.task, a.number, 0);
  }

  /**
   * Where the direct way has just failed, or is waited for, starts go out with the response
   * instead.
   */
  private void addStarts(Machine m, List<Order> orders) {
    boolean failed = env.clock().now() - m.doFailedAt <= 2 * env.settings().workers().reportS();
    if (m.doInFlight || !(failed || lanes.waits(m))) {
      return;
    }
    for (Attempt a : m.open.values()) {
      if (a.start == Start.READY && !a.stopping) {
        orders.add(start(a));
        a.start = Start.IN_RESPONSE;
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
  private void addReaps(Machine m, WorkerReport r, List<Order> orders) {
    boolean noLateStart = !m.doInFlight && r.token() > m.unsureToken && r.token() >= epochBase;
    for (TaskReport t : r.tasks()) {
      Attempt a = m.open.get(Machine.taskKey(t.ref(), t.task()));
      boolean ours = a != null && a.number == t.attempt();
      if (t.state() == TaskState.EXITED) {
        if (!ours && noLateStart && outcome.settled(t.ref(), t.task())) {
          m.token = Math.max(m.token, m.sentToken + 1);
          orders.add(new Order(Order.Verb.FORGET, t.ref(), t.task(), t.attempt(), 0));
        }
      } else if (!ours) {
        // Nothing that we let run is missing from the ledger, so this must not run.
        LOG.warn(
            "machine {} runs {}/{}#{}, which should be gone",
            m.name,
            t.ref(),
            t.task(),
            t.attempt());
        orders.add(new Order(Order.Verb.STOP, t.ref(), t.task(), t.attempt(), 0));
      }
    }
  }
}
