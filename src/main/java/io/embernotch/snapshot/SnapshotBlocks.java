package io.embernotch.snapshot;

import com.google.protobuf.InvalidProtocolBufferException;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.util.List;

/**
 * A snapshot, compressed and split into blocks that fit the store's values.
 *
 * @param blocks the blocks in their order
 * @param crc checksum over all blocks in their order
 */
public record SnapshotBlocks(List<byte[]> blocks, long crc) {
  private static final int VERSION = 1;

  /** Bytes that a block's value takes besides its base64: names, checksum, quotes. */
  private static final int VALUE_OVERHEAD = 64;

  private static final int MIN_BLOCK_BYTES = 48;

  /**
   * Packs a snapshot.
   *
   * @param valueBytes most bytes of a value in the store
   */
  public static SnapshotBlocks pack(ClusterSnapshot snapshot, int valueBytes) {
    // Base64 makes four bytes of three.
    int blockBytes = Math.max(MIN_BLOCK_BYTES, (valueBytes - VALUE_OVERHEAD) / 4 * 3);
    DeflatedParts packed = DeflatedParts.of(snapshot.toByteArray(), blockBytes);
    return new SnapshotBlocks(packed.parts(), packed.crc());
  }

  /** The checksum of bytes. */
  public static long sum(byte[] bytes) {
    return DeflatedParts.sum(bytes);
  }

  /**
   * Unpacks the snapshot.
   *
   * @throws MalformedInputException if it is damaged; it is never used in part
   */
  public ClusterSnapshot unpack() {
    byte[] bytes = new DeflatedParts(blocks, crc).bytes();
    try {
      ClusterSnapshot snapshot = ClusterSnapshot.parseFrom(bytes);
      if (snapshot.getVersion() > VERSION) {
        throw new MalformedInputException(
            "a copy of format " + snapshot.getVersion() + ", newer than " + VERSION);
      }
      return snapshot;
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedInputException("unreadable copy: " + e.getMessage());
    }
  }
}
