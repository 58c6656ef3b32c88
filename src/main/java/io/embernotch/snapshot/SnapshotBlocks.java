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
 * A copy packed into blocks that fit the store's values, each with a checksum, and one over all.
 *
 * @param crc over the blocks in their order
 */
public record SnapshotBlocks(List<byte[]> blocks, long crc) {
  private static final int VERSION = 1;

  /** Bytes that a block's value takes besides its base64: names, checksum, quotes. */
  private static final int BESIDES = 64;

  /**
   * @param valueBytes what a value may have at the most
   */
  public static SnapshotBlocks pack(ClusterSnapshot snapshot, int valueBytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    byte[] buffer = new byte[4096];
    deflater.setInput(snapshot.toByteArray());
    deflater.finish();
    while (!deflater.finished()) {
      all.write(buffer, 0, deflater.deflate(buffer));
    }
    deflater.end();
    byte[] packed = all.toByteArray();
    // Base64 makes four bytes of three.
    int blockBytes = Math.max(48, (valueBytes - BESIDES) / 4 * 3);
    List<byte[]> out = new ArrayList<>();
    for (int from = 0; from < packed.length; from += blockBytes) {
      out.add(Arrays.copyOfRange(packed, from, Math.min(packed.length, from + blockBytes)));
    }
    return new SnapshotBlocks(out, sum(packed));
  }

  public static long sum(byte[] bytes) {
    CRC32 crc = new CRC32();
    crc.update(bytes);
    return crc.getValue();
  }

  /**
   * @throws MalformedInputException if the copy is damaged, with what is wrong: it is never used in
   *     part
   */
  public ClusterSnapshot unpack() {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    blocks.forEach(b -> all.write(b, 0, b.length));
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

  private static byte[] inflate(byte[] packed) throws DataFormatException {
    Inflater deflater = new Inflater();
    try {
      deflater.setInput(packed);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[4096];
      while (!deflater.finished()) {
        int n = deflater.inflate(buffer);
        if (n == 0 && deflater.needsInput()) {
          throw new DataFormatException("it ends too early");
        }
        out.write(buffer, 0, n);
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }
}
