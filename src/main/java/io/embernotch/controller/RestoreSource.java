package io.embernotch.controller;

import io.embernotch.incarnation.StoreRestorer;
import io.embernotch.snapshot.file.SnapshotScheduler;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;

/** Where a store that has lost data can be restored from: the last leader here, or a snapshot. */
final class RestoreSource implements StoreRestorer.Source {
  private final LocalLeader localLeader;
  private final SnapshotScheduler snapshots;

  RestoreSource(LocalLeader localLeader, SnapshotScheduler snapshots) {
    this.localLeader = localLeader;
    this.snapshots = snapshots;
  }

  @Override
  public ClusterSnapshot lastLeaderSnapshot() {
    return localLeader.lastSnapshot();
  }

  @Override
  public ClusterSnapshot newestStoredSnapshot() {
    return snapshots.newest();
  }
}
