package io.embernotch.controller;

import io.embernotch.api.CompletedJobCache;
import io.embernotch.election.LeaderElection;
import io.embernotch.election.PeerLiveness;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.leader.ImageInventory;
import io.embernotch.leader.LeaderContext;
import io.embernotch.model.JobPhase;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.rounds.PartitionViews;
import io.embernotch.settings.Settings;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Gives the leader access to the controller that it runs in. */
final class ControllerLeaderContext implements LeaderContext {
  private final Settings settings;
  private final PeerLink peers;
  private final PeerLiveness peerLiveness;
  private final LeaderElection election;
  private final StoreIncarnationTracker incarnations;
  private final PartitionViews partitionViews;
  private final CompletedJobCache completedJobs;
  private final ImageInventory imageInventory;

  ControllerLeaderContext(
      Settings settings,
      PeerLink peers,
      PeerLiveness peerLiveness,
      LeaderElection election,
      StoreIncarnationTracker incarnations,
      PartitionViews partitionViews,
      CompletedJobCache completedJobs,
      ImageInventory imageInventory) {
    this.settings = settings;
    this.peers = peers;
    this.peerLiveness = peerLiveness;
    this.election = election;
    this.incarnations = incarnations;
    this.partitionViews = partitionViews;
    this.completedJobs = completedJobs;
    this.imageInventory = imageInventory;
  }

  @Override
  public boolean isLeaseValid() {
    return election.isLeaseValid();
  }

  @Override
  public Set<String> liveControllers() {
    Set<String> controllers = new TreeSet<>(peerLiveness.live());
    controllers.add(settings.node());
    return controllers;
  }

  @Override
  public PartitionViews partitionViews() {
    return partitionViews;
  }

  @Override
  public void reportNewerLeader(String reason) {
    election.stepDown(reason);
  }

  @Override
  public void storeRolledBack(String reason) {
    incarnations.dataLossIndicators().storeRolledBack(reason);
  }

  @Override
  public boolean areContentsConfirmed() {
    return incarnations.confirmation().isConfirmed();
  }

  @Override
  public void confirmContents() {
    incarnations.confirmation().confirm();
  }

  @Override
  public void observeEpoch(long epoch) {
    incarnations.observeEpoch(epoch);
  }

  @Override
  public void resign(String reason) {
    if (!peerLiveness.live().isEmpty()) {
      double backoffS = settings.workers().leaseS() / 2;
      election.resign(reason, backoffS);
    }
  }

  @Override
  public void jobCompleted(String ref, JobPhase phase, int tasks, int done) {
    completedJobs.put(ref, phase, done);
  }

  @Override
  public void broadcast(Frame frame) {
    if (frame instanceof Frame.ImageInventoryUpdate update) {
      imageInventory.update(update);
    }
    settings.members().forEach(member -> peers.send(member.node(), frame));
  }

  @Override
  public List<String> lastKnownImages(String machine) {
    return imageInventory.of(machine);
  }
}
