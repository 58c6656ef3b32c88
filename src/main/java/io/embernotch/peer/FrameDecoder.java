package io.embernotch.peer;

import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.TaskState;
import io.embernotch.model.TaskStatus;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.MachineView.TaskView;
import io.embernotch.straggler.Restart;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Reads the kind and the fields of frames. Fields are read in the order of the constructors'
 * arguments, which Java evaluates from left to right.
 */
final class FrameDecoder {
  /** Error message for a frame that ends before its last field. */
  static final String TRUNCATED = "frame is cut short";

  private final ByteBuffer buffer;

  /**
   * @param buffer positioned at the frame's kind; if it ends too early, {@link #next} throws a
   *     {@link java.nio.BufferUnderflowException}
   */
  FrameDecoder(ByteBuffer buffer) {
    this.buffer = buffer;
  }

  /**
   * Reads the frame.
   *
   * @throws MalformedInputException if the kind is unknown or a field is malformed
   */
  Frame next() {
    byte kind = buffer.get();
    return switch (kind) {
      case FrameKind.PEER_HEARTBEAT -> peerHeartbeat();
      case FrameKind.JOB_ACCEPTED -> jobAccepted();
      case FrameKind.FORWARDED_REQUEST -> forwardedRequest();
      case FrameKind.FORWARDED_SUBMISSION -> forwardedSubmission();
      case FrameKind.RESPONSE -> response();
      case FrameKind.MACHINE_VIEW_UPDATE -> machineViewUpdate();
      case FrameKind.DELEGATE_HEARTBEAT -> delegateHeartbeat();
      case FrameKind.DELEGATE_HEARTBEAT_ACK -> delegateHeartbeatAck();
      case FrameKind.FORWARDED_HEARTBEAT -> forwardedHeartbeat();
      case FrameKind.IMAGE_INVENTORY_UPDATE -> imageInventoryUpdate();
      case FrameKind.MACHINE_VIEW_REMOVAL -> machineViewRemoval();
      case FrameKind.RESTART_PROPOSALS -> restartProposals();
      case FrameKind.STATE_UPDATE -> stateUpdate();
      case FrameKind.STATE_UPDATE_ACK -> new Frame.StateUpdateAck(buffer.getLong());
      case FrameKind.KNOWLEDGE_REQUEST -> knowledgeRequest();
      default -> throw new MalformedInputException("frame kind " + kind);
    };
  }

  private Frame peerHeartbeat() {
    String node = text();
    String leader = text();
    long leaderEpoch = buffer.getLong();
    byte store = buffer.get();
    return new Frame.PeerHeartbeat(
        node,
        leader,
        leaderEpoch,
        store != FrameCodec.STORE_UNREACHABLE,
        store == FrameCodec.STORE_REACHABLE_AND_REPLICATES);
  }

  private Frame stateUpdate() {
    return new Frame.StateUpdate(
        buffer.getLong(), text(), buffer.getLong(), list(this::stateEntry));
  }

  private Frame.StateEntry stateEntry() {
    return new Frame.StateEntry(text(), blob());
  }

  private Frame knowledgeRequest() {
    return new Frame.KnowledgeRequest(buffer.getLong(), text(), buffer.getLong(), buffer.getInt());
  }

  private Frame jobAccepted() {
    return new Frame.JobAccepted(blob());
  }

  private Frame forwardedRequest() {
    return new Frame.ForwardedRequest(
        buffer.getLong(), enumConstant(Frame.ForwardedRequest.Kind.values(), buffer.get()), text());
  }

  private Frame forwardedSubmission() {
    return new Frame.ForwardedSubmission(buffer.getLong(), blob());
  }

  private Frame response() {
    return new Frame.Response(buffer.getLong(), buffer.getShort(), buffer.getShort(), blob());
  }

  private Frame machineViewUpdate() {
    return new Frame.MachineViewUpdate(buffer.getLong(), machineView());
  }

  private Frame delegateHeartbeat() {
    return new Frame.DelegateHeartbeat(
        text(), buffer.getLong(), buffer.getLong(), buffer.getDouble());
  }

  private Frame delegateHeartbeatAck() {
    return new Frame.DelegateHeartbeatAck(buffer.getLong(), buffer.getLong(), flag());
  }

  private Frame forwardedHeartbeat() {
    return new Frame.ForwardedHeartbeat(buffer.getLong(), heartbeat());
  }

  private Frame imageInventoryUpdate() {
    return new Frame.ImageInventoryUpdate(buffer.getLong(), text(), texts());
  }

  private Frame machineViewRemoval() {
    return new Frame.MachineViewRemoval(buffer.getLong(), text());
  }

  private Frame restartProposals() {
    return new Frame.RestartProposals(text(), buffer.getLong(), list(this::restart));
  }

  private Restart restart() {
    return new Restart(text(), buffer.getInt(), buffer.getLong(), text(), buffer.getDouble());
  }

  private Heartbeat heartbeat() {
    return new Heartbeat(
        text(),
        text(),
        text(),
        text(),
        flag(),
        buffer.getLong(),
        buffer.getLong(),
        buffer.getLong(),
        seconds(),
        list(this::taskStatus));
  }

  private TaskStatus taskStatus() {
    return new TaskStatus(
        text(),
        buffer.getInt(),
        buffer.getLong(),
        enumConstant(TaskState.values(), buffer.get()),
        exitCause(buffer.get()),
        flag());
  }

  private MachineView machineView() {
    return new MachineView(
        text(),
        text(),
        text(),
        flag(),
        buffer.getInt(),
        buffer.getDouble(),
        flag(),
        buffer.getDouble(),
        buffer.getDouble(),
        buffer.getDouble(),
        buffer.getInt(),
        list(buffer::getDouble),
        list(this::taskView));
  }

  private TaskView taskView() {
    return new TaskView(
        text(),
        buffer.getInt(),
        buffer.getLong(),
        buffer.getDouble(),
        buffer.getDouble(),
        buffer.getDouble(),
        buffer.getDouble(),
        buffer.getDouble(),
        flag(),
        text(),
        flag() ? texts() : null);
  }

  private static ExitCause exitCause(byte position) {
    return position < 0 ? null : enumConstant(ExitCause.values(), position);
  }

  private static <T> T enumConstant(T[] constants, byte position) {
    if (position < 0 || position >= constants.length) {
      throw new MalformedInputException("unknown value " + position);
    }
    return constants[position];
  }

  /** Reads seconds; a negative number means null. */
  private Double seconds() {
    double seconds = buffer.getDouble();
    return seconds < 0 ? null : seconds;
  }

  private boolean flag() {
    return buffer.get() != 0;
  }

  private List<String> texts() {
    return list(this::text);
  }

  private <T> List<T> list(Supplier<T> entry) {
    List<T> entries = new ArrayList<>();
    for (int left = buffer.getShort() & FrameCodec.MAX_COUNT; left > 0; left--) {
      entries.add(entry.get());
    }
    return entries;
  }

  /** Reads a string; the length {@link FrameCodec#MAX_COUNT} means null. */
  private String text() {
    int length = buffer.getShort() & FrameCodec.MAX_COUNT;
    return length == FrameCodec.MAX_COUNT
        ? null
        : new String(bytes(length), StandardCharsets.UTF_8);
  }

  private byte[] blob() {
    return bytes(buffer.getInt());
  }

  private byte[] bytes(int length) {
    if (length < 0 || length > buffer.remaining()) {
      throw new MalformedInputException(TRUNCATED);
    }
    byte[] bytes = new byte[length];
    buffer.get(bytes);
    return bytes;
  }
}
