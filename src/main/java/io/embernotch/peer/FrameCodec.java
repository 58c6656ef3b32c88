package io.embernotch.peer;

import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.TaskState;
import io.embernotch.model.TaskStatus;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.MachineView.TaskView;
import io.embernotch.straggler.Restart;
import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Frames by hand: four bytes of length, one of version, one of kind, then the fields. Numbers are
 * big-endian, strings have two bytes of length, blobs four.
 */
public final class FrameCodec {
  public static final byte VERSION = 1;
  public static final int MAX_FRAME = 256 * 1024;
  private static final int MAX_COUNT = 0xFFFF;

  private static final byte BEAT = 1;
  private static final byte JOB_CREATED = 2;
  private static final byte ASK = 3;
  private static final byte TOLD = 4;
  private static final byte VIEW = 5;
  private static final byte FORGET = 6;
  private static final byte PROPOSE = 7;
  private static final byte SUBMIT = 8;
  private static final byte IMAGES = 9;
  private static final byte HEARTBEAT = 10;
  private static final byte HERE = 11;
  private static final byte NOTED = 12;

  private FrameCodec() {}

  /** The whole frame, its length included. */
  public static byte[] encode(Frame frame) {
    for (int size = 512; ; size *= 4) {
      try {
        return encode(frame, ByteBuffer.allocate(Math.min(size, MAX_FRAME + 4)));
      } catch (BufferOverflowException e) {
        if (size > MAX_FRAME) {
          throw new IllegalArgumentException("frame exceeds " + MAX_FRAME + " bytes");
        }
      }
    }
  }

  private static byte[] encode(Frame frame, ByteBuffer buffer) {
    buffer.position(4);
    buffer.put(VERSION);
    if (frame instanceof Frame.PeerHeartbeat message) {
      buffer.put(BEAT);
      text(buffer, message.node());
      text(buffer, message.leader());
      buffer.putLong(message.leaderEpoch());
      flag(buffer, message.storeReachable());
    } else if (frame instanceof Frame.JobAccepted message) {
      buffer.put(JOB_CREATED);
      blob(buffer, message.value());
    } else if (frame instanceof Frame.ForwardedRequest message) {
      buffer.put(ASK).putLong(message.id()).put((byte) message.kind().ordinal());
      text(buffer, message.ref());
    } else if (frame instanceof Frame.ForwardedSubmission message) {
      buffer.put(SUBMIT).putLong(message.id());
      blob(buffer, message.body());
    } else if (frame instanceof Frame.Response message) {
      buffer
          .put(TOLD)
          .putLong(message.id())
          .putShort((short) message.status())
          .putShort((short) message.retryAfterS());
      blob(buffer, message.body());
    } else if (frame instanceof Frame.MachineViewUpdate message) {
      buffer.put(VIEW).putLong(message.epoch());
      view(buffer, message.view());
    } else if (frame instanceof Frame.ImageInventoryUpdate message) {
      buffer.put(IMAGES).putLong(message.epoch());
      text(buffer, message.machine());
      texts(buffer, message.images());
    } else if (frame instanceof Frame.ForwardedHeartbeat message) {
      buffer.put(HEARTBEAT).putLong(message.id());
      heartbeat(buffer, message.heartbeat());
    } else if (frame instanceof Frame.DelegateHeartbeat message) {
      buffer.put(HERE);
      text(buffer, message.node());
      buffer.putLong(message.seq()).putLong(message.ack()).putDouble(message.renewedAgoS());
    } else if (frame instanceof Frame.DelegateHeartbeatAck message) {
      buffer.put(NOTED).putLong(message.epoch()).putLong(message.seq());
      flag(buffer, message.granted());
    } else if (frame instanceof Frame.MachineViewRemoval message) {
      buffer.put(FORGET).putLong(message.epoch());
      text(buffer, message.machine());
    } else if (frame instanceof Frame.RestartProposals message) {
      buffer.put(PROPOSE);
      text(buffer, message.from());
      buffer.putLong(message.epoch()).putShort((short) message.restarts().size());
      for (Restart r : message.restarts()) {
        text(buffer, r.ref());
        buffer.putInt(r.task()).putLong(r.attempt());
        text(buffer, r.target());
        buffer.putDouble(r.gain());
      }
    }
    buffer.putInt(0, buffer.position() - 4);
    byte[] out = new byte[buffer.position()];
    buffer.flip();
    buffer.get(out);
    return out;
  }

