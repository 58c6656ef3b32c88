package io.embernotch.agents;

import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.AgentCommand;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Determines what a heartbeat proves about its machine, and creates the response if the agent waits
 * for one. A heartbeat may be delayed, duplicated, or from another incarnation of the machine.
 */
final class HeartbeatProcessor {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  /**
   * Seconds after the sending of a heartbeat from which its agent drops the response ("Workers" in
   * the protocol), clock drift included.
   */
  private static final double RESPONSE_ACCEPTED_S = 4 * (1 + 2 * Settings.DRIFT);

  private final ControllerContext context;
  private final ClusterState state;
  private final long tokenBase;
  private final AgentReconciler.Listener listener;
  private final AttemptReconciler attempts;
  private final HeartbeatResponder responder;
  private final ReachabilityTracker reachability;
  private final StatusProber prober;
  private final Set<String> deletedMachines = new HashSet<>();

  HeartbeatProcessor(
      ControllerContext context,
      ClusterState state,
      long tokenBase,
      AgentReconciler.Listener listener,
      AttemptReconciler attempts,
      HeartbeatResponder responder,
      ReachabilityTracker reachability,
      StatusProber prober) {
    this.context = context;
    this.state = state;
    this.tokenBase = tokenBase;
    this.listener = listener;
    this.attempts = attempts;
    this.responder = responder;
    this.reachability = reachability;
    this.prober = prober;
  }

  boolean wasDeleted(String name) {
    return deletedMachines.contains(name);
  }

  void markDeleted(String name) {
    deletedMachines.add(name);
  }

  /** See {@link AgentReconciler#processHeartbeat}. */
  byte[] process(Heartbeat heartbeat, boolean leaseProven, long forwarder) {
    if (wasDeleted(heartbeat.machine())) {
      return null;
    }
    Machine machine = state.machine(heartbeat.machine(), tokenBase);
    boolean maybeFromFormerIncarnation = mayBeFromFormerIncarnation(heartbeat, machine);
    boolean newer =
        !maybeFromFormerIncarnation
            && isNewer(heartbeat, machine)
            && heartbeat.token() >= machine.highestReportedToken;
    if (machine.deleting && !newer) {
      return null;
    }
    double now = context.clock().now();
    if (!newer
        && !maybeFromFormerIncarnation
        && now - machine.lastHeartbeatAt > RESPONSE_ACCEPTED_S) {
      // This is a copy, or another incarnation has restarted its sequence numbers. No agent accepts
      // a response to a copy this late: it gave up waiting before it sent the newest heartbeat. So
      // the copy must not count as a renewal. Otherwise the leader would assume that the lease of a
      // dead machine lasts, and keep its services down, for as long as copies arrive.
      prober.probeAtMostOncePerInterval(machine);
      return WorkerCodec.emptyResponse();
    }
    if (newer) {
      reachability.heartbeatReceived(machine, heartbeat, forwarder, now);
    }
    if (!reconcileCurrentIncarnation(heartbeat, machine)) {
      return null;
    }
    machine.leaseRenewedAt = now;
    List<AgentCommand> commands = responder.commandsFor(machine, heartbeat, leaseProven);
    reachability.heartbeatAnswered(machine);
    return WorkerCodec.response(machine.token, commands);
  }

  /** See {@link AgentReconciler#processWithoutReply}. */
  boolean processWithoutResponse(Heartbeat heartbeat) {
    return !wasDeleted(heartbeat.machine())
        && reconcileCurrentIncarnation(heartbeat, state.machine(heartbeat.machine(), tokenBase));
  }

  /**
   * Reconciles with a heartbeat unless it may be from a former incarnation of the machine. A
   * delayed copy from a former incarnation in a later agent epoch would seem to prove that attempts
   * which have just been started have ended.
   *
   * @return false if the heartbeat proves that this leader is superseded
   */
  private boolean reconcileCurrentIncarnation(Heartbeat heartbeat, Machine machine) {
    return mayBeFromFormerIncarnation(heartbeat, machine)
        || reconcile(heartbeat, HeartbeatOrigin.SENT_BY_AGENT, machine);
  }

