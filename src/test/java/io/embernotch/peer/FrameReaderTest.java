package io.embernotch.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.embernotch.codec.MalformedInputException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a reader that continues after a malformed frame. A connection that is being closed
 * still delivers bytes that had already arrived, as {@code PausedServerTest} shows for the HTTP
 * server. The reader then continued at an arbitrary position of the stream and could read any bytes
 * as a frame.
 */
class FrameReaderTest {
  private static final Frame FRAME = new Frame.DelegateHeartbeatAck(7, 3, true);

  private final List<Frame> frames = new ArrayList<>();
  private final FrameReader reader = new FrameReader(frames::add);

  private static byte[] malformed() {
    return ByteBuffer.allocate(8).putInt(-1).putInt(0).array();
  }

  @Test
  void nothingIsReadAfterAMalformedFrame() {
    reader.feed(FrameCodec.encode(FRAME));
    assertThat(frames).containsExactly(FRAME);
    assertThatThrownBy(() -> reader.feed(malformed())).isInstanceOf(MalformedInputException.class);
    for (int i = 0; i < 3; i++) {
      assertThatThrownBy(() -> reader.feed(FrameCodec.encode(FRAME)))
          .isInstanceOf(MalformedInputException.class);
    }
    assertThat(frames).containsExactly(FRAME);
  }
}
