package io.embernotch.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpReply;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A worker of PROTOCOL: keeps the highest token, obeys orders, and kills all when its lease ends.
 */
public final class FakeWorker {
  private static final class Task {
    long attempt;
    String phase = "running";
    String cause;
  }

  /** What every machine of the world has. */
  public static final double CPUS = 48;

  public static final double GPUS = 8;

  public final String name;
  public final String type;
  public final String zone;
  public final boolean spot;
  public final String address;
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  /** Every start that was carried out, as JOB/TASK#TRY. */
  public final List<String> started = new ArrayList<>();

  public final List<String> reaped = new ArrayList<>();
  public long session = 1;
  public long seq;
  public long token;
  public Double recallS;

  /** Neither reports leave nor commands arrive. */
  public boolean cut;

  /** It takes connections, and neither answers nor reports. */
  public boolean hung;

  /**
   * Its heartbeats arrive; answers and commands do not reach it, so it goes on to the next
   * controller.
   */
  public boolean deaf;

  /** It reaches no controller; direct commands reach it. */
  public boolean mute;

  /** Commands that reached it while it hung; it carries them out once it goes on. */
  private final List<byte[]> queued = new ArrayList<>();

  /** Are told of each start that is carried out, and of each end with its cause. */
  Consumer<String> onStart = t -> {};

  BiConsumer<String, String> onExit = (t, cause) -> {};

  /** Is told of each task that is no longer on the machine, however it ended. */
  Consumer<String> onLeave = t -> {};

  double heartbeatsAgainAt;

  /** Starts that were sent to it while it was unreachable. */
  public int startsLost;

  /** Every task that starts fails at once. */
  public boolean sick;

  double lastRenewed;

  /** The controller that it reports to, and how often it went to another. */
  public int node;

  public int moves;

  public FakeWorker(
      String name, String type, String zone, boolean spot, String address, double now) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.address = address;
    this.lastRenewed = now;
  }

  /** Task names that are on the machine and have not exited. */
  public TreeSet<String> alive() {
    TreeSet<String> out = new TreeSet<>();
    tasks.forEach(
        (k, t) -> {
          if (!t.phase.equals("exited")) {
            out.add(k);
          }
        });
    return out;
  }

  public boolean holds(String task) {
    return tasks.containsKey(task);
  }

  public void exit(String task, String cause) {
    tasks.get(task).phase = "exited";
    tasks.get(task).cause = cause;
    onExit.accept(task, cause);
    onLeave.accept(task);
  }

  private void killAll() {
    alive().forEach(onLeave);
    tasks.clear();
  }

  /** A command reaches it while it hangs. */
  void queue(byte[] direct) {
    queued.add(direct);
  }

  /** It goes on, and first carries out what has reached it meanwhile. */
  public void goOn() {
    hung = false;
    queued.forEach(this::direct);
    queued.clear();
  }

  /** The cloud has deleted it, with all that was on it and on its way to it. */
  void delete() {
    killAll();
    queued.clear();
    token = Long.MAX_VALUE;
  }

  void endSession(double now) {
    killAll();
    session++;
    seq = 0;
    lastRenewed = now;
  }

  /** Back at once without its tasks; {@code anew}: as if it had never been there. */
  public void back(boolean anew) {
    killAll();
    if (anew) {
      session = 1;
      seq = 0;
      token = 0;
    }
  }

  public byte[] heartbeat() {
    seq++;
    ObjectNode o = Json.object();
    o.put("hearth", name)
        .put("address", address)
        .put("flavor", type)
        .put("room", zone)
        .put("loaner", spot);
    o.put("tenure", session).put("tick", seq).put("baton", token);
    if (recallS != null) {
      o.put("recall_s", recallS);
    }
    ArrayNode list = o.putArray("shards");
    tasks.forEach(
        (k, t) -> {
          ObjectNode n =
              list.addObject().put("shard", k).put("try", t.attempt).put("phase", t.phase);
          if (t.cause != null) {
            n.put("cause", t.cause);
          }
        });
    return Json.bytes(o);
  }

  /** Takes the answer to a heartbeat; true if it renews the lease. */
  boolean answer(byte[] body) {
    ObjectNode o = Json.parseObject(body);
    long given = o.path("baton").asLong(-1);
    if (given < token) {
      return false;
    }
    token = given;
    obey(o.get("orders"));
    return true;
  }

  /** POST /do. */
  public HttpReply direct(byte[] body) {
    ObjectNode o = Json.parseObject(body);
    if (o.get("baton").asLong() < token || o.get("tenure").asLong() != session) {
      return new HttpReply(409, heartbeat());
    }
    token = o.get("baton").asLong();
    obey(o.get("orders"));
    return new HttpReply(200, heartbeat());
  }

  private void obey(JsonNode orders) {
    for (JsonNode c : orders) {
      String task = c.get("shard").asText();
      long attempt = c.get("try").asLong();
      Task t = tasks.get(task);
      switch (c.get("verb").asText()) {
        case "run" -> {
          if (t == null || t.attempt != attempt) {
            Task n = new Task();
            n.attempt = attempt;
            if (t != null && !t.phase.equals("exited")) {
              continue;
            }
            tasks.put(task, n);
            started.add(task + "#" + attempt);
            onStart.accept(task);
            if (sick) {
              n.phase = "exited";
              n.cause = "error";
              onLeave.accept(task);
            }
          }
        }
        case "stop" -> {
          if (t != null && t.attempt == attempt && !t.phase.equals("exited")) {
            t.phase = "exited";
            t.cause = "halted";
            onLeave.accept(task);
          }
        }
        default -> {
          if (t != null && t.attempt == attempt && t.phase.equals("exited")) {
            tasks.remove(task);
            reaped.add(task + "#" + attempt);
          }
        }
      }
    }
  }
}
