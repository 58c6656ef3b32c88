package io.embernotch.snapshot;

import com.google.protobuf.InvalidProtocolBufferException;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

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
  private static final int BUFFER_BYTES = 4096;

  /**
   * Packs a snapshot.
   *
   * @param valueBytes most bytes of a value in the store
   */
  public static SnapshotBlocks pack(ClusterSnapshot snapshot, int valueBytes) {
    byte[] packed = deflate(snapshot.toByteArray());
    // Base64 makes four bytes of three.
    int blockBytes = Math.max(MIN_BLOCK_BYTES, (valueBytes - VALUE_OVERHEAD) / 4 * 3);
    List<byte[]> blocks = new ArrayList<>();
    for (int from = 0; from < packed.length; from += blockBytes) {
      blocks.add(Arrays.copyOfRange(packed, from, Math.min(packed.length, from + blockBytes)));
    }
    return new SnapshotBlocks(blocks, sum(packed));
  }

  /** The checksum of bytes. */
  public static long sum(byte[] bytes) {
    CRC32 crc = new CRC32();
    crc.update(bytes);
    return crc.getValue();
  }

  /**
   * Unpacks the snapshot.
   *
   * @throws MalformedInputException if it is damaged; it is never used in part
   */
  public ClusterSnapshot unpack() {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    blocks.forEach(block -> all.write(block, 0, block.length));
    byte[] packed = all.toByteArray();
    if (sum(packed) != crc) {
      throw new MalformedInputException(
          "the checksum over all " + blocks.size() + " blocks is wrong");
    }
    try {
      ClusterSnapshot snapshot = ClusterSnapshot.parseFrom(inflate(packed));
      if (snapshot.getVersion() > VERSION) {
        throw new MalformedInputException(
            "a copy of format " + snapshot.getVersion() + ", newer than " + VERSION);
      }
      return snapshot;
    } catch (DataFormatException | InvalidProtocolBufferException e) {
      throw new MalformedInputException("unreadable copy: " + e.getMessage());
    }
  }

  private static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream packed = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    deflater.setInput(bytes);
    deflater.finish();
    while (!deflater.finished()) {
      packed.write(buffer, 0, deflater.deflate(buffer));
    }
    deflater.end();
    return packed.toByteArray();
  }

  private static byte[] inflate(byte[] packed) throws DataFormatException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(packed);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        if (count == 0 && inflater.needsInput()) {
          throw new DataFormatException("it ends too early");
        }
        bytes.write(buffer, 0, count);
      }
      return bytes.toByteArray();
    } finally {
      inflater.end();
    }
  }
}
