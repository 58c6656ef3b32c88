package io.embernotch.agents;

import io.embernotch.model.Machine;
import io.embernotch.model.Heartbeat;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether a machine hears us. Its reports may arrive while neither answers nor commands reach it:
 * it is no more silent than any other, so it took starts again with each plan, each of them cost
 * commits, and a gang with a task there never began.
 *
 * <p>What proves hearing is a token of ours that the machine has not shown before, or an answer to
 * a call. What speaks against it: a report that still shows a lower token than the one before it
 * was answered with; one that comes by another controller right after the last one did, since only
 * who gets no answer goes on; a lease that ran out although its reports were answered; a call that
 * was tried and not answered. Where nothing new was to be shown, the next answer carries a token
 * raised by one, and the report after it tells.
 */
final class ReachabilityTracker {
  private static final Logger LOG = LoggerFactory.getLogger(ReachabilityTracker.class);

  /**
   * So many signs in a row, and it is taken for deaf: one answer may be late, or a controller have
   * ended.
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
   * A newer report came by the controller {@code via}, a number of its life. The state of {@code m}
   * is from before it.
   */
  void heartbeatReceived(Machine m, Heartbeat r, long via, double now) {
    boolean moved = m.lastForwarder != Machine.NO_FORWARDER && m.lastForwarder != via;
    boolean answered = m.lastAnsweredToken > 0;
    m.lastForwarder = via;
    if (answered && r.token() < m.lastAnsweredToken) {
      acknowledgementMissed(m, now);
    } else if (r.token() > m.acknowledgedToken && r.token() >= tokenBase) {
      confirmReachable(m, now);
    } else if (moved) {
      // Its first move may be because a controller has ended; the next one tells.
      m.forwarderChanges++;
      if (m.forwarderChanges >= ENOUGH) {
        acknowledgementMissed(m, now);
        probeWithNextToken(m);
      }
    } else {
      m.forwarderChanges = 0;
    }
    if (answered && r.agentEpoch() > m.agentEpoch && m.agentEpoch > 0) {
      // Its lease ran out while we answered.
      acknowledgementMissed(m, now);
      probeWithNextToken(m);
    }
    m.acknowledgedToken = Math.max(m.acknowledgedToken, r.token());
  }

  /** The next answer carries a token that the machine has not shown yet. */
  private static void probeWithNextToken(Machine m) {
    m.token = Math.max(m.token, Math.max(m.acknowledgedToken, m.lastAnsweredToken) + 1);
  }

  /** A report is being answered with the machine's token. */
  void answering(Machine m) {
    m.lastAnsweredToken = m.token;
  }

  /** The machine has answered a call. */
  void callAnswered(Machine m, double now) {
    answeredAt = now;
    accused.clear();
    confirmReachable(m, now);
  }

  private static void confirmReachable(Machine m, double now) {
    if (m.unreachableSince >= 0) {
      LOG.info("machine {} hears us again after {} s", m.name, Math.round(now - m.unreachableSince));
    }
    m.confirmedAliveAt = now;
    m.missedAcknowledgements = 0;
    m.forwarderChanges = 0;
    m.callUnanswered = false;
    m.unreachableSince = -1;
  }

  /**
   * A call that was tried got no answer. A leader that reaches no worker at all, and is heard
   * through the other controllers, must not take each of them for deaf: their answers to reports
   * tell.
   */
  void callUnanswered(Machine m, double now) {
    probeWithNextToken(m);
    accused.add(m);
    if (accused.size() >= OURS && now - answeredAt > heartbeatIntervalS) {
      accused.forEach(a -> a.callUnanswered = false);
      return;
    }
    m.callUnanswered = true;
    acknowledgementMissed(m, now);
  }

  private static void acknowledgementMissed(Machine m, double now) {
    m.missedAcknowledgements++;
    if (m.missedAcknowledgements >= ENOUGH && m.unreachableSince < 0) {
      m.unreachableSince = now;
      LOG.info("machine {} does not hear us, with {} tasks", m.name, m.openAttempts.size());
    }
  }
}
