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

  private static byte[] encode(Frame frame, ByteBuffer b) {
    b.position(4);
    b.put(VERSION);
    if (frame instanceof Frame.PeerHeartbeat f) {
      b.put(BEAT);
      text(b, f.node());
      text(b, f.leader());
      b.putLong(f.leaderEpoch());
      flag(b, f.storeReachable());
    } else if (frame instanceof Frame.JobAccepted f) {
      b.put(JOB_CREATED);
      blob(b, f.value());
    } else if (frame instanceof Frame.ForwardedRequest f) {
      b.put(ASK).putLong(f.id()).put((byte) f.what().ordinal());
      text(b, f.ref());
    } else if (frame instanceof Frame.ForwardedSubmission f) {
      b.put(SUBMIT).putLong(f.id());
      blob(b, f.body());
    } else if (frame instanceof Frame.Response f) {
      b.put(TOLD).putLong(f.id()).putShort((short) f.status()).putShort((short) f.retryAfterS());
      blob(b, f.body());
    } else if (frame instanceof Frame.MachineViewUpdate f) {
      b.put(VIEW).putLong(f.epoch());
      view(b, f.view());
    } else if (frame instanceof Frame.ImageInventoryUpdate f) {
      b.put(IMAGES).putLong(f.epoch());
      text(b, f.machine());
      texts(b, f.images());
    } else if (frame instanceof Frame.ForwardedHeartbeat f) {
      b.put(HEARTBEAT).putLong(f.id());
      heartbeat(b, f.heartbeat());
    } else if (frame instanceof Frame.DelegateHeartbeat f) {
      b.put(HERE);
      text(b, f.node());
      b.putLong(f.seq()).putLong(f.ack()).putDouble(f.renewedAgoS());
    } else if (frame instanceof Frame.DelegateHeartbeatAck f) {
      b.put(NOTED).putLong(f.epoch()).putLong(f.seq());
      flag(b, f.granted());
    } else if (frame instanceof Frame.MachineViewRemoval f) {
      b.put(FORGET).putLong(f.epoch());
      text(b, f.machine());
    } else if (frame instanceof Frame.RestartProposals f) {
      b.put(PROPOSE);
      text(b, f.from());
      b.putLong(f.epoch()).putShort((short) f.restarts().size());
      for (Restart r : f.restarts()) {
        text(b, r.ref());
        b.putInt(r.task()).putLong(r.attempt());
        text(b, r.target());
        b.putDouble(r.gain());
      }
    }
    b.putInt(0, b.position() - 4);
    byte[] out = new byte[b.position()];
    b.flip();
    b.get(out);
    return out;
  }

  /** Reads a frame from what follows its length. */
  public static Frame decode(ByteBuffer b) {
    try {
      byte version = b.get();
      if (version != VERSION) {
        throw new MalformedInputException("frame version " + version);
      }
      byte kind = b.get();
      Frame frame =
          switch (kind) {
            case BEAT -> new Frame.PeerHeartbeat(text(b), text(b), b.getLong(), flag(b));
            case JOB_CREATED -> new Frame.JobAccepted(blob(b));
            case ASK ->
                new Frame.ForwardedRequest(
                    b.getLong(), one(Frame.ForwardedRequest.Kind.values(), b.get()), text(b));
            case SUBMIT -> new Frame.ForwardedSubmission(b.getLong(), blob(b));
            case TOLD -> new Frame.Response(b.getLong(), b.getShort(), b.getShort(), blob(b));
            case VIEW -> new Frame.MachineViewUpdate(b.getLong(), view(b));
            case HERE ->
                new Frame.DelegateHeartbeat(text(b), b.getLong(), b.getLong(), b.getDouble());
            case NOTED -> new Frame.DelegateHeartbeatAck(b.getLong(), b.getLong(), flag(b));
            case HEARTBEAT -> new Frame.ForwardedHeartbeat(b.getLong(), heartbeat(b));
            case IMAGES -> new Frame.ImageInventoryUpdate(b.getLong(), text(b), texts(b));
            case FORGET -> new Frame.MachineViewRemoval(b.getLong(), text(b));
            case PROPOSE -> new Frame.RestartProposals(text(b), b.getLong(), restarts(b));
            default -> throw new MalformedInputException("frame kind " + kind);
          };
      if (b.hasRemaining()) {
        throw new MalformedInputException("frame has " + b.remaining() + " bytes too many");
      }
      return frame;
    } catch (BufferUnderflowException e) {
      throw new MalformedInputException("frame is cut short");
    }
  }

  private static void heartbeat(ByteBuffer b, Heartbeat heartbeat) {
    text(b, heartbeat.machine());
    text(b, heartbeat.address());
    text(b, heartbeat.type());
    text(b, heartbeat.zone());
    flag(b, heartbeat.spot());
    b.putLong(heartbeat.agentEpoch()).putLong(heartbeat.seq()).putLong(heartbeat.token());
    b.putDouble(heartbeat.reclaimInS() == null ? -1 : heartbeat.reclaimInS());
    b.putShort((short) heartbeat.tasks().size());
    for (TaskStatus t : heartbeat.tasks()) {
      text(b, t.ref());
      b.putInt(t.task()).putLong(t.attempt()).put((byte) t.state().ordinal());
      b.put((byte) (t.cause() == null ? -1 : t.cause().ordinal()));
      flag(b, t.saved());
    }
  }

  private static Heartbeat heartbeat(ByteBuffer b) {
    String machine = text(b);
    String address = text(b);
    String type = text(b);
    String zone = text(b);
    boolean spot = flag(b);
    long session = b.getLong();
    long seq = b.getLong();
    long token = b.getLong();
    double recall = b.getDouble();
    List<TaskStatus> tasks = new ArrayList<>();
    for (int n = b.getShort() & MAX_COUNT; n > 0; n--) {
      tasks.add(
          new TaskStatus(
              text(b),
              b.getInt(),
              b.getLong(),
              one(TaskState.values(), b.get()),
              cause(b.get()),
              flag(b)));
    }
    return new Heartbeat(
        machine, address, type, zone, spot, session, seq, token, recall < 0 ? null : recall, tasks);
  }

  private static ExitCause cause(byte b) {
    return b < 0 ? null : one(ExitCause.values(), b);
  }

  private static <T> T one(T[] all, byte b) {
    if (b < 0 || b >= all.length) {
      throw new MalformedInputException("unknown value " + b);
    }
    return all[b];
  }

  private static List<Restart> restarts(ByteBuffer b) {
    List<Restart> out = new ArrayList<>();
    for (int n = b.getShort() & MAX_COUNT; n > 0; n--) {
      out.add(new Restart(text(b), b.getInt(), b.getLong(), text(b), b.getDouble()));
    }
    return out;
  }

  private static void view(ByteBuffer b, MachineView v) {
    text(b, v.machine());
    text(b, v.type());
    text(b, v.zone());
    flag(b, v.spot());
    b.putInt(v.cores()).putDouble(v.pricePerS());
    flag(b, v.usable());
    b.putDouble(v.freeCpus())
        .putDouble(v.freeGpus())
        .putDouble(v.freeMemGb())
        .putInt(v.busyTasks());
    b.putShort((short) v.ratios().size());
    v.ratios().forEach(b::putDouble);
    b.putShort((short) v.tasks().size());
    for (TaskView t : v.tasks()) {
      text(b, t.ref());
      b.putInt(t.task()).putLong(t.attempt()).putDouble(t.elapsedS()).putDouble(t.jobMeanS());
      b.putDouble(t.cpus()).putDouble(t.gpus()).putDouble(t.memGb());
      flag(b, t.spotAllowed());
      text(b, t.zone());
      flag(b, t.types() != null);
      if (t.types() != null) {
        texts(b, t.types());
      }
    }
  }

  private static MachineView view(ByteBuffer b) {
    String machine = text(b);
    String type = text(b);
    String zone = text(b);
    boolean spot = flag(b);
    int cores = b.getInt();
    double price = b.getDouble();
    boolean usable = flag(b);
    double cpus = b.getDouble();
    double gpus = b.getDouble();
    double mem = b.getDouble();
    int busy = b.getInt();
    List<Double> ratios = new ArrayList<>();
    for (int n = b.getShort() & MAX_COUNT; n > 0; n--) {
      ratios.add(b.getDouble());
    }
    List<TaskView> tasks = new ArrayList<>();
    for (int n = b.getShort() & MAX_COUNT; n > 0; n--) {
      tasks.add(
          new TaskView(
              text(b),
              b.getInt(),
              b.getLong(),
              b.getDouble(),
              b.getDouble(),
              b.getDouble(),
              b.getDouble(),
              b.getDouble(),
              flag(b),
              text(b),
              types(b)));
    }
    return new MachineView(
        machine, type, zone, spot, cores, price, usable, cpus, gpus, mem, busy, ratios, tasks);
  }

  private static List<String> types(ByteBuffer b) {
    return flag(b) ? texts(b) : null;
  }

  private static void texts(ByteBuffer b, List<String> all) {
    b.putShort((short) all.size());
    all.forEach(s -> text(b, s));
  }

  private static List<String> texts(ByteBuffer b) {
    List<String> out = new ArrayList<>();
    for (int n = b.getShort() & MAX_COUNT; n > 0; n--) {
      out.add(text(b));
    }
    return out;
  }

  private static void flag(ByteBuffer b, boolean v) {
    b.put((byte) (v ? 1 : 0));
  }

  private static boolean flag(ByteBuffer b) {
    return b.get() != 0;
  }

  /** A string or null: null has a length of all ones. */
  private static void text(ByteBuffer b, String s) {
    if (s == null) {
      b.putShort((short) -1);
      return;
    }
    byte[] utf = s.getBytes(StandardCharsets.UTF_8);
    if (utf.length >= MAX_COUNT) {
      throw new IllegalArgumentException("string too long for a frame");
    }
    b.putShort((short) utf.length).put(utf);
  }

  private static String text(ByteBuffer b) {
    int n = b.getShort() & MAX_COUNT;
    if (n == MAX_COUNT) {
      return null;
    }
    if (n > b.remaining()) {
      throw new MalformedInputException("frame is cut short");
    }
    byte[] utf = new byte[n];
    b.get(utf);
    return new String(utf, StandardCharsets.UTF_8);
  }

  private static void blob(ByteBuffer b, byte[] v) {
    b.putInt(v.length).put(v);
  }

  private static byte[] blob(ByteBuffer b) {
    int n = b.getInt();
    if (n < 0 || n > b.remaining()) {
      throw new MalformedInputException("frame is cut short");
    }
    byte[] out = new byte[n];
    b.get(out);
    return out;
  }
}
