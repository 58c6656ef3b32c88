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

  private final long epochBase;
  private final double reportS;
  private final Set<Machine> accused = new LinkedHashSet<>();
  private double answeredAt = -1e9;

  ReachabilityTracker(long epochBase, double reportS) {
    this.epochBase = epochBase;
    this.reportS = reportS;
  }

  /**
   * A newer report came by the controller {@code via}, a number of its life. The state of {@code m}
   * is from before it.
   */
  void reported(Machine m, Heartbeat r, long via, double now) {
    boolean moved = m.reportedVia != Machine.NOWHERE && m.reportedVia != via;
    boolean answered = m.toldToken > 0;
    m.reportedVia = via;
    if (answered && r.token() < m.toldToken) {
      missed(m, now);
    } else if (r.token() > m.shownToken && r.token() >= epochBase) {
      proven(m, now);
    } else if (moved) {
      // Its first move may be because a controller has ended; the next one tells.
      m.moves++;
      if (m.moves >= ENOUGH) {
        missed(m, now);
        test(m);
      }
    } else {
      m.moves = 0;
    }
    if (answered && r.session() > m.session && m.session > 0) {
      // Its lease ran out while we answered.
      missed(m, now);
      test(m);
    }
    m.shownToken = Math.max(m.shownToken, r.token());
  }

  /** The next answer carries a token that the machine has not shown yet. */
  private static void test(Machine m) {
    m.token = Math.max(m.token, Math.max(m.shownToken, m.toldToken) + 1);
  }

  /** A report is being answered with the machine's token. */
  void answering(Machine m) {
    m.toldToken = m.token;
  }

  /** The machine has answered a call. */
  void answered(Machine m, double now) {
    answeredAt = now;
    accused.clear();
    proven(m, now);
  }

  private static void proven(Machine m, double now) {
    if (m.deafSince >= 0) {
      LOG.info("machine {} hears us again after {} s", m.name, Math.round(now - m.deafSince));
    }
    m.provenAt = now;
    m.unheard = 0;
    m.moves = 0;
    m.callUnheard = false;
    m.deafSince = -1;
  }

  /**
   * A call that was tried got no answer. A leader that reaches no worker at all, and is heard
   * through the other controllers, must not take each of them for deaf: their answers to reports
   * tell.
   */
  void unanswered(Machine m, double now) {
    test(m);
    accused.add(m);
    if (accused.size() >= OURS && now - answeredAt > reportS) {
      accused.forEach(a -> a.callUnheard = false);
      return;
    }
    m.callUnheard = true;
    missed(m, now);
  }

  private static void missed(Machine m, double now) {
    m.unheard++;
    if (m.unheard >= ENOUGH && m.deafSince < 0) {
      m.deafSince = now;
      LOG.info("machine {} does not hear us, with {} tasks", m.name, m.open.size());
    }
  }
}