  /** Reads a frame from what follows its length. */
  public static Frame decode(ByteBuffer buffer) {
    try {
      byte version = buffer.get();
      if (version != VERSION) {
        throw new MalformedInputException("frame version " + version);
      }
      byte kind = buffer.get();
      Frame frame =
          switch (kind) {
            case BEAT ->
                new Frame.PeerHeartbeat(text(buffer), text(buffer), buffer.getLong(), flag(buffer));
            case JOB_CREATED -> new Frame.JobAccepted(blob(buffer));
            case ASK ->
                new Frame.ForwardedRequest(
                    buffer.getLong(),
                    one(Frame.ForwardedRequest.Kind.values(), buffer.get()),
                    text(buffer));
            case SUBMIT -> new Frame.ForwardedSubmission(buffer.getLong(), blob(buffer));
            case TOLD ->
                new Frame.Response(
                    buffer.getLong(), buffer.getShort(), buffer.getShort(), blob(buffer));
            case VIEW -> new Frame.MachineViewUpdate(buffer.getLong(), view(buffer));
            case HERE ->
                new Frame.DelegateHeartbeat(
                    text(buffer), buffer.getLong(), buffer.getLong(), buffer.getDouble());
            case NOTED ->
                new Frame.DelegateHeartbeatAck(buffer.getLong(), buffer.getLong(), flag(buffer));
            case HEARTBEAT -> new Frame.ForwardedHeartbeat(buffer.getLong(), heartbeat(buffer));
            case IMAGES ->
                new Frame.ImageInventoryUpdate(buffer.getLong(), text(buffer), texts(buffer));
            case FORGET -> new Frame.MachineViewRemoval(buffer.getLong(), text(buffer));
            case PROPOSE ->
                new Frame.RestartProposals(text(buffer), buffer.getLong(), restarts(buffer));
            default -> throw new MalformedInputException("frame kind " + kind);
          };
      if (buffer.hasRemaining()) {
        throw new MalformedInputException("frame has " + buffer.remaining() + " bytes too many");
      }
      return frame;
    } catch (BufferUnderflowException e) {
      throw new MalformedInputException("frame is cut short");
    }
  }

  private static void heartbeat(ByteBuffer buffer, Heartbeat heartbeat) {
    text(buffer, heartbeat.machine());
    text(buffer, heartbeat.address());
    text(buffer, heartbeat.type());
    text(buffer, heartbeat.zone());
    flag(buffer, heartbeat.spot());
    buffer.putLong(heartbeat.agentEpoch()).putLong(heartbeat.seq()).putLong(heartbeat.token());
    buffer.putDouble(heartbeat.reclaimInS() == null ? -1 : heartbeat.reclaimInS());
    buffer.putShort((short) heartbeat.tasks().size());
    for (TaskStatus t : heartbeat.tasks()) {
      text(buffer, t.ref());
      buffer.putInt(t.task()).putLong(t.attempt()).put((byte) t.state().ordinal());
      buffer.put((byte) (t.cause() == null ? -1 : t.cause().ordinal()));
      flag(buffer, t.saved());
    }
  }

  private static Heartbeat heartbeat(ByteBuffer buffer) {
    String machine = text(buffer);
    String address = text(buffer);
    String type = text(buffer);
    String zone = text(buffer);
    boolean spot = flag(buffer);
    long session = buffer.getLong();
    long seq = buffer.getLong();
    long token = buffer.getLong();
    double recall = buffer.getDouble();
    List<TaskStatus> tasks = new ArrayList<>();
    for (int n = buffer.getShort() & MAX_COUNT; n > 0; n--) {
      tasks.add(
          new TaskStatus(
              text(buffer),
              buffer.getInt(),
              buffer.getLong(),
              one(TaskState.values(), buffer.get()),
              cause(buffer.get()),
              flag(buffer)));
    }
    return new Heartbeat(
        machine, address, type, zone, spot, session, seq, token, recall < 0 ? null : recall, tasks);
  }

  private static ExitCause cause(byte buffer) {
    return buffer < 0 ? null : one(ExitCause.values(), buffer);
  }

  private static <T> T one(T[] all, byte buffer) {
    if (buffer < 0 || buffer >= all.length) {
      throw new MalformedInputException("unknown value " + buffer);
    }
    return all[buffer];
  }

  private static List<Restart> restarts(ByteBuffer buffer) {
    List<Restart> out = new ArrayList<>();
    for (int n = buffer.getShort() & MAX_COUNT; n > 0; n--) {
      out.add(
          new Restart(
              text(buffer), buffer.getInt(), buffer.getLong(), text(buffer), buffer.getDouble()));
    }
    return out;
  }

