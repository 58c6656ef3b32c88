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
  public final List<String> startedAttempts = new ArrayList<>();

  public final List<String> reapedAttempts = new ArrayList<>();
  public long epoch = 1;
  public long sequence;
  public long fencingToken;
  public Double reclaimNoticeS;

  /** Neither reports leave nor commands arrive. */
  public boolean partitioned;

  /** It takes connections, and neither answers nor reports. */
  public boolean hung;

  /**
   * Its heartbeats arrive; answers and commands do not reach it, so it goes on to the next
   * controller.
   */
  public boolean inboundPartitioned;

  /** It reaches no controller; direct commands reach it. */
  public boolean outboundPartitioned;

  /** Commands that reached it while it hung; it carries them out once it goes on. */
  private final List<byte[]> queuedCommands = new ArrayList<>();

  /** Are told of each start that is carried out, and of each end with its cause. */
  Consumer<String> startListener = t -> {};

  BiConsumer<String, String> exitListener = (t, cause) -> {};

  /** Is told of each task that is no longer on the machine, however it ended. */
  Consumer<String> removalListener = t -> {};

  double nextHeartbeatAt;

  /** Starts that were sent to it while it was unreachable. */
  public int lostStartCount;

  /** Every task that starts fails at once. */
  public boolean failsTasks;

  double lastRenewed;

  /** The controller that it reports to, and how often it went to another. */
  public int controllerIndex;

  public int controllerChanges;

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
  public TreeSet<String> runningTasks() {
    TreeSet<String> out = new TreeSet<>();
    tasks.forEach(
        (k, t) -> {
          if (!t.phase.equals("exited")) {
            out.add(k);
          }
        });
    return out;
  }

  public boolean hasTask(String task) {
    return tasks.containsKey(task);
  }

  public void exitTask(String task, String cause) {
    tasks.get(task).phase = "exited";
    tasks.get(task).cause = cause;
    exitListener.accept(task, cause);
    removalListener.accept(task);
  }

  private void killAll() {
    runningTasks().forEach(removalListener);
    tasks.clear();
  }

  /** A command reaches it while it hangs. */
  void queueCommands(byte[] direct) {
    queuedCommands.add(direct);
  }

  /** It goes on, and first carries out what has reached it meanwhile. */
  public void resume() {
    hung = false;
    queuedCommands.forEach(this::executeCommands);
    queuedCommands.clear();
  }

  /** The cloud has deleted it, with all that was on it and on its way to it. */
  void delete() {
    killAll();
    queuedCommands.clear();
    fencingToken = Long.MAX_VALUE;
  }

  void expireLease(double now) {
    killAll();
    epoch++;
    sequence = 0;
    lastRenewed = now;
  }

  /** Back at once without its tasks; {@code anew}: as if it had never been there. */
  public void restart(boolean anew) {
    killAll();
    if (anew) {
      epoch = 1;
      sequence = 0;
      fencingToken = 0;
    }
  }

  public byte[] heartbeat() {
    sequence++;
    ObjectNode o = Json.object();
    o.put("hearth", name)
        .put("address", address)
        .put("flavor", type)
        .put("room", zone)
        .put("loaner", spot);
    o.put("tenure", epoch).put("tick", sequence).put("baton", fencingToken);
    if (reclaimNoticeS != null) {
      o.put("recall_s", reclaimNoticeS);
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
  boolean handleHeartbeatResponse(byte[] body) {
    ObjectNode o = Json.parseObject(body);
    long given = o.path("baton").asLong(-1);
    if (given < fencingToken) {
      return false;
    }
    fencingToken = given;
    execute(o.get("orders"));
    return true;
  }

  /** POST /do. */
  public HttpReply executeCommands(byte[] body) {
    ObjectNode o = Json.parseObject(body);
    if (o.get("baton").asLong() < fencingToken || o.get("tenure").asLong() != epoch) {
      return new HttpReply(409, heartbeat());
    }
    fencingToken = o.get("baton").asLong();
    execute(o.get("orders"));
    return new HttpReply(200, heartbeat());
  }

  private void execute(JsonNode orders) {
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
            startedAttempts.add(task + "#" + attempt);
            startListener.accept(task);
            if (failsTasks) {
              n.phase = "exited";
              n.cause = "error";
              removalListener.accept(task);
            }
          }
        }
        case "stop" -> {
          if (t != null && t.attempt == attempt && !t.phase.equals("exited")) {
            t.phase = "exited";
            t.cause = "halted";
            removalListener.accept(task);
          }
        }
        default -> {
          if (t != null && t.attempt == attempt && t.phase.equals("exited")) {
            tasks.remove(task);
            reapedAttempts.add(task + "#" + attempt);
          }
        }
      }
    }
  }
}
