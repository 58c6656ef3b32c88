package io.embernotch.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Encoding of replication frames, and of heartbeats exchanged with the previous version. */
class ReplicationFramesTest {
  private static final String HEARTBEAT_OF_C1_FOR_C2 =
      "0000001301010002633100026332000000000000002c";

  private static String hex(Frame frame) {
    return HexFormat.of().formatHex(FrameCodec.encode(frame));
  }

  private static Frame decode(String hex) {
    byte[] bytes = HexFormat.of().parseHex(hex);
    return FrameCodec.decode(ByteBuffer.wrap(bytes, 4, bytes.length - 4).slice());
  }

  private static Frame.PeerHeartbeat heartbeat(boolean storeReachable, boolean acceptsReplication) {
    return new Frame.PeerHeartbeat("c1", "c2", 44, storeReachable, acceptsReplication);
  }

  /** Guards against a changed order or width of an update's fields, which other versions read. */
  @Test
  void stateUpdateHasAStableEncoding() {
    byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
    Frame update =
        new Frame.StateUpdate(9, "c0-7", 300, List.of(new Frame.StateEntry("run/j-1", value)));
    String bytes =
        "00000029010d0000000000000009000463302d37000000000000012c0001000772756e2f6a2d31000000027b7d";
    assertThat(hex(update)).isEqualTo(bytes);
    Frame.StateUpdate read = (Frame.StateUpdate) decode(bytes);
    assertThat(read.id()).isEqualTo(9);
    assertThat(read.incarnation()).isEqualTo("c0-7");
    assertThat(read.revision()).isEqualTo(300);
    assertThat(read.entries()).hasSize(1);
    assertThat(read.entries().get(0).key()).isEqualTo("run/j-1");
    assertThat(read.entries().get(0).value()).isEqualTo(value);
  }

  /** Guards against an acknowledgement that identifies the wrong update. */
  @Test
  void acknowledgementHasAStableEncoding() {
    Frame acknowledgement = new Frame.StateUpdateAck((7L << 32) + 1);
    String bytes = "0000000a010e0000000700000001";
    assertThat(hex(acknowledgement)).isEqualTo(bytes);
    assertThat(decode(bytes)).isEqualTo(acknowledgement);
  }

  /** Guards against a request that identifies the wrong part or the wrong data loss. */
  @Test
  void knowledgeRequestHasAStableEncoding() {
    Frame request = new Frame.KnowledgeRequest(9, "c1", 1L << 24, 3);
    String bytes = "0000001a010f0000000000000009000263310000000001000000" + "00000003";
    assertThat(hex(request)).isEqualTo(bytes);
    assertThat(decode(bytes)).isEqualTo(request);
  }

  /** Guards against a byte that the previous version reads as an unreachable store. */
  @Test
  void heartbeatOfAReplicatingControllerEndsIn2() {
    assertThat(hex(heartbeat(true, true))).isEqualTo(HEARTBEAT_OF_C1_FOR_C2 + "02");
    assertThat(decode(HEARTBEAT_OF_C1_FOR_C2 + "02")).isEqualTo(heartbeat(true, true));
  }

  /** Guards against sending replication frames to the previous version, which rejects them. */
  @Test
  void heartbeatOfThePreviousVersionDoesNotReplicate() {
    assertThat(hex(heartbeat(true, false))).isEqualTo(HEARTBEAT_OF_C1_FOR_C2 + "01");
    assertThat(decode(HEARTBEAT_OF_C1_FOR_C2 + "01")).isEqualTo(heartbeat(true, false));
  }

  /** Guards against a byte that the previous version reads as a reachable store. */
  @Test
  void heartbeatWithoutAReachableStoreEndsIn0() {
    assertThat(hex(heartbeat(false, true))).isEqualTo(HEARTBEAT_OF_C1_FOR_C2 + "00");
    assertThat(hex(heartbeat(false, false))).isEqualTo(HEARTBEAT_OF_C1_FOR_C2 + "00");
    assertThat(decode(HEARTBEAT_OF_C1_FOR_C2 + "00")).isEqualTo(heartbeat(false, false));
  }
}
