package io.embernotch.incarnation;

import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.util.List;

/**
 * A snapshot whose blocks are in the store, ready for an incarnation to begin with it.
 *
 * @param name name of the blocks, and of the incarnation that is to begin
 * @param snapshot the contents
 * @param incarnations names of incarnations that other controllers knew, whose contents it holds
 * @param blockCount number of blocks
 * @param crc checksum over all blocks
 * @param lastModRevision modification revision of the last block; 0 while none is written
 */
record PreparedSnapshot(
    String name,
    ClusterSnapshot snapshot,
    List<String> incarnations,
    int blockCount,
    long crc,
    long lastModRevision) {
  PreparedSnapshot writtenAt(long modRevision) {
    return new PreparedSnapshot(name, snapshot, incarnations, blockCount, crc, modRevision);
  }
}
