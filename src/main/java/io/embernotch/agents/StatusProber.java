package io.embernotch.agents;

import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.CallFailedException;
import io.embernotch.model.Machine;
import io.embernotch.model.Heartbeat;
import io.embernotch.settings.HostPort;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Machines that are asked for their state, because they are silent, not found yet, or said what may
 * be old.
 */
final class StatusProber {
  private static final Logger LOG = LoggerFactory.getLogger(StatusProber.class);

  private final ControllerContext env;
  private final CallConcurrencyLimiter lanes;
  private final ReachabilityTracker hearing;
  private final double callS;
  private final BiConsumer<Heartbeat, Machine> absorb;

  /** {@code absorb} takes what a machine answers. */
  StatusProber(
      ControllerContext env,
      CallConcurrencyLimiter lanes,
      ReachabilityTracker hearing,
      double callS,
      BiConsumer<Heartbeat, Machine> absorb) {
    this.env = env;
    this.lanes = lanes;
    this.hearing = hearing;
    this.callS = callS;
    this.absorb = absorb;
  }

  /**
   * Because of a report that was no news: copies may come by the hundred, so once in a report
   * period.
   */
  void once(Machine m) {
    double now = env.clock().now();
    if (now - m.askedAt > env.settings().workers().reportS()) {
      m.askedAt = now;
      probe(m);
    }
  }

  /** Asks a silent machine for its state; the answer counts as news, but renews nothing. */
  void probe(Machine m) {
    if (!m.probing && m.address != null && lanes.enter(m, CallConcurrencyLimiter.Need.SILENT, () -> probe(m))) {
      ask(m);
    }
  }

  /** Looks for a machine that has not found us; in vain once it has. */
  void find(Machine m) {
    if (!m.up()
        && !m.deleting
        && !m.probing
        && m.address != null
        && lanes.enter(m, CallConcurrencyLimiter.Need.FIND, () -> find(m))) {
      ask(m);
    }
  }

  /**
   * What the machine says now counts from before what it has said: it has begun another life under
   * its name, which knows of no token, and holds what it lists. Without this all it says would be
   * taken for late.
   */
  private static void anew(Machine m) {
    LOG.info("machine {} counts anew", m.name);
    m.session = 0;
    m.seq = 0;
    m.seenToken = 0;
    m.toldToken = 0;
    m.shownToken = 0;
    // No former life has seen this token, so what shows a lower one is of theirs, or says nothing
    // yet.
    m.token++;
    m.lifeToken = m.token;
    m.images.clear();
  }

  private void ask(Machine m) {
    m.probing = true;
    double since = env.clock().now();
    long session = m.session;
    long seq = m.seq;
    long seen = m.seenToken;
    env.workers()
        .call("GET", HostPort.parse(m.address), "/status", null, callS)
        .onSuccess(
            reply -> {
              m.probing = false;
              lanes.leave();
              hearing.answered(m, env.clock().now());
              try {
                Heartbeat r = WorkerCodec.read(reply.body());
                if (!r.newerThan(session, seq) || r.token() < seen) {
                  anew(m);
                }
                absorb.accept(r, m);
              } catch (MalformedInputException e) {
                LOG.info("unreadable status of {}: {}", m.name, e.getMessage());
              }
            })
        .onFailure(
            e -> {
              m.probing = false;
              lanes.leave();
              if (!(e instanceof CallFailedException f) || f.tried) {
                m.probeFailedAt = env.clock().now();
                if (m.up() && m.heardAt > since) {
                  hearing.unanswered(m, m.probeFailedAt);
                }
                m.probeConnected = e instanceof CallFailedException f && f.sent;
              }
            });
  }
}
