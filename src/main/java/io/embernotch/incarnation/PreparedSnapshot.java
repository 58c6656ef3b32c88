package io.embernotch.incarnation;

import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;

/**
 * A snapshot that lies in the store as blocks, ready for an incarnation to begin with it.
 *
 * @param name the incarnation's name to be, under which the blocks lie
 * @param blocks number of blocks
 * @param crc checksum over all blocks
 * @param lastModRevision modification revision of the last block
 */
record PreparedSnapshot(
    String name, ClusterSnapshot snapshot, int blocks, long crc, long lastModRevision) {
  PreparedSnapshot writtenAt(long modRevision) {
    return new PreparedSnapshot(name, snapshot, blocks, crc, modRevision);
  }
}
