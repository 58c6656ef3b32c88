package io.embernotch.snapshot;

import com.google.protobuf.InvalidProtocolBufferException;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.util.List;

/**
 * A snapshot, compressed and split into blocks that fit the store's values.
 *
 * @param blocks the blocks in order
 * @param crc CRC-32 over the bytes of all blocks in order
 */
public record SnapshotBlocks(List<byte[]> blocks, long crc) {
  private static final int VERSION = 1;

  /** Bytes of a block's stored value besides its base64 text: field names, checksum, quotes. */
  private static final int VALUE_OVERHEAD_BYTES = 64;

  private static final int MIN_BLOCK_BYTES = 48;

  /**
   * Compresses a snapshot and splits it into blocks.
   *
   * @param valueBytes maximum size of a value in the store, in bytes
   */
  public static SnapshotBlocks pack(ClusterSnapshot snapshot, int valueBytes) {
    // Base64 encodes three bytes as four.
    int blockBytes = Math.max(MIN_BLOCK_BYTES, (valueBytes - VALUE_OVERHEAD_BYTES) / 4 * 3);
    DeflatedParts packed = DeflatedParts.of(snapshot.toByteArray(), blockBytes);
    return new SnapshotBlocks(packed.parts(), packed.crc());
  }

  /** The CRC-32 of bytes. */
  public static long crc32(byte[] bytes) {
    return DeflatedParts.crc32(bytes);
  }

  /**
   * Joins, decompresses and parses the blocks.
   *
   * @throws MalformedInputException if a block is missing or damaged, or the format is newer than
   *     this version reads; a snapshot is never used in part
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
