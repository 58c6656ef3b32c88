package io.embernotch.peer;

import io.embernotch.codec.MalformedInputException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Cuts a stream of bytes into frames. */
public final class FrameReader {
  private final Consumer<Frame> sink;
  private ByteBuffer pending = ByteBuffer.allocate(1024);

  public FrameReader(Consumer<Frame> sink) {
    this.sink = sink;
  }

  /**
   * Takes more bytes. A malformed frame throws {@link MalformedInputException}; the stream is then
   * of no use.
   */
  public void feed(byte[] bytes) {
    if (pending.remaining() < bytes.length) {
      ByteBuffer bigger =
          ByteBuffer.allocate(Math.max(pending.capacity() * 2, pending.position() + bytes.length));
      pending.flip();
      bigger.put(pending);
      pending = bigger;
    }
    pending.put(bytes);
    pending.flip();
    while (pending.remaining() >= 4) {
      int length = pending.getInt(pending.position());
      if (length < 2 || length > FrameCodec.MAX_FRAME) {
        throw new MalformedInputException("frame length " + length);
      }
      if (pending.remaining() < 4 + length) {
        break;
      }
      pending.getInt();
      ByteBuffer body = pending.slice(pending.position(), length);
      pending.position(pending.position() + length);
      sink.accept(FrameCodec.decode(body));
    }
    pending.compact();
  }
}
