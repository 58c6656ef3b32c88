package io.embernotch.agents;

import io.embernotch.actor.Clock;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects machines behind a one-way partition: their heartbeats arrive, but neither responses nor
 * commands reach them. Failure detection by heartbeats does not find such a machine. Each
 * scheduling pass would place tasks on it again, which costs commits, and a gang with a task on it
 * would never start.
 *
 * <p>A machine is reachable if it reports a fencing token of this term for the first time, or
 * answers a call. These are signs that it is unreachable:
 *
 * <ul>
 *   <li>a heartbeat reports a lower token than the response to an earlier heartbeat carried;
 *   <li>the forwarding controller changes twice in a row: an agent changes controllers only if it
 *       gets no response;
 *   <li>the agent begins a new epoch, so its lease has expired, although its heartbeats were
 *       answered;
 *   <li>a call was tried and not answered.
 * </ul>
 *
 * <p>If the machine had no new token to report, the next response carries a higher token, and the
 * heartbeat after it decides.
 */
final class ReachabilityTracker {
  private static final Logger LOG = LoggerFactory.getLogger(ReachabilityTracker.class);

  /**
   * Signs in a row after which a machine counts as unreachable. One is not enough: a response may
   * be late, or a controller may have failed.
   */
  private static final int SIGNS_REQUIRED = 2;

  /**
   * If calls to this many machines stay unanswered and no call is answered in between, this leader
   * is suspected to reach no agent at all.
   */
  private static final int MIN_MACHINES_TO_SUSPECT_LEADER = 3;

  private final long tokenBase;
  private final double heartbeatIntervalS;

  /** Machines with an unanswered call since the last answered call to any machine. */
  private final Set<Machine> unansweredMachines = new LinkedHashSet<>();

  /** When a call to any machine was last answered. */
  private double lastCallAnsweredAt = Clock.NEVER;

  ReachabilityTracker(long tokenBase, double heartbeatIntervalS) {
    this.tokenBase = tokenBase;
    this.heartbeatIntervalS = heartbeatIntervalS;
  }

  /**
   * Processes a newer heartbeat; {@code machine} still has the state from before it.
   *
   * @param forwarder the process incarnation of the controller that forwarded the heartbeat; 0 if
   *     the agent sent it to this controller
   * @param now seconds of the steady clock
   */
  void heartbeatReceived(Machine machine, Heartbeat heartbeat, long forwarder, double now) {
    boolean forwarderChanged =
        machine.lastForwarder != Machine.NO_FORWARDER && machine.lastForwarder != forwarder;
    boolean heartbeatsAnswered = machine.lastAnsweredToken > 0;
    machine.lastForwarder = forwarder;
    if (heartbeatsAnswered && heartbeat.token() < machine.lastAnsweredToken) {
      recordUnreachableSign(machine, now);
    } else if (heartbeat.token() > machine.acknowledgedToken && heartbeat.token() >= tokenBase) {
      confirmReachable(machine, now);
    } else if (forwarderChanged) {
      // A single change may be due to a failed controller, so the next heartbeat decides.
      machine.forwarderChanges++;
      if (machine.forwarderChanges >= SIGNS_REQUIRED) {
        recordUnreachableSign(machine, now);
        raiseTokenForAcknowledgement(machine);
      }
    } else {
      machine.forwarderChanges = 0;
    }
    boolean agentRestarted = heartbeat.agentEpoch() > machine.agentEpoch && machine.agentEpoch > 0;
    if (heartbeatsAnswered && agentRestarted) {
      // The agent's lease expired although its heartbeats were answered.
      recordUnreachableSign(machine, now);
      raiseTokenForAcknowledgement(machine);
    }
    machine.acknowledgedToken = Math.max(machine.acknowledgedToken, heartbeat.token());
  }

  /** Raises the machine's token, so that it has not yet reported that of the next response. */
  private static void raiseTokenForAcknowledgement(Machine machine) {
    machine.token =
        Math.max(machine.token, Math.max(machine.acknowledgedToken, machine.lastAnsweredToken) + 1);
  }

  /** Records that a heartbeat is answered with the machine's current token. */
  void heartbeatAnswered(Machine machine) {
    machine.lastAnsweredToken = machine.token;
    machine.highestIssuedToken = Math.max(machine.highestIssuedToken, machine.token);
  }

  /** Records that the machine has answered a call. */
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
    machine.unreachableSigns = 0;
    machine.forwarderChanges = 0;
    machine.callUnanswered = false;
    machine.unreachableSince = -1;
  }

  /**
   * Records that a call was tried and got no response. If this leader reaches no agent at all and
   * receives heartbeats only through other controllers, unanswered calls must not make every
   * machine count as unreachable. Then the responses to heartbeats decide.
   */
  void callUnanswered(Machine machine, double now) {
    raiseTokenForAcknowledgement(machine);
    unansweredMachines.add(machine);
    if (unansweredMachines.size() >= MIN_MACHINES_TO_SUSPECT_LEADER
        && now - lastCallAnsweredAt > heartbeatIntervalS) {
      unansweredMachines.forEach(suspect -> suspect.callUnanswered = false);
      return;
    }
    machine.callUnanswered = true;
    recordUnreachableSign(machine, now);
  }

  private static void recordUnreachableSign(Machine machine, double now) {
    machine.unreachableSigns++;
    if (machine.unreachableSigns >= SIGNS_REQUIRED && machine.unreachableSince < 0) {
      machine.unreachableSince = now;
      LOG.info(
          "machine {} is unreachable (one-way partition), with {} open attempts",
          machine.name,
          machine.openAttempts.size());
    }
  }
}
