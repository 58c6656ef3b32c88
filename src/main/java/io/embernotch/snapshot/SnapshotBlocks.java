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
  public static SnapshotBlocks pack(ClusterSnapshot copy, int valueBytes) {
    Deflater zip = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    byte[] buffer = new byte[4096];
    zip.setInput(copy.toByteArray());
    zip.finish();
    while (!zip.finished()) {
      all.write(buffer, 0, zip.deflate(buffer));
    }
    zip.end();
    byte[] packed = all.toByteArray();
    // Base64 makes four bytes of three.
    int most = Math.max(48, (valueBytes - BESIDES) / 4 * 3);
    List<byte[]> out = new ArrayList<>();
    for (int from = 0; from < packed.length; from += most) {
      out.add(Arrays.copyOfRange(packed, from, Math.min(packed.length, from + most)));
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
      ClusterSnapshot copy = ClusterSnapshot.parseFrom(inflate(packed));
      if (copy.getVersion() > VERSION) {
        throw new MalformedInputException(
            "a copy of format " + copy.getVersion() + ", newer than " + VERSION);
      }
      return copy;
    } catch (DataFormatException | InvalidProtocolBufferException e) {
      throw new MalformedInputException("unreadable copy: " + e.getMessage());
    }
  }

  private static byte[] inflate(byte[] packed) throws DataFormatException {
    Inflater zip = new Inflater();
    try {
      zip.setInput(packed);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[4096];
      while (!zip.finished()) {
        int n = zip.inflate(buffer);
        if (n == 0 && zip.needsInput()) {
          throw new DataFormatException("it ends too early");
        }
        out.write(buffer, 0, n);
      }
      return out.toByteArray();
    } finally {
      zip.end();
    }
  }
}
