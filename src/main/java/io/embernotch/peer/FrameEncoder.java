package io.embernotch.peer;

import io.embernotch.model.Heartbeat;
import io.embernotch.model.TaskStatus;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.MachineView.TaskView;
import io.embernotch.straggler.Restart;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Writes the kind and the fields of frames in the order in which {@link FrameDecoder} reads them.
 */
final class FrameEncoder {
  private static final byte ABSENT_ENUM = -1;
  private static final double ABSENT_SECONDS = -1;

  private final ByteBuffer buffer;

  /**
   * @param buffer receives the bytes; if it is too small, {@link #put} throws a {@link
   *     java.nio.BufferOverflowException}
   */
  FrameEncoder(ByteBuffer buffer) {
    this.buffer = buffer;
  }

  void put(Frame frame) {
    if (frame instanceof Frame.PeerHeartbeat heartbeat) {
      putPeerHeartbeat(heartbeat);
    } else if (frame instanceof Frame.JobAccepted accepted) {
      putJobAccepted(accepted);
    } else if (frame instanceof Frame.ForwardedRequest request) {
      putForwardedRequest(request);
    } else if (frame instanceof Frame.ForwardedSubmission submission) {
      putForwardedSubmission(submission);
    } else if (frame instanceof Frame.Response response) {
      putResponse(response);
    } else if (frame instanceof Frame.MachineViewUpdate update) {
      putMachineViewUpdate(update);
    } else if (frame instanceof Frame.ImageInventoryUpdate update) {
      putImageInventoryUpdate(update);
    } else if (frame instanceof Frame.ForwardedHeartbeat heartbeat) {
      putForwardedHeartbeat(heartbeat);
    } else if (frame instanceof Frame.DelegateHeartbeat heartbeat) {
      putDelegateHeartbeat(heartbeat);
    } else if (frame instanceof Frame.DelegateHeartbeatAck ack) {
      putDelegateHeartbeatAck(ack);
    } else if (frame instanceof Frame.MachineViewRemoval removal) {
      putMachineViewRemoval(removal);
    } else if (frame instanceof Frame.RestartProposals proposals) {
      putRestartProposals(proposals);
    } else if (frame instanceof Frame.StateUpdate update) {
      putStateUpdate(update);
    } else if (frame instanceof Frame.StateUpdateAck ack) {
      putStateUpdateAck(ack);
    } else if (frame instanceof Frame.KnowledgeRequest request) {
      putKnowledgeRequest(request);
    }
  }

  private void putPeerHeartbeat(Frame.PeerHeartbeat heartbeat) {
    buffer.put(FrameKind.PEER_HEARTBEAT);
    putText(heartbeat.node());
    putText(heartbeat.leader());
    buffer.putLong(heartbeat.leaderEpoch());
    buffer.put(storeState(heartbeat));
  }

  /**
   * Encodes whether the sender reaches the store and whether it replicates. The previous version
   * reads any value but 0 as "the store answers".
   */
  private static byte storeState(Frame.PeerHeartbeat heartbeat) {
    if (!heartbeat.storeReachable()) {
      return FrameCodec.STORE_UNREACHABLE;
    }
    return heartbeat.acceptsReplication()
        ? FrameCodec.STORE_REACHABLE_AND_REPLICATES
        : FrameCodec.STORE_REACHABLE;
  }

  private void putStateUpdate(Frame.StateUpdate update) {
    buffer.put(FrameKind.STATE_UPDATE);
    buffer.putLong(update.id());
    putText(update.incarnation());
    buffer.putLong(update.revision());
    putCount(update.entries());
    for (Frame.StateEntry entry : update.entries()) {
      putText(entry.key());
      putBlob(entry.value());
    }
  }

  private void putStateUpdateAck(Frame.StateUpdateAck ack) {
    buffer.put(FrameKind.STATE_UPDATE_ACK);
    buffer.putLong(ack.id());
  }

  private void putKnowledgeRequest(Frame.KnowledgeRequest request) {
    buffer.put(FrameKind.KNOWLEDGE_REQUEST);
    buffer.putLong(request.id());
    putText(request.node());
    buffer.putLong(request.lossEpoch());
    buffer.putInt(request.part());
  }

  private void putJobAccepted(Frame.JobAccepted accepted) {
    buffer.put(FrameKind.JOB_ACCEPTED);
    putBlob(accepted.value());
  }

  private void putForwardedRequest(Frame.ForwardedRequest request) {
    buffer.put(FrameKind.FORWARDED_REQUEST);
    buffer.putLong(request.id());
    putEnum(request.kind());
    putText(request.ref());
  }

  private void putForwardedSubmission(Frame.ForwardedSubmission submission) {
    buffer.put(FrameKind.FORWARDED_SUBMISSION);
    buffer.putLong(submission.id());
    putBlob(submission.body());
  }

  private void putResponse(Frame.Response response) {
    buffer.put(FrameKind.RESPONSE);
    buffer.putLong(response.id());
    buffer.putShort((short) response.status());
    buffer.putShort((short) response.retryAfterS());
    putBlob(response.body());
  }

  private void putMachineViewUpdate(Frame.MachineViewUpdate update) {
    buffer.put(FrameKind.MACHINE_VIEW_UPDATE);
    buffer.putLong(update.epoch());
    putMachineView(update.view());
  }

