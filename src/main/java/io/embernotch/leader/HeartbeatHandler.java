package io.embernotch.leader;

import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import io.embernotch.peer.Frame;

/**
 * Processes the heartbeats of agents, and of controllers that renew agents' leases on behalf of the
 * leader.
 */
final class HeartbeatHandler {
  private final LeaderComponents components;

  HeartbeatHandler(LeaderComponents components) {
    this.components = components;
  }

  /** Processes an agent's heartbeat and sends the response. */
  void handle(LeaderMessage.HeartbeatReceived message) {
    if (components.lifecycle.isStopped()) {
      LeaderMessageDispatcher.refuse(message);
      return;
    }
    String name = message.heartbeat().machine();
    Machine before = components.state.machines.get(name);
    int openAttemptsBefore = before == null ? 0 : before.openAttempts.size();
    byte[] body =
        components.agents.processHeartbeat(
            message.heartbeat(),
            components.leaderContext.isLeaseValid(),
            message.forwarderIncarnation());
    message.reply().complete(body);
    Machine after = components.state.machines.get(name);
    if (after != null && after.openAttempts.size() != openAttemptsBefore) {
      components.schedulingLoop.scheduleSoon();
    }
  }

  /** Processes an agent's heartbeat to which no response is awaited. */
  void handleWithoutReply(Heartbeat heartbeat) {
    if (!components.lifecycle.isStopped() && components.agents.processWithoutReply(heartbeat)) {
      components.schedulingLoop.scheduleSoon();
    }
  }

  /** Processes the heartbeat of a controller that may renew leases; returns the acknowledgement. */
  Frame.DelegateHeartbeatAck delegateHeartbeatReceived(Frame.DelegateHeartbeat heartbeat) {
    if (components.delegations.isNewProcess(heartbeat)) {
      components.imagePublisher.republishAll();
    }
    boolean mayRenew =
        components.lifecycle.isLoaded()
            && components.leaderContext.isLeaseValid()
            && components.completions.zoneHasNoCancelledTasks(
                components.delegations.zoneOf(heartbeat.node()));
    return components.delegations.heartbeatReceived(
        heartbeat, components.term.epoch(), mayRenew, components.context.clock().now());
  }
}