  private static boolean mayBeFromFormerIncarnation(Heartbeat heartbeat, Machine machine) {
    return heartbeat.token() < machine.incarnationToken;
  }

  private static boolean isNewer(Heartbeat heartbeat, Machine machine) {
    return heartbeat.isNewerThan(machine.agentEpoch, machine.heartbeatSeq);
  }

  /**
   * Reconciles with a heartbeat.
   *
   * @return false if the agent has seen a fencing token of a later term, or of another term with
   *     this term's epoch
   */
  boolean reconcile(Heartbeat heartbeat, HeartbeatOrigin origin, Machine machine) {
    if (FencingTokens.epochOf(heartbeat.token()) > FencingTokens.epochOf(tokenBase)) {
      listener.superseded(heartbeat.token());
      return false;
    }
    if (heartbeat.token() >= tokenBase && heartbeat.token() > machine.highestIssuedToken) {
      listener.unissuedTokenSeen(machine, heartbeat.token());
      return false;
    }
    boolean newer = isNewer(heartbeat, machine);
    if (newer && heartbeat.token() >= machine.highestReportedToken) {
      reconcileNewer(heartbeat, origin, machine);
    } else if (newer || heartbeat.token() != machine.highestReportedToken) {
      // The highest token that an agent has seen never falls. If it contradicts the sequence
      // number, the heartbeat is late, or another incarnation has restarted its sequence numbers.
      // The response to a probe decides which.
      prober.probeAtMostOncePerInterval(machine);
    }
    return true;
  }

  private void reconcileNewer(Heartbeat heartbeat, HeartbeatOrigin origin, Machine machine) {
    double now = context.clock().now();
    boolean firstHeartbeat = !machine.up();
    if (firstHeartbeat) {
      markUp(machine, now);
    }
    updateDescription(heartbeat, machine);
    boolean newAgentEpoch = heartbeat.agentEpoch() > machine.agentEpoch;
    boolean agentRestarted = newAgentEpoch && machine.agentEpoch > 0;
    if (agentRestarted) {
      machine.images.clear();
    }
    machine.lastHeartbeatAt = now;
    if (heartbeat.token() > machine.highestReportedToken) {
      machine.tokenRaisedAt = now;
    }
    machine.highestReportedToken = heartbeat.token();
    if (heartbeat.token() >= tokenBase && machine.confirmedAliveAt < 0) {
      // The agent has seen a token of this term, so this is no copy from before the term.
      machine.confirmedAliveAt = now;
    }
    recordReclaimNotice(heartbeat, machine, now);
    machine.agentEpoch = heartbeat.agentEpoch();
    machine.heartbeatSeq = heartbeat.seq();
    attempts.reconcile(heartbeat, origin, machine, agentRestarted, now);
    if (firstHeartbeat || newAgentEpoch) {
      listener.clusterChanged();
    }
  }

  private static void markUp(Machine machine, double now) {
    machine.upAt = now;
    machine.idleSince = now;
    machine.rentedAt = machine.rentedAt == 0 ? now : machine.rentedAt;
    LOG.debug("machine {} is up after {} s", machine.name, Math.round(now - machine.rentedAt));
  }

  private void updateDescription(Heartbeat heartbeat, Machine machine) {
    machine.type = state.types.getOrDefault(heartbeat.type(), machine.type);
    machine.zone = heartbeat.zone();
    machine.spot = heartbeat.spot();
    machine.address = heartbeat.address();
  }

  private void recordReclaimNotice(Heartbeat heartbeat, Machine machine, double now) {
    if (heartbeat.reclaimInS() != null && machine.reclaimAt < 0) {
      LOG.info(
          "machine {} will be reclaimed by the cloud in {} s",
          machine.name,
          heartbeat.reclaimInS());
      machine.reclaimAt = now + heartbeat.reclaimInS();
      listener.clusterChanged();
    }
  }
}
