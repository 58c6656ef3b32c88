package io.embernotch.snapshot;

import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * The properties of {@link SnapshotMergeTest} with new seeds on every run. Excluded from the build,
 * which must be deterministic; CONTRIBUTING.md names the command.
 */
class SnapshotMergeSearch extends SnapshotMergeTest {
  @Override
  @Property(tries = 20_000)
  void mergeIsCommutativeAssociativeAndIdempotent(
      @ForAll("snapshots") ClusterSnapshot a,
      @ForAll("snapshots") ClusterSnapshot b,
      @ForAll("snapshots") ClusterSnapshot c) {
    super.mergeIsCommutativeAssociativeAndIdempotent(a, b, c);
  }

  @Override
  @Property(tries = 20_000)
  void mergeLosesNoProgress(
      @ForAll("snapshots") ClusterSnapshot a, @ForAll("snapshots") ClusterSnapshot b) {
    super.mergeLosesNoProgress(a, b);
  }
}
