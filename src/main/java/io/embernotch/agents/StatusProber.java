package io.embernotch.agents;

import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.CallFailedException;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
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
   * Because of a heartbeat that was no news: copies may come by the hundred, so once in a heartbeat
   * interval.
   */
  void probeAtMostOncePerInterval(Machine machine) {
    double now = context.clock().now();
    if (now - machine.statusRequestedAt > context.settings().workers().heartbeatIntervalS()) {
      machine.statusRequestedAt = now;
      probe(machine);
    }
  }

  /** Asks a silent machine for its state; the answer counts as news, but renews nothing. */
  void probe(Machine machine) {
    if (!machine.probing
        && machine.address != null
        && callLimiter.tryEnter(
            machine, CallConcurrencyLimiter.CallClass.UNRESPONSIVE, () -> probe(machine))) {
      requestStatus(machine);
    }
  }

  /** Looks for a machine that has not found us; in vain once it has. */
  void find(Machine machine) {
    if (!machine.up()
        && !machine.deleting
        && !machine.probing
        && machine.address != null
        && callLimiter.tryEnter(
            machine, CallConcurrencyLimiter.CallClass.DISCOVERY, () -> find(machine))) {
      requestStatus(machine);
    }
  }

  /**
   * What the machine says now counts from before what it has said: it has begun another incarnation
   * under its name, which knows of no token, and holds what it lists. Without this all it says
   * would be taken for late.
   */
  private static void resetForNewIncarnation(Machine machine) {
    LOG.info("machine {} restarted its heartbeat sequence: new incarnation", machine.name);
    machine.agentEpoch = 0;
    machine.heartbeatSeq = 0;
    machine.highestReportedToken = 0;
    machine.lastAnsweredToken = 0;
    machine.acknowledgedToken = 0;
    // No former incarnation has seen this token, so what shows a lower one is of theirs, or says
    // nothing
    // yet.
    machine.token++;
    machine.incarnationToken = machine.token;
    machine.images.clear();
  }

  private void requestStatus(Machine machine) {
    machine.probing = true;
    double since = context.clock().now();
    long session = machine.agentEpoch;
    long seq = machine.heartbeatSeq;
    long seen = machine.highestReportedToken;
    context
        .workers()
        .call("GET", HostPort.parse(machine.address), "/status", null, callS)
        .onSuccess(
            reply -> {
              machine.probing = false;
              callLimiter.leave();
              reachability.callAnswered(machine, context.clock().now());
              try {
                Heartbeat heartbeat = WorkerCodec.read(reply.body());
                if (!heartbeat.newerThan(session, seq) || heartbeat.token() < seen) {
                  resetForNewIncarnation(machine);
                }
                reconcile.accept(heartbeat, machine);
              } catch (MalformedInputException e) {
                LOG.info("unreadable status of {}: {}", machine.name, e.getMessage());
              }
            })
        .onFailure(
            e -> {
              machine.probing = false;
              callLimiter.leave();
              if (!(e instanceof CallFailedException f) || f.tried()) {
                machine.probeFailedAt = context.clock().now();
                if (machine.up() && machine.lastHeartbeatAt > since) {
                  reachability.callUnanswered(machine, machine.probeFailedAt);
                }
                machine.probeConnected = e instanceof CallFailedException f && f.sent();
              }
            });
  }
}
