package io.embernotch.controller;

import io.embernotch.api.SubmissionHandler;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.incarnation.IncarnationHost;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.snapshot.BaseSnapshot;
import java.util.function.Supplier;

/** Handles losses of the store's data and changes of the store incarnation for this controller. */
final class IncarnationEvents implements IncarnationHost {
  private final String node;
  private final PeerLiveness peerLiveness;
  private final LeaderObserver leaderObserver;
  private final LocalLeader localLeader;
  private final RestoreSource restoreSource;
  private final Supplier<StoreIncarnationTracker> incarnations;
  private LeaderElection election;
  private Replication replication;
  private SubmissionHandler submissions;
  private MachineTypeCatalog machineTypes;
  private PeerHeartbeats peerHeartbeats;

  /** Creates the handler; {@link #connect} must be called before the first event. */
  IncarnationEvents(
      String node,
      PeerLiveness peerLiveness,
      LeaderObserver leaderObserver,
      LocalLeader localLeader,
      RestoreSource restoreSource,
      Supplier<StoreIncarnationTracker> incarnations) {
    this.node = node;
    this.peerLiveness = peerLiveness;
    this.leaderObserver = leaderObserver;
    this.localLeader = localLeader;
    this.restoreSource = restoreSource;
    this.incarnations = incarnations;
  }

  /**
   * Sets the components that are created after the incarnation tracker, which in turn needs this
   * handler.
   */
  void connect(
      LeaderElection newElection,
      Replication newReplication,
      SubmissionHandler newSubmissions,
      MachineTypeCatalog newMachineTypes,
      PeerHeartbeats newPeerHeartbeats) {
    election = newElection;
    replication = newReplication;
    submissions = newSubmissions;
    machineTypes = newMachineTypes;
    peerHeartbeats = newPeerHeartbeats;
  }

  @Override
  public void incarnationAdopted(BaseSnapshot baseSnapshot) {
    if (localLeader.isPresent()) {
      // An incarnation that this node begins settles before this node's term starts, so another
      // node has begun this one.
      election.stepDown("another store incarnation has begun");
    }
    boolean lacksKnownJobs =
        !election.holdsKey() && restoreSource.retainIfMissingFrom(baseSnapshot);
    replication.incarnationAdopted(baseSnapshot);
    submissions.storeIncarnationChanged();
    if (baseSnapshot.sinceRevision() > 0) {
      machineTypes.writeToStore();
    }
    if (lacksKnownJobs) {
      incarnations.get().dataLossIndicators().incarnationLacksKnownJobs();
    }
  }

  @Override
  public boolean hasHeartbeatFromAllPeers() {
    return peerLiveness.hasHeartbeatFromAll();
  }

  @Override
  public boolean wouldReceiveLossReport() {
    String leader = leaderObserver.node();
    boolean anotherNodeLeads = leader != null && !leader.equals(node);
    return anotherNodeLeads ? peerLiveness.isLive(leader) : peerLiveness.isAnyLive();
  }

  @Override
  public void dataLost(String reason) {
    replication.stopUpdating();
    election.stepDownAfterLoss();
    peerHeartbeats.send();
  }
}
