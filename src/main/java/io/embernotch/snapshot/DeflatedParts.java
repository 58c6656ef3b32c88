package io.embernotch.snapshot;

import io.embernotch.codec.MalformedInputException;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Bytes that are compressed with DEFLATE and split into parts.
 *
 * @param parts the parts in order
 * @param crc CRC-32 over the bytes of all parts in order
 */
public record DeflatedParts(List<byte[]> parts, long crc) {
  private static final int BUFFER_BYTES = 4096;

  /**
   * Compresses and splits bytes.
   *
   * @param partBytes maximum size of a part, in bytes
   */
  public static DeflatedParts of(byte[] bytes, int partBytes) {
    byte[] deflated = deflate(bytes);
    List<byte[]> parts = new ArrayList<>();
    for (int from = 0; from < deflated.length; from += partBytes) {
      parts.add(Arrays.copyOfRange(deflated, from, Math.min(deflated.length, from + partBytes)));
    }
    return new DeflatedParts(parts, crc32(deflated));
  }

  /** The CRC-32 of bytes. */
  static long crc32(byte[] bytes) {
    CRC32 crc = new CRC32();
    crc.update(bytes);
    return crc.getValue();
  }

  /**
   * Joins and decompresses the parts.
   *
   * @throws MalformedInputException if a part is missing or damaged
   */
  public byte[] bytes() {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    parts.forEach(part -> joined.write(part, 0, part.length));
    byte[] deflated = joined.toByteArray();
    if (crc32(deflated) != crc) {
      throw new MalformedInputException(
          "the checksum over all " + parts.size() + " blocks is wrong");
    }
    try {
      return inflate(deflated);
    } catch (DataFormatException e) {
      throw new MalformedInputException("unreadable copy: " + e.getMessage());
    }
  }

  private static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteArrayOutputStream deflated = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    deflater.setInput(bytes);
    deflater.finish();
    while (!deflater.finished()) {
      deflated.write(buffer, 0, deflater.deflate(buffer));
    }
    deflater.end();
    return deflated.toByteArray();
  }

  private static byte[] inflate(byte[] deflated) throws DataFormatException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated);
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
