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

  private final ControllerContext context;
  private final CallConcurrencyLimiter callLimiter;
  private final ReachabilityTracker reachability;
  private final double callS;
  private final BiConsumer<Heartbeat, Machine> reconcile;

  /** {@code absorb} takes what a machine answers. */
  StatusProber(
      ControllerContext context,
      CallConcurrencyLimiter callLimiter,
      ReachabilityTracker reachability,
      double callS,
      BiConsumer<Heartbeat, Machine> absorb) {
    this.context = context;
    this.callLimiter = callLimiter;
    this.reachability = reachability;
    this.callS = callS;
    this.reconcile = absorb;
  }

  /**
   * Because of a report that was no news: copies may come by the hundred, so once in a report
   * period.
   */
  void probeAtMostOncePerInterval(Machine m) {
    double now = context.clock().now();
    if (now - m.statusRequestedAt > context.settings().workers().heartbeatIntervalS()) {
      m.statusRequestedAt = now;
      probe(m);
    }
  }

  /** Asks a silent machine for its state; the answer counts as news, but renews nothing. */
  void probe(Machine m) {
    if (!m.probing && m.address != null && callLimiter.tryEnter(m, CallConcurrencyLimiter.CallClass.UNRESPONSIVE, () -> probe(m))) {
      requestStatus(m);
    }
  }

  /** Looks for a machine that has not found us; in vain once it has. */
  void find(Machine m) {
    if (!m.up()
        && !m.deleting
        && !m.probing
        && m.address != null
        && callLimiter.tryEnter(m, CallConcurrencyLimiter.CallClass.DISCOVERY, () -> find(m))) {
      requestStatus(m);
    }
  }

  /**
   * What the machine says now counts from before what it has said: it has begun another life under
   * its name, which knows of no token, and holds what it lists. Without this all it says would be
   * taken for late.
   */
  private static void resetForNewIncarnation(Machine m) {
    LOG.info("machine {} counts anew", m.name);
    m.agentEpoch = 0;
    m.heartbeatSeq = 0;
    m.highestReportedToken = 0;
    m.lastAnsweredToken = 0;
    m.acknowledgedToken = 0;
    // No former life has seen this token, so what shows a lower one is of theirs, or says nothing
    // yet.
    m.token++;
    m.incarnationToken = m.token;
    m.images.clear();
  }

  private void requestStatus(Machine m) {
    m.probing = true;
    double since = context.clock().now();
    long session = m.agentEpoch;
    long seq = m.heartbeatSeq;
    long seen = m.highestReportedToken;
    context.workers()
        .call("GET", HostPort.parse(m.address), "/status", null, callS)
        .onSuccess(
            reply -> {
              m.probing = false;
              callLimiter.leave();
              reachability.callAnswered(m, context.clock().now());
              try {
                Heartbeat r = WorkerCodec.read(reply.body());
                if (!r.newerThan(session, seq) || r.token() < seen) {
                  resetForNewIncarnation(m);
                }
                reconcile.accept(r, m);
              } catch (MalformedInputException e) {
                LOG.info("unreadable status of {}: {}", m.name, e.getMessage());
              }
            })
        .onFailure(
            e -> {
              m.probing = false;
              callLimiter.leave();
              if (!(e instanceof CallFailedException f) || f.tried) {
                m.probeFailedAt = context.clock().now();
                if (m.up() && m.lastHeartbeatAt > since) {
                  reachability.callUnanswered(m, m.probeFailedAt);
                }
                m.probeConnected = e instanceof CallFailedException f && f.sent;
              }
            });
  }
}
