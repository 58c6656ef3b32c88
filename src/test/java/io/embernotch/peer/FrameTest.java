package io.embernotch.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.TaskState;
import io.embernotch.model.TaskStatus;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.Restart;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Encoding of frames between controllers. */
class FrameTest {
  private static final MachineView VIEW =
      new MachineView(
          "n-1",
          "g8",
          "z1",
          true,
          48,
          0.004,
          true,
          1.5,
          2,
          3,
          4,
          List.of(0.5, 1.25),
          List.of(
              new MachineView.TaskView("j-1", 7, 3, 12, 40, 5, 1, 27, true, null, null),
              new MachineView.TaskView(
                  "j-2", 8, 4, 13, 0, 5, 1, 27, false, "z1", List.of("g8", "h9"))));

  private static final Heartbeat HEARTBEAT =
      new Heartbeat(
          "n-1",
          "10.1.0.2:9000",
          "g8",
          "z1",
          true,
          2,
          88,
          41L << 20,
          12.5,
          List.of(
              new TaskStatus("j-1", 7, 3, TaskState.RUNNING, null, false),
              new TaskStatus("j-2", 8, 4, TaskState.EXITED, ExitCause.STOPPED, true)));

  private static List<Frame> all() {
    return List.of(
        new Frame.PeerHeartbeat("c1", null, 0, true),
        new Frame.ForwardedRequest(9, Frame.ForwardedRequest.Kind.ABORT, "j-3"),
        new Frame.MachineViewUpdate(44, VIEW),
        new Frame.MachineViewRemoval(44, "n-1"),
        new Frame.ImageInventoryUpdate(44, "n-1", List.of("img-1", "img-2")),
        new Frame.ForwardedHeartbeat(3, HEARTBEAT),
        new Frame.DelegateHeartbeat("c2", 9, 8, -1),
        new Frame.DelegateHeartbeatAck(44, 9, true),
        new Frame.RestartProposals("c2", 44, List.of(new Restart("j-1", 2, 3, "n-7", 0.25))));
  }

  @Test
  void framesAreReassembledFromChunksOfAnySize() {
    for (int chunk : new int[] {1, 3, 1000}) {
      List<Frame> received = new ArrayList<>();
      FrameReader reader = new FrameReader(received::add);
      for (Frame frame : all()) {
        byte[] bytes = FrameCodec.encode(frame);
        for (int i = 0; i < bytes.length; i += chunk) {
          reader.feed(Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + chunk)));
        }
      }
      assertThat(received).isEqualTo(all());
    }
  }

  @Test
  void malformedFramesAreRejected() {
    byte[] good = FrameCodec.encode(new Frame.MachineViewRemoval(44, "n-1"));
    byte[] version = good.clone();
    version[4] = 9;
    byte[] kind = good.clone();
    kind[5] = 99;
    byte[] tooLong = good.clone();
    tooLong[0] = 127;
    byte[] truncated = good.clone();
    truncated[14] = 0x70;
    for (byte[] bad : List.of(version, kind, tooLong, truncated)) {
      assertThatThrownBy(() -> new FrameReader(f -> {}).feed(bad))
          .isInstanceOf(MalformedInputException.class);
    }
  }
}
