package io.embernotch.agents;

import io.embernotch.actor.Clock;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects machines behind a one-way partition: their heartbeats arrive while neither responses nor
 * commands reach them. No failure detector finds such a machine unresponsive, so it would be given
 * starts by each scheduling pass, each of which costs commits, and a gang with a task there would
 * never begin.
 *
 * <p>A machine is proven reachable by a fencing token of this term that it has not reported before,
 * or by the response to a call. Signs of the contrary: a heartbeat that still shows a lower token
 * than the one that the previous heartbeat was answered with; one that comes by another controller
 * right after the previous one did, since an agent changes controllers only if it gets no response;
 * a lease that expired although its heartbeats were answered; a call that was tried and not
 * answered. Where the machine had no new token to report, the next response carries a token raised
 * by one, and the heartbeat after it decides.
 */
final class ReachabilityTracker {
  private static final Logger LOG = LoggerFactory.getLogger(ReachabilityTracker.class);

  /**
   * So many signs in a row, and a machine is taken for unreachable: a single response may be late,
   * and a controller may have failed.
   */
  private static final int SIGNS_REQUIRED = 2;

  /**
   * So many machines with unanswered calls in a row while none is answered, and it is rather this
   * leader that reaches nobody.
   */
  private static final int MACHINES_TO_SUSPECT_LEADER = 3;

  private final long tokenBase;
  private final double heartbeatIntervalS;

  /** Machines whose calls were not answered since the last call that was. */
  private final Set<Machine> unansweredMachines = new LinkedHashSet<>();

  /** When a call to any machine was last answered. */
  private double lastCallAnsweredAt = Clock.NEVER;

  ReachabilityTracker(long tokenBase, double heartbeatIntervalS) {
    this.tokenBase = tokenBase;
    this.heartbeatIntervalS = heartbeatIntervalS;
  }

  /**
   * A newer heartbeat has arrived; {@code machine} is still in the state from before it.
   *
   * @param forwarder the process incarnation of the controller that it was sent to
   * @param now steady seconds
   */
  void heartbeatReceived(Machine machine, Heartbeat heartbeat, long forwarder, double now) {
    boolean forwarderChanged =
        machine.lastForwarder != Machine.NO_FORWARDER && machine.lastForwarder != forwarder;
    boolean answered = machine.lastAnsweredToken > 0;
    machine.lastForwarder = forwarder;
    if (answered && heartbeat.token() < machine.lastAnsweredToken) {
      acknowledgementMissed(machine, now);
    } else if (heartbeat.token() > machine.acknowledgedToken && heartbeat.token() >= tokenBase) {
      confirmReachable(machine, now);
    } else if (forwarderChanged) {
      // The first change may be because a controller has failed; the next one decides.
      machine.forwarderChanges++;
      if (machine.forwarderChanges >= SIGNS_REQUIRED) {
        acknowledgementMissed(machine, now);
        probeWithNextToken(machine);
      }
    } else {
      machine.forwarderChanges = 0;
    }
    boolean agentRestarted = heartbeat.agentEpoch() > machine.agentEpoch && machine.agentEpoch > 0;
    if (answered && agentRestarted) {
      // Its lease expired although its heartbeats were answered.
      acknowledgementMissed(machine, now);
      probeWithNextToken(machine);
    }
    machine.acknowledgedToken = Math.max(machine.acknowledgedToken, heartbeat.token());
  }

  /** The next response carries a token that the machine has not reported yet. */
  private static void probeWithNextToken(Machine machine) {
    machine.token =
        Math.max(machine.token, Math.max(machine.acknowledgedToken, machine.lastAnsweredToken) + 1);
  }

  /** A heartbeat is being answered with the machine's token. */
  void answering(Machine machine) {
    machine.lastAnsweredToken = machine.token;
    machine.highestIssuedToken = Math.max(machine.highestIssuedToken, machine.token);
  }

  /** The machine has answered a call. */
  void callAnswered(Machine machine, double now) {
    lastCallAnsweredAt = now;
    unansweredMachines.clear();
    confirmReachable(machine, now);
  }

  private static void confirmReachable(Machine machine, double now) {
    if (machine.unreachableSince >= 0) {
      LOG.info(
          "machine {} is reachable again after {} s",
          machine.name,
          Math.round(now - machine.unreachableSince));
    }
    machine.confirmedAliveAt = now;
    machine.missedAcknowledgements = 0;
    machine.forwarderChanges = 0;
    machine.callUnanswered = false;
    machine.unreachableSince = -1;
  }

  /**
   * A call that was tried got no response. A leader that reaches no agent at all, and receives
   * heartbeats through the other controllers, must not take every machine for unreachable: then the
   * responses to heartbeats decide.
   */
  void callUnanswered(Machine machine, double now) {
    probeWithNextToken(machine);
    unansweredMachines.add(machine);
    if (unansweredMachines.size() >= MACHINES_TO_SUSPECT_LEADER
        && now - lastCallAnsweredAt > heartbeatIntervalS) {
      unansweredMachines.forEach(unanswered -> unanswered.callUnanswered = false);
      return;
    }
    machine.callUnanswered = true;
    acknowledgementMissed(machine, now);
  }

  private static void acknowledgementMissed(Machine machine, double now) {
    machine.missedAcknowledgements++;
    if (machine.missedAcknowledgements >= SIGNS_REQUIRED && machine.unreachableSince < 0) {
      machine.unreachableSince = now;
      LOG.info(
          "machine {} is unreachable (one-way partition), with {} tasks",
          machine.name,
          machine.openAttempts.size());
    }
  }
}
