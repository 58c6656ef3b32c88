package io.embernotch.peer;

import io.embernotch.codec.MalformedInputException;
import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * The bytes of frames: four bytes of length, one of version, one of kind, then the fields. Numbers
 * are big-endian, strings have two bytes of length, blobs four. Enum constants are written as their
 * position, so their order is part of the format. May be used from any thread.
 */
public final class FrameCodec {
  /** The version of the format, which every frame states. */
  public static final byte VERSION = 1;

  /** Most bytes of a frame, without its length. */
  public static final int MAX_FRAME = 256 * 1024;

  /** Bytes of the length that a frame starts with. */
  static final int LENGTH_BYTES = 4;

  /** Most entries of a list, and the length that stands for a null string. */
  static final int MAX_COUNT = 0xFFFF;

  /** In a peer heartbeat: the store does not answer the sender. */
  static final byte STORE_UNREACHABLE = 0;

  /** In a peer heartbeat: the store answers the sender. */
  static final byte STORE_REACHABLE = 1;

  /** In a peer heartbeat: the store answers the sender, which takes the frames of replication. */
  static final byte STORE_REACHABLE_AND_REPLICATES = 2;

  private static final int FIRST_BUFFER_BYTES = 512;
  private static final int BUFFER_GROWTH = 4;

  private FrameCodec() {}

  /**
   * The whole frame, its length included.
   *
   * @throws IllegalArgumentException if it exceeds {@link #MAX_FRAME}, or a string its own limit
   */
  public static byte[] encode(Frame frame) {
    for (int size = FIRST_BUFFER_BYTES; ; size *= BUFFER_GROWTH) {
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
   * Reads a frame.
   *
   * @param buffer what follows the frame's length, no more and no less
   * @throws MalformedInputException if its version or kind is unknown, or its fields are malformed
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
