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
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * A worker of PROTOCOL: keeps the highest fencing token, executes commands, and kills its tasks
 * when its lease expires.
 */
public final class FakeWorker {
  /** What every machine of the cluster has. */
  public static final double CPUS = 48;

  public static final double GPUS = 8;

  private static final String RUNNING = "running";
  private static final String EXITED = "exited";

  /** One attempt of a task; it stays after its exit until a controller has it reaped. */
  private static final class Task {
    final long attempt;
    String phase = RUNNING;
    String cause;

    Task(long attempt) {
      this.attempt = attempt;
    }

    boolean hasExited() {
      return phase.equals(EXITED);
    }

    void exit(String exitCause) {
      phase = EXITED;
      cause = exitCause;
    }
  }

  public final String name;
  public final String type;
  public final String zone;
  public final boolean spot;
  public final String address;
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  /** Every start that was carried out, as JOB/TASK#ATTEMPT. */
  public final List<String> startedAttempts = new ArrayList<>();

  /** Every exited attempt that was removed on command, as JOB/TASK#ATTEMPT. */
  public final List<String> reapedAttempts = new ArrayList<>();

  /** The agent's epoch; its heartbeats are numbered anew in each. */
  public long epoch = 1;

  /** Number of the last heartbeat in this epoch. */
  public long sequence;

  /** The highest fencing token that it was shown. */
  public long fencingToken;

  /** Seconds until the cloud reclaims this spot machine; null if it has not announced that. */
  public Double reclaimNoticeS;

  /** Neither heartbeats leave nor commands arrive. */
  public boolean partitioned;

  /** It takes connections, and neither answers nor sends heartbeats. */
  public boolean hung;

  /**
   * Its heartbeats arrive; responses and commands do not reach it, so it goes on to the next
   * controller.
   */
  public boolean inboundPartitioned;

  /**
   * Responses to its heartbeats arrive so many seconds after the heartbeat; until then it sends no
   * other.
   */
  public double heartbeatResponseDelayS;

  /** It reaches no controller; direct commands reach it. */
  public boolean outboundPartitioned;

  /** Every task that starts fails at once. */
  public boolean failsTasks;

  /** Commands that reached it while it hung; it carries them out once it resumes. */
  private final List<byte[]> queuedCommands = new ArrayList<>();

  /** Is given each task whose start is carried out. */
  public Consumer<String> startListener = task -> {};

  /** Is given each task that exits by itself, and the cause. */
  public BiConsumer<String, String> exitListener = (task, cause) -> {};

  /** Is given each task that is no longer on the machine, however it ended. */
  public Consumer<String> removalListener = task -> {};

  double nextHeartbeatAt;

  /** When the heartbeat was sent whose response renewed the lease last. */
  public double lastRenewed;

  /** Starts that were sent to it while it was inbound-partitioned. */
  public int lostStartCount;

  /** The controller that it sends heartbeats to. */
  public int controllerIndex;

  /** How often it went to another controller. */
  public int controllerChanges;

