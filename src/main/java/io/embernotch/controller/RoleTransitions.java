package io.embernotch.controller;

import io.embernotch.context.ControllerContext;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.LeadershipListener;
import io.embernotch.election.PeerLiveness;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.leader.Leader;
import io.embernotch.leader.LeaderContext;
import io.embernotch.leader.LeaderMessage;
import io.embernotch.leader.LeaderTerm;

/**
 * Starts and stops the leader of this controller and redirects heartbeats as the election reports
 * changes of leadership.
 */
final class RoleTransitions implements LeadershipListener {
  private final ControllerContext context;
  private final LeaderContext leaderContext;
  private final MachineTypeCatalog machineTypes;
  private final StoreIncarnationTracker incarnations;
  private final HeartbeatForwarder heartbeatForwarder;
  private final PeerHeartbeats peerHeartbeats;
  private final PeerLiveness peerLiveness;
  private final LeaderObserver leaderObserver;
  private final LeaderClient leaderClient;
  private final LocalLeader localLeader;
  private final Replication replication;
  private final LeaderElection election;

  RoleTransitions(
      ControllerContext context,
      LeaderContext leaderContext,
      MachineTypeCatalog machineTypes,
      StoreIncarnationTracker incarnations,
      HeartbeatForwarder heartbeatForwarder,
      PeerHeartbeats peerHeartbeats,
      PeerLiveness peerLiveness,
      LeaderObserver leaderObserver,
      LeaderClient leaderClient,
      LocalLeader localLeader,
      Replication replication,
      LeaderElection election) {
    this.context = context;
    this.leaderContext = leaderContext;
    this.machineTypes = machineTypes;
    this.incarnations = incarnations;
    this.heartbeatForwarder = heartbeatForwarder;
    this.peerHeartbeats = peerHeartbeats;
    this.peerLiveness = peerLiveness;
    this.leaderObserver = leaderObserver;
    this.leaderClient = leaderClient;
    this.localLeader = localLeader;
    this.replication = replication;
    this.election = election;
  }

  @Override
  public void leadershipAcquired(long epoch, long modRevision) {
    context.store().setLeading(true);
    Leader leader =
        new Leader(
            context,
            leaderContext,
            new LeaderTerm(epoch, modRevision, incarnations.baseSnapshot()),
            machineTypes.types().values(),
            incarnations.takeInitialSnapshot(),
            heartbeatForwarder.controllersDelayingCancellations());
    localLeader.begin(leader, election.claimedAt());
    heartbeatForwarder
        .recentHeartbeats()
        .forEach(heartbeat -> leader.send(new LeaderMessage.HeartbeatWithoutReply(heartbeat)));
    heartbeatForwarder.releaseParked(
        heartbeat -> leaderClient.deliverHeartbeat(heartbeat, LeaderClient.RECEIVED_DIRECTLY));
    leader.start();
    peerHeartbeats.send();
  }

  @Override
  public void leadershipLost(String reason, double leaseValidUntil) {
    context.store().setLeading(false);
    localLeader.end(leaseValidUntil);
    leaderAbsent();
    replication.leadershipLost();
  }

  @Override
  public void leaderChanged(String node, long epoch, boolean acceptsForwarded) {
    leaderObserver.setLeader(node, epoch);
    heartbeatForwarder.leaderChanged(node, epoch, acceptsForwarded);
  }

  @Override
  public void formerLeaderSeen(String node, long epoch) {
    leaderObserver.observeEpoch(node, epoch);
  }

  @Override
  public void leaderAbsent() {
    leaderObserver.setLeader(null, 0);
    heartbeatForwarder.leaderChanged(null, 0, false);
  }

  @Override
  public boolean shouldYield() {
    return machineTypes.types().isEmpty()
        || (!context.settings().members().isEmpty() && peerLiveness.live().isEmpty());
  }
}