  private void putImageInventoryUpdate(Frame.ImageInventoryUpdate update) {
    buffer.put(FrameKind.IMAGE_INVENTORY_UPDATE);
    buffer.putLong(update.epoch());
    putText(update.machine());
    putTexts(update.images());
  }

  private void putForwardedHeartbeat(Frame.ForwardedHeartbeat forwarded) {
    buffer.put(FrameKind.FORWARDED_HEARTBEAT);
    buffer.putLong(forwarded.id());
    putHeartbeat(forwarded.heartbeat());
  }

  private void putDelegateHeartbeat(Frame.DelegateHeartbeat heartbeat) {
    buffer.put(FrameKind.DELEGATE_HEARTBEAT);
    putText(heartbeat.node());
    buffer.putLong(heartbeat.seq());
    buffer.putLong(heartbeat.ack());
    buffer.putDouble(heartbeat.renewedAgoS());
  }

  private void putDelegateHeartbeatAck(Frame.DelegateHeartbeatAck ack) {
    buffer.put(FrameKind.DELEGATE_HEARTBEAT_ACK);
    buffer.putLong(ack.epoch());
    buffer.putLong(ack.seq());
    putFlag(ack.granted());
  }

  private void putMachineViewRemoval(Frame.MachineViewRemoval removal) {
    buffer.put(FrameKind.MACHINE_VIEW_REMOVAL);
    buffer.putLong(removal.epoch());
    putText(removal.machine());
  }

  private void putRestartProposals(Frame.RestartProposals proposals) {
    buffer.put(FrameKind.RESTART_PROPOSALS);
    putText(proposals.from());
    buffer.putLong(proposals.epoch());
    putCount(proposals.restarts());
    for (Restart restart : proposals.restarts()) {
      putText(restart.ref());
      buffer.putInt(restart.task());
      buffer.putLong(restart.attempt());
      putText(restart.target());
      buffer.putDouble(restart.gain());
    }
  }

  private void putHeartbeat(Heartbeat heartbeat) {
    putText(heartbeat.machine());
    putText(heartbeat.address());
    putText(heartbeat.type());
    putText(heartbeat.zone());
    putFlag(heartbeat.spot());
    buffer.putLong(heartbeat.agentEpoch());
    buffer.putLong(heartbeat.seq());
    buffer.putLong(heartbeat.token());
    buffer.putDouble(heartbeat.reclaimInS() == null ? ABSENT_SECONDS : heartbeat.reclaimInS());
    putCount(heartbeat.tasks());
    heartbeat.tasks().forEach(this::putTaskStatus);
  }

  private void putTaskStatus(TaskStatus task) {
    putText(task.ref());
    buffer.putInt(task.task());
    buffer.putLong(task.attempt());
    putEnum(task.state());
    putOptionalEnum(task.cause());
    putFlag(task.saved());
  }

  private void putMachineView(MachineView view) {
    putText(view.machine());
    putText(view.type());
    putText(view.zone());
    putFlag(view.spot());
    buffer.putInt(view.cores());
    buffer.putDouble(view.pricePerS());
    putFlag(view.usable());
    buffer.putDouble(view.freeCpus());
    buffer.putDouble(view.freeGpus());
    buffer.putDouble(view.freeMemGb());
    buffer.putInt(view.busyTasks());
    putCount(view.ratios());
    view.ratios().forEach(buffer::putDouble);
    putCount(view.tasks());
    view.tasks().forEach(this::putTaskView);
  }

  private void putTaskView(TaskView task) {
    putText(task.ref());
    buffer.putInt(task.task());
    buffer.putLong(task.attempt());
    buffer.putDouble(task.elapsedS());
    buffer.putDouble(task.jobMeanS());
    buffer.putDouble(task.cpus());
    buffer.putDouble(task.gpus());
    buffer.putDouble(task.memGb());
    putFlag(task.spotAllowed());
    putText(task.zone());
    putFlag(task.types() != null);
    if (task.types() != null) {
      putTexts(task.types());
    }
  }

  /** Writes an enum constant as its ordinal. */
  @SuppressWarnings("EnumOrdinal") // The ordinal is the encoding; constants are only appended.
  private void putEnum(Enum<?> value) {
    buffer.put((byte) value.ordinal());
  }

  /** Writes an enum constant as its ordinal, or -1 for null. */
  @SuppressWarnings("EnumOrdinal") // The ordinal is the encoding; constants are only appended.
  private void putOptionalEnum(Enum<?> value) {
    buffer.put(value == null ? ABSENT_ENUM : (byte) value.ordinal());
  }

  private void putFlag(boolean value) {
    buffer.put((byte) (value ? 1 : 0));
  }

  private void putCount(List<?> list) {
    buffer.putShort((short) list.size());
  }

  private void putTexts(List<String> texts) {
    putCount(texts);
    texts.forEach(this::putText);
  }

  /** Writes a string; null has the length {@link FrameCodec#MAX_COUNT} and no bytes. */
  private void putText(String text) {
    if (text == null) {
      buffer.putShort((short) FrameCodec.MAX_COUNT);
      return;
    }
    byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
    if (utf8.length >= FrameCodec.MAX_COUNT) {
      throw new IllegalArgumentException("string too long for a frame");
    }
    buffer.putShort((short) utf8.length);
    buffer.put(utf8);
  }

  private void putBlob(byte[] bytes) {
    buffer.putInt(bytes.length);
    buffer.put(bytes);
  }
}