  private static void view(ByteBuffer buffer, MachineView view) {
    text(buffer, view.machine());
    text(buffer, view.type());
    text(buffer, view.zone());
    flag(buffer, view.spot());
    buffer.putInt(view.cores()).putDouble(view.pricePerS());
    flag(buffer, view.usable());
    buffer
        .putDouble(view.freeCpus())
        .putDouble(view.freeGpus())
        .putDouble(view.freeMemGb())
        .putInt(view.busyTasks());
    buffer.putShort((short) view.ratios().size());
    view.ratios().forEach(buffer::putDouble);
    buffer.putShort((short) view.tasks().size());
    for (TaskView t : view.tasks()) {
      text(buffer, t.ref());
      buffer.putInt(t.task()).putLong(t.attempt()).putDouble(t.elapsedS()).putDouble(t.jobMeanS());
      buffer.putDouble(t.cpus()).putDouble(t.gpus()).putDouble(t.memGb());
      flag(buffer, t.spotAllowed());
      text(buffer, t.zone());
      flag(buffer, t.types() != null);
      if (t.types() != null) {
        texts(buffer, t.types());
      }
    }
  }

  private static MachineView view(ByteBuffer buffer) {
    String machine = text(buffer);
    String type = text(buffer);
    String zone = text(buffer);
    boolean spot = flag(buffer);
    int cores = buffer.getInt();
    double price = buffer.getDouble();
    boolean usable = flag(buffer);
    double cpus = buffer.getDouble();
    double gpus = buffer.getDouble();
    double mem = buffer.getDouble();
    int busy = buffer.getInt();
    List<Double> ratios = new ArrayList<>();
    for (int n = buffer.getShort() & MAX_COUNT; n > 0; n--) {
      ratios.add(buffer.getDouble());
    }
    List<TaskView> tasks = new ArrayList<>();
    for (int n = buffer.getShort() & MAX_COUNT; n > 0; n--) {
      tasks.add(
          new TaskView(
              text(buffer),
              buffer.getInt(),
              buffer.getLong(),
              buffer.getDouble(),
              buffer.getDouble(),
              buffer.getDouble(),
              buffer.getDouble(),
              buffer.getDouble(),
              flag(buffer),
              text(buffer),
              types(buffer)));
    }
    return new MachineView(
        machine, type, zone, spot, cores, price, usable, cpus, gpus, mem, busy, ratios, tasks);
  }

  private static List<String> types(ByteBuffer buffer) {
    return flag(buffer) ? texts(buffer) : null;
  }

  private static void texts(ByteBuffer buffer, List<String> all) {
    buffer.putShort((short) all.size());
    all.forEach(s -> text(buffer, s));
  }

  private static List<String> texts(ByteBuffer buffer) {
    List<String> out = new ArrayList<>();
    for (int n = buffer.getShort() & MAX_COUNT; n > 0; n--) {
      out.add(text(buffer));
    }
    return out;
  }

  private static void flag(ByteBuffer buffer, boolean view) {
    buffer.put((byte) (view ? 1 : 0));
  }

  private static boolean flag(ByteBuffer buffer) {
    return buffer.get() != 0;
  }

  /** A string or null: null has a length of all ones. */
  private static void text(ByteBuffer buffer, String s) {
    if (s == null) {
      buffer.putShort((short) -1);
      return;
    }
    byte[] utf = s.getBytes(StandardCharsets.UTF_8);
    if (utf.length >= MAX_COUNT) {
      throw new IllegalArgumentException("string too long for a frame");
    }
    buffer.putShort((short) utf.length).put(utf);
  }

  private static String text(ByteBuffer buffer) {
    int n = buffer.getShort() & MAX_COUNT;
    if (n == MAX_COUNT) {
      return null;
    }
    if (n > buffer.remaining()) {
      throw new MalformedInputException("frame is cut short");
    }
    byte[] utf = new byte[n];
    buffer.get(utf);
    return new String(utf, StandardCharsets.UTF_8);
  }

  private static void blob(ByteBuffer buffer, byte[] view) {
    buffer.putInt(view.length).put(view);
  }

  private static byte[] blob(ByteBuffer buffer) {
    int n = buffer.getInt();
    if (n < 0 || n > buffer.remaining()) {
      throw new MalformedInputException("frame is cut short");
    }
    byte[] out = new byte[n];
    buffer.get(out);
    return out;
  }
}
