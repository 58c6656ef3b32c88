package io.embernotch.incarnation;

import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.util.List;

/**
 * A snapshot that lies in the store as blocks, ready for an incarnation to begin with it.
 *
 * @param name the incarnation's name to be, under which the blocks lie
 * @param incarnations names of incarnations that other controllers knew, whose contents it holds
 * @param blocks number of blocks
 * @param crc checksum over all blocks
 * @param lastModRevision modification revision of the last block
 */
record PreparedSnapshot(
    String name,
    ClusterSnapshot snapshot,
    List<String> incarnations,
    int blocks,
    long crc,
    long lastModRevision) {
  PreparedSnapshot writtenAt(long modRevision) {
    return new PreparedSnapshot(name, snapshot, incarnations, blocks, crc, modRevision);
  }
}