  /**
   * Creates a machine without tasks.
   *
   * @param now the time, from which its first lease counts
   */
  public FakeWorker(
      String name, String type, String zone, boolean spot, String address, double now) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.address = address;
    this.lastRenewed = now;
  }

  // ---- what is on it

  /** Task names that are on the machine and have not exited. */
  public Set<String> runningTasks() {
    Set<String> running = new TreeSet<>();
    tasks.forEach(
        (name, task) -> {
          if (!task.hasExited()) {
            running.add(name);
          }
        });
    return running;
  }

  /** Whether a task is on the machine, exited or not. */
  public boolean hasTask(String task) {
    return tasks.containsKey(task);
  }

  /** Whether no fault keeps it from running and keeping tasks. */
  boolean isHealthy() {
    return !partitioned
        && !hung
        && !inboundPartitioned
        && !outboundPartitioned
        && reclaimNoticeS == null;
  }

  /** A task's process exits by itself. */
  public void exitTask(String task, String cause) {
    tasks.get(task).exit(cause);
    exitListener.accept(task, cause);
    removalListener.accept(task);
  }

  private void killAll() {
    runningTasks().forEach(removalListener);
    tasks.clear();
  }

  // ---- faults of the machine

  /** Commands reach it while it hangs. */
  public void queueCommands(byte[] body) {
    queuedCommands.add(body);
  }

  /** It no longer hangs, and first carries out what has reached it meanwhile. */
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

  /** Its lease has expired: it kills its tasks and begins a new epoch. */
  public void expireLease(double now) {
    killAll();
    epoch++;
    sequence = 0;
    lastRenewed = now;
  }

  /** It is back at once without its tasks, and without epoch and token if {@code losesState}. */
  public void restart(boolean losesState) {
    killAll();
    if (losesState) {
      epoch = 1;
      sequence = 0;
      fencingToken = 0;
    }
  }

  // ---- protocol

  /** The next heartbeat that it sends. */
  public byte[] heartbeat() {
    sequence++;
    ObjectNode body = Json.object();
    body.put("hearth", name).put("address", address).put("flavor", type);
    body.put("room", zone).put("loaner", spot);
    body.put("tenure", epoch).put("tick", sequence).put("baton", fencingToken);
    if (reclaimNoticeS != null) {
      body.put("recall_s", reclaimNoticeS);
    }
    ArrayNode shards = body.putArray("shards");
    tasks.forEach((name, task) -> describe(shards.addObject(), name, task));
    return Json.bytes(body);
  }

  private static void describe(ObjectNode shard, String name, Task task) {
    shard.put("shard", name).put("try", task.attempt).put("phase", task.phase);
    if (task.cause != null) {
      shard.put("cause", task.cause);
    }
  }

  /** Takes the response to a heartbeat; true if it renews the lease. */
  public boolean handleHeartbeatResponse(byte[] body) {
    ObjectNode response = Json.parseObject(body);
    long token = response.path("baton").asLong(-1);
    if (token < fencingToken) {
      return false;
    }
    fencingToken = token;
    execute(response.get("orders"));
    return true;
  }

  /** Executes commands that were sent directly, if they are meant for this epoch and token. */
  public HttpReply executeCommands(byte[] body) {
    ObjectNode request = Json.parseObject(body);
    long token = request.get("baton").asLong();
    if (token < fencingToken || request.get("tenure").asLong() != epoch) {
      return new HttpReply(409, heartbeat());
    }
    fencingToken = token;
    execute(request.get("orders"));
    return new HttpReply(200, heartbeat());
  }

  private void execute(JsonNode commands) {
    for (JsonNode command : commands) {
      String task = command.get("shard").asText();
      long attempt = command.get("try").asLong();
      switch (command.get("verb").asText()) {
        case "run" -> start(task, attempt);
        case "stop" -> stop(task, attempt);
        default -> reap(task, attempt);
      }
    }
  }

  private void start(String name, long attempt) {
    Task former = tasks.get(name);
    if (former != null && (former.attempt == attempt || !former.hasExited())) {
      return;
    }
    Task task = new Task(attempt);
    tasks.put(name, task);
    startedAttempts.add(name + "#" + attempt);
    startListener.accept(name);
    if (failsTasks) {
      task.exit("error");
      removalListener.accept(name);
    }
  }

  private void stop(String name, long attempt) {
    Task task = tasks.get(name);
    if (task != null && task.attempt == attempt && !task.hasExited()) {
      task.exit("halted");
      removalListener.accept(name);
    }
  }

  private void reap(String name, long attempt) {
    Task task = tasks.get(name);
    if (task != null && task.attempt == attempt && task.hasExited()) {
      tasks.remove(name);
      reapedAttempts.add(name + "#" + attempt);
    }
  }
}
