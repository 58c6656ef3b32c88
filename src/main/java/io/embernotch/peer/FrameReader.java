package io.embernotch.peer;

import io.embernotch.codec.MalformedInputException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Splits the byte stream of one connection into frames. Not thread-safe. */
public final class FrameReader {
  private static final int INITIAL_BUFFER_BYTES = 1024;

  /** Minimum bytes of a frame without its length: its version and its kind. */
  private static final int MIN_FRAME_BYTES = 2;

  private final Consumer<Frame> sink;
  private ByteBuffer pending = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

  /** Whether a frame was malformed; the start of the next frame is unknown from then on. */
  private boolean malformed;

  /**
   * @param sink receives each frame in stream order
   */
  public FrameReader(Consumer<Frame> sink) {
    this.sink = sink;
  }

  /**
   * Appends bytes of the stream and delivers the frames that they complete.
   *
   * @throws MalformedInputException if a frame is malformed, or an earlier frame was
   */
  public void feed(byte[] bytes) {
    if (malformed) {
      throw new MalformedInputException("follows a malformed frame");
    }
    append(bytes);
    pending.flip();
    try {
      deliverFrames();
    } catch (MalformedInputException e) {
      malformed = true;
      throw e;
    } finally {
      pending.compact();
    }
  }

  private void deliverFrames() {
    while (pending.remaining() >= FrameCodec.LENGTH_BYTES) {
      int length = pending.getInt(pending.position());
      if (length < MIN_FRAME_BYTES || length > FrameCodec.MAX_FRAME) {
        throw new MalformedInputException("frame length " + length);
      }
      if (pending.remaining() < FrameCodec.LENGTH_BYTES + length) {
        break;
      }
      pending.getInt();
      ByteBuffer body = pending.slice(pending.position(), length);
      pending.position(pending.position() + length);
      sink.accept(FrameCodec.decode(body));
    }
  }

  private void append(byte[] bytes) {
    if (pending.remaining() < bytes.length) {
      ByteBuffer bigger =
          ByteBuffer.allocate(Math.max(pending.capacity() * 2, pending.position() + bytes.length));
      pending.flip();
      bigger.put(pending);
      pending = bigger;
    }
    pending.put(bytes);
  }
}
