package io.embernotch.agents;

import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether a machine hears us. Its heartbeats may arrive while neither answers nor commands reach
 * it: it is no more silent than any other, so it took starts again with each plan, each of them
 * cost commits, and a gang with a task there never began.
 *
 * <p>What proves hearing is a token of ours that the machine has not shown before, or an answer to
 * a call. What speaks against it: a heartbeat that still shows a lower token than the one before it
 * was answered with; one that comes by another controller right after the last one did, since only
 * who gets no answer goes on; a lease that ran out although its heartbeats were answered; a call
 * that was tried and not answered. Where nothing new was to be shown, the next answer carries a
 * token raised by one, and the heartbeat after it tells.
 */
final class ReachabilityTracker {
  private static final Logger LOG = LoggerFactory.getLogger(ReachabilityTracker.class);

  /**
   * So many signs in a row, and it is taken for unreachable: one answer may be late, or a
   * controller have ended.
   */
  static final int ENOUGH = 2;

  /**
   * Machines whose calls fail one after the other while none is answered: it is rather we who reach
   * nobody.
   */
  private static final int OURS = 3;

  private final long tokenBase;
  private final double heartbeatIntervalS;
  private final Set<Machine> accused = new LinkedHashSet<>();
  private double answeredAt = -1e9;

  ReachabilityTracker(long tokenBase, double heartbeatIntervalS) {
    this.tokenBase = tokenBase;
    this.heartbeatIntervalS = heartbeatIntervalS;
  }

  /**
   * A newer heartbeat came by the controller {@code via}, a number of its life. The state of {@code
   * m} is from before it.
   */
  void heartbeatReceived(Machine machine, Heartbeat heartbeat, long via, double now) {
    boolean moved = machine.lastForwarder != Machine.NO_FORWARDER && machine.lastForwarder != via;
    boolean answered = machine.lastAnsweredToken > 0;
    machine.lastForwarder = via;
    if (answered && heartbeat.token() < machine.lastAnsweredToken) {
      acknowledgementMissed(machine, now);
    } else if (heartbeat.token() > machine.acknowledgedToken && heartbeat.token() >= tokenBase) {
      confirmReachable(machine, now);
    } else if (moved) {
      // Its first move may be because a controller has ended; the next one tells.
      machine.forwarderChanges++;
      if (machine.forwarderChanges >= ENOUGH) {
        acknowledgementMissed(machine, now);
        probeWithNextToken(machine);
      }
    } else {
      machine.forwarderChanges = 0;
    }
    if (answered && heartbeat.agentEpoch() > machine.agentEpoch && machine.agentEpoch > 0) {
      // Its lease ran out while we answered.
      acknowledgementMissed(machine, now);
      probeWithNextToken(machine);
    }
    machine.acknowledgedToken = Math.max(machine.acknowledgedToken, heartbeat.token());
  }

  /** The next answer carries a token that the machine has not shown yet. */
  private static void probeWithNextToken(Machine machine) {
    machine.token =
        Math.max(machine.token, Math.max(machine.acknowledgedToken, machine.lastAnsweredToken) + 1);
  }

  /** A heartbeat is being answered with the machine's token. */
  void answering(Machine machine) {
    machine.lastAnsweredToken = machine.token;
  }

  /** The machine has answered a call. */
  void callAnswered(Machine machine, double now) {
    answeredAt = now;
    accused.clear();
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
   * A call that was tried got no answer. A leader that reaches no worker at all, and is heard
   * through the other controllers, must not take each of them for unreachable: their answers to
   * heartbeats tell.
   */
  void callUnanswered(Machine machine, double now) {
    probeWithNextToken(machine);
    accused.add(machine);
    if (accused.size() >= OURS && now - answeredAt > heartbeatIntervalS) {
      accused.forEach(a -> a.callUnanswered = false);
      return;
    }
    machine.callUnanswered = true;
    acknowledgementMissed(machine, now);
  }

  private static void acknowledgementMissed(Machine machine, double now) {
    machine.missedAcknowledgements++;
    if (machine.missedAcknowledgements >= ENOUGH && machine.unreachableSince < 0) {
      machine.unreachableSince = now;
      LOG.info(
          "machine {} is unreachable (one-way partition), with {} tasks",
          machine.name,
          machine.openAttempts.size());
    }
  }
}
