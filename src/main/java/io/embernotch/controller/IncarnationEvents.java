package io.embernotch.controller;

import io.embernotch.api.SubmissionHandler;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.LeaderObserver;
import io.embernotch.election.PeerLiveness;
import io.embernotch.incarnation.IncarnationHost;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.snapshot.BaseSnapshot;
import java.util.function.Supplier;

/** What a controller does when the store's contents are lost, or another incarnation begins. */
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

  /** {@link #connect} is to be called before anything can happen. */
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

  /** Sets what is assembled after the tracker of the incarnation, which needs this object. */
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
  public void incarnationSettled(BaseSnapshot baseSnapshot) {
    if (localLeader.isPresent()) {
      // One that this node began is settled before its term begins, so another node began this
      // one.
      election.stepDown("another store incarnation has begun");
    }
    boolean lacksKnown = !election.holdsKey() && restoreSource.isMissingFrom(baseSnapshot);
    replication.incarnationSettled(baseSnapshot);
    submissions.storeIncarnationChanged();
    if (baseSnapshot.since() > 0) {
      machineTypes.store();
    }
    if (lacksKnown) {
      incarnations.get().lossSigns().contentsLackKnown();
    }
  }

  @Override
  public boolean allPeersHeard() {
    return peerLiveness.hasHeardFromAll();
  }

  @Override
  public boolean wouldHearOfLoss() {
    String leader = leaderObserver.node();
    boolean leaderIsElsewhere = leader != null && !leader.equals(node);
    return leaderIsElsewhere ? peerLiveness.isLive(leader) : peerLiveness.hearsAny();
  }

  @Override
  public void dataLost(String why) {
    replication.dataLost();
    election.stepDownAfterLoss();
    peerHeartbeats.send();
  }
}
