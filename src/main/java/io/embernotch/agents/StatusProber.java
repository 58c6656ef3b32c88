package io.embernotch.agents;

import io.embernotch.agents.CallConcurrencyLimiter.CallClass;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpReply;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests the status of machines that are unresponsive, have not sent a heartbeat yet, or have
 * sent one that may be outdated.
 */
final class StatusProber {
  private static final Logger LOG = LoggerFactory.getLogger(StatusProber.class);

  /** The agent's path for its status, which has the format of a heartbeat. */
  private static final String STATUS_PATH = "/status";

  private final ControllerContext context;
  private final CallConcurrencyLimiter callLimiter;
  private final ReachabilityTracker reachability;
  private final double callTimeoutS;
  private final BiConsumer<Heartbeat, Machine> reconcile;

  /**
   * Creates a prober with no request in flight.
   *
   * @param callTimeoutS seconds to wait for a response
   * @param reconcile processes the status in a response
   */
  StatusProber(
      ControllerContext context,
      CallConcurrencyLimiter callLimiter,
      ReachabilityTracker reachability,
      double callTimeoutS,
      BiConsumer<Heartbeat, Machine> reconcile) {
    this.context = context;
    this.callLimiter = callLimiter;
    this.reachability = reachability;
    this.callTimeoutS = callTimeoutS;
    this.reconcile = reconcile;
  }

  /**
   * Probes a machine after a heartbeat that proves nothing, at most once in a heartbeat interval,
   * since hundreds of copies may arrive.
   */
  void probeAtMostOncePerInterval(Machine machine) {
    double now = context.clock().now();
    if (now - machine.statusRequestedAt > context.settings().workers().heartbeatIntervalS()) {
      machine.statusRequestedAt = now;
      probe(machine);
    }
  }

  /**
   * Requests the status of an unresponsive machine, unless a request to it is in flight. The
   * response counts as a newer heartbeat, but renews no lease.
   */
  void probe(Machine machine) {
    if (!machine.probing
        && machine.address != null
        && callLimiter.tryAcquire(machine, CallClass.UNRESPONSIVE, () -> probe(machine))) {
      requestStatus(machine);
    }
  }

  /**
   * Requests the status of a machine that has sent no heartbeat yet. Does nothing once it has sent
   * one, or if it is being deleted.
   */
  void discover(Machine machine) {
    if (!machine.up()
        && !machine.deleting
        && !machine.probing
        && machine.address != null
        && callLimiter.tryAcquire(machine, CallClass.DISCOVERY, () -> discover(machine))) {
      requestStatus(machine);
    }
  }

  /** What a machine had reported when its status was requested. */
  private record KnownStatus(long agentEpoch, long heartbeatSeq, long reportedToken) {
    static KnownStatus of(Machine machine) {
      return new KnownStatus(
          machine.agentEpoch, machine.heartbeatSeq, machine.highestReportedToken);
    }

    /**
     * Returns whether a response, although sent later, has no newer sequence number or a lower
     * token. Then it is from another incarnation of the machine.
     */
    boolean isContradictedBy(Heartbeat heartbeat) {
      return !heartbeat.isNewerThan(agentEpoch, heartbeatSeq) || heartbeat.token() < reportedToken;
    }
  }

  private void requestStatus(Machine machine) {
    machine.probing = true;
    double requestedAt = context.clock().now();
    KnownStatus known = KnownStatus.of(machine);
    WorkerCalls.call(context, machine, "GET", STATUS_PATH, null, callTimeoutS)
        .onSuccess(reply -> statusReceived(machine, known, reply))
        .onFailure(cause -> requestFailed(machine, requestedAt, cause));
  }

  private void statusReceived(Machine machine, KnownStatus known, HttpReply reply) {
    machine.probing = false;
    callLimiter.release();
    reachability.callAnswered(machine, context.clock().now());
    try {
      Heartbeat heartbeat = WorkerCodec.read(reply.body());
      if (known.isContradictedBy(heartbeat)) {
        resetForNewIncarnation(machine);
      }
      reconcile.accept(heartbeat, machine);
    } catch (MalformedInputException e) {
      LOG.info("invalid status response from machine {}: {}", machine.name, e.getMessage());
    }
  }

  private void requestFailed(Machine machine, double requestedAt, Throwable cause) {
    machine.probing = false;
    callLimiter.release();
    if (!(cause instanceof CallFailedException failure) || failure.tried()) {
      machine.probeFailedAt = context.clock().now();
      if (machine.up() && machine.lastHeartbeatAt > requestedAt) {
        reachability.callUnanswered(machine, machine.probeFailedAt);
      }
      machine.probeConnected = cause instanceof CallFailedException failure && failure.sent();
    }
  }

  /**
   * Resets the heartbeat state of a machine after another incarnation has begun under its name.
   * That one has seen no token, and runs only the tasks that it lists. Without the reset all its
   * heartbeats would count as late.
   */
  private static void resetForNewIncarnation(Machine machine) {
    LOG.info("machine {} restarted its heartbeat sequence: new incarnation", machine.name);
    machine.agentEpoch = 0;
    machine.heartbeatSeq = 0;
    machine.highestReportedToken = 0;
    machine.lastAnsweredToken = 0;
    machine.acknowledgedToken = 0;
    // No former incarnation has seen this token. A heartbeat with a lower one may be from any
    // incarnation, so it proves nothing.
    machine.token++;
    machine.incarnationToken = machine.token;
    machine.images.clear();
  }
}
