package io.embernotch.peer;

import io.embernotch.codec.MalformedInputException;
import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Encodes and decodes frames: four bytes of length, one byte of version, one byte of kind, then the
 * fields. Numbers are big-endian. Strings and lists start with two bytes of length, blobs with
 * four. Enum constants are written as their ordinals, so their order is part of the format. Safe to
 * use from any thread.
 */
public final class FrameCodec {
  /** Version of the format, which every frame contains. */
  public static final byte VERSION = 1;

  /** Maximum bytes of a frame without its length field. */
  public static final int MAX_FRAME = 256 * 1024;

  /** Bytes of the length field at the start of a frame. */
  static final int LENGTH_BYTES = 4;

  /** Maximum number of entries in a list; as the length of a string it encodes null. */
  static final int MAX_COUNT = 0xFFFF;

  /** In a peer heartbeat: the store does not answer the sender. */
  static final byte STORE_UNREACHABLE = 0;

  /** In a peer heartbeat: the store answers the sender. */
  static final byte STORE_REACHABLE = 1;

  /** In a peer heartbeat: the store answers the sender, which accepts replication frames. */
  static final byte STORE_REACHABLE_AND_REPLICATES = 2;

  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final int BUFFER_GROWTH = 4;

  private FrameCodec() {}

  /**
   * Encodes a frame, including its length field.
   *
   * @throws IllegalArgumentException if the frame exceeds {@link #MAX_FRAME}, or a string is too
   *     long
   */
  public static byte[] encode(Frame frame) {
    for (int size = INITIAL_BUFFER_BYTES; ; size *= BUFFER_GROWTH) {
      try {
        return encode(frame, ByteBuffer.allocate(Math.min(size, MAX_FRAME + LENGTH_BYTES)));
      } catch (BufferOverflowException e) {
        if (size > MAX_FRAME) {
          throw new IllegalArgumentException("frame exceeds " + MAX_FRAME + " bytes");
        }
      }
    }
  }

  private static byte[] encode(Frame frame, ByteBuffer buffer) {
    buffer.position(LENGTH_BYTES);
    buffer.put(VERSION);
    new FrameEncoder(buffer).put(frame);
    buffer.putInt(0, buffer.position() - LENGTH_BYTES);
    byte[] bytes = new byte[buffer.position()];
    buffer.flip();
    buffer.get(bytes);
    return bytes;
  }

  /**
   * Decodes a frame.
   *
   * @param buffer exactly the bytes of the frame after its length field
   * @throws MalformedInputException if the version or kind is unknown, or a field is malformed
   */
  public static Frame decode(ByteBuffer buffer) {
    try {
      byte version = buffer.get();
      if (version != VERSION) {
        throw new MalformedInputException("frame version " + version);
      }
      Frame frame = new FrameDecoder(buffer).next();
      if (buffer.hasRemaining()) {
        throw new MalformedInputException("frame has " + buffer.remaining() + " bytes too many");
      }
      return frame;
    } catch (BufferUnderflowException e) {
      throw new MalformedInputException(FrameDecoder.TRUNCATED);
    }
  }
}
