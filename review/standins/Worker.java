import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.net.URI;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A machine with its worker, as PROTOCOL describes it. It knows arrays and services. */
final class Worker {
  record Timing(double reportS, double leaseS) {}

  /** Is told what the workers do; all calls are under the worker's lock. */
  interface Listener {
    default void started(Worker worker, String task, long attempt) {}

    default void ended(Worker worker, String task, long attempt, String cause) {}

    /** A controller's request or answer that breaks the limit of PROTOCOL on its size. */
    default void tooLong(Worker worker, String what, int bytes) {}
  }

  private static final class Task {
    final long attempt;
    String phase = "fetching";
    String cause;
    boolean stored;

    Task(long attempt) {
      this.attempt = attempt;
    }
  }

  static volatile Listener listener = new Listener() {};
  private static final ScheduledExecutorService TIMERS =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private static final SplittableRandom RANDOM = new SplittableRandom(1);

  final Fleet fleet;
  final String name;
  final String zone;
  final boolean spot;
  final double rentedAt = Record.now();
  volatile double upAt;
  private final int port = Web.freePort();
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  /** The images that it has cached; none of the cases needs more than a machine has room for. */
  private final Set<String> images = new HashSet<>();

  private volatile boolean removed;
  private HttpServer server;
  private long tenure = 1;
  private long tick;
  private long baton;
  private double renewedAt;
  private double leaseFrom;
  private volatile boolean changed;
  private int controller;
  private double recallAt = -1;
  private int incarnation;

  /** The next direct command is held up on its way for so many seconds; 0: none is. */
  volatile double holdCommandS;

  /** The answer to the next report is held up until so many seconds after that was sent. */
  volatile double holdAnswerS;

  /** Of this share of all messages to machines each is held up on its way, by chance. */
  static volatile double heldShare;

  /** The last direct commands that it carried out, by a task that they start. */
  final Map<String, byte[]> carriedOut = new ConcurrentHashMap<>();

  /** When it sent its last report. */
  volatile double reportedAt;

  /** When the command or answer that was held up last came on its way; negative: none. */
  volatile double heldSince = -1;

  Worker(Fleet fleet, String name, String zone, boolean spot) {
    this.fleet = fleet;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  void boot() {
    double bootS = fleet.bootS * (0.7 + 0.3 * random());
    TIMERS.schedule(this::up, (long) (bootS * 1000), TimeUnit.MILLISECONDS);
  }

  private static synchronized double random() {
    return RANDOM.nextDouble();
  }

  private void up() {
    if (removed) {
      return;
    }
    server = Web.serve(port, this::direct);
    upAt = Record.now();
    leaseFrom = upAt;
    controller = (int) (random() * Controllers.COUNT);
    Record.add("%s is up", name);
    Thread reports = new Thread(this::reportLoop, name);
    reports.setDaemon(true);
    reports.start();
  }

  synchronized void remove() {
    removed = true;
    tasks.forEach((task, state) -> end(task, state, "machine gone"));
    tasks.clear();
    if (server != null) {
      server.stop(0);
    }
  }

  /** The cloud announces that it takes this spot machine back, and does so. */
  void recall(double noticeS) {
    synchronized (this) {
      recallAt = Record.now() + noticeS;
      changed = true;
    }
    Record.say("%s: the cloud takes it back in %.1f s", name, noticeS);
    TIMERS.schedule(() -> fleet.take(this), (long) (noticeS * 1000), TimeUnit.MILLISECONDS);
  }

  /**
   * It is back at once without what it held: tasks, images, session and token. A request that it
   * had carried out before follows once more.
   */
  synchronized void backWithoutState(byte[] repeated) throws Exception {
    Record.say("%s stops, and is back without tasks, images, session and token", name);
    tasks.forEach((task, state) -> end(task, state, "machine restarted"));
    tasks.clear();
    images.clear();
    tenure = 1;
    tick = 0;
    baton = 0;
    leaseFrom = Record.now();
    incarnation++;
    changed = true;
    if (repeated != null) {
      Record.say("%s gets once more: %s", name, new String(repeated));
      Web.Reply reply = handle(false, repeated);
      Record.say("%s answers %d", name, reply.status());
    }
  }

  /** A task completes now. */
  synchronized void complete(String task) {
    Task state = tasks.get(task);
    if (state != null && state.phase.equals("running")) {
      exit(task, state, "done");
    }
  }

  /** Whether the task is on this machine: it has its image and has not exited. */
  synchronized boolean isOn(String task) {
    Task state = tasks.get(task);
    return state != null && !state.phase.equals("fetching") && !state.phase.equals("exited");
  }

  synchronized int count(String phase) {
    return (int) tasks.values().stream().filter(task -> task.phase.equals(phase)).count();
  }

  synchronized int held() {
    return tasks.size();
  }

  // ---- reports

  private void reportLoop() {
    while (!removed) {
      byte[] report;
      long session;
      int since;
      double sentAt = Record.now();
      synchronized (this) {
        checkLease(sentAt);
        report = report();
        session = tenure;
        since = incarnation;
        changed = false;
      }
      reportedAt = sentAt;
      Web.Reply reply = Web.call("POST", fleet.controllers.address(controller), "/hello", report, 4);
      if (holdAnswerS > 0 && reply != null) {
        double untilS = holdAnswerS;
        holdAnswerS = 0;
        heldSince = Record.now();
        Record.say("%s: the answer to the report of %.3f is held up until %.1f s after it: %s", name, sentAt, untilS, reply.text());
        while (Record.now() < sentAt + untilS) {
          Web.sleep(0.005);
        }
        Record.say("%s: the answer arrives", name);
      }
      if (random() < heldShare) {
        double untilS = 3.9 * random();
        while (Record.now() < sentAt + untilS) {
          Web.sleep(0.005);
        }
      }
      double pauseS = fleet.timing.reportS() * (0.75 + 0.5 * random());
      if (removed) {
        return;
      }
      if (reply != null && reply.status() == 200) {
        if (longestLine(reply.body()) > Web.MAX_BODY) {
          // No line of a response may be longer than 64 KiB: it is not read further, no response.
          listener.tooLong(this, "a line of a report's response", longestLine(reply.body()));
          next();
          continue;
        }
        synchronized (this) {
          if (session == tenure && since == incarnation) {
            accept(reply.json(), sentAt);
          }
        }
        awaitNext(sentAt, pauseS);
      } else if (reply != null && reply.status() == 421) {
        int named = named(reply.json().path("steward").asText(""));
        if (named < 0 || named == controller) {
          next();
        } else {
          controller = named;
          Web.sleep(0.5 * random());
        }
      } else {
        if (reply != null) {
          Record.add("%s: report of %d bytes gets %d", name, report.length, reply.status());
        }
        next();
      }
    }
  }

  private void awaitNext(double sentAt, double pauseS) {
    while (!removed && Record.now() < sentAt + pauseS) {
      Web.sleep(0.05);
      synchronized (this) {
        checkLease(Record.now());
      }
      if (changed && Record.now() > sentAt + 0.5) {
        return;
      }
    }
  }

  private static int named(String node) {
    for (int i = 0; i < Controllers.COUNT; i++) {
      if (Controllers.name(i).equals(node)) {
        return i;
      }
    }
    return -1;
  }

  private void next() {
    controller = (controller + 1) % Controllers.COUNT;
    double until = Record.now() + 1;
    while (!removed && Record.now() < until) {
      Web.sleep(0.05);
      synchronized (this) {
        checkLease(Record.now());
      }
    }
  }

  private static int longestLine(byte[] body) {
    int longest = 0;
    int from = 0;
    for (int i = 0; i <= body.length; i++) {
      if (i == body.length || body[i] == '\n') {
        longest = Math.max(longest, i - from);
        from = i + 1;
      }
    }
    return longest;
  }

  private void accept(JsonNode answer, double sentAt) {
    if (!answer.hasNonNull("baton") || answer.get("baton").asLong() < baton) {
      return;
    }
    baton = answer.get("baton").asLong();
    leaseFrom = sentAt;
    execute(answer.path("orders"));
  }

  private void checkLease(double now) {
    if (now - leaseFrom > fleet.timing.leaseS()) {
      Record.add("%s: the lease expires with %d tasks", name, tasks.size());
      tasks.forEach((task, state) -> end(task, state, "lease expired"));
      tasks.clear();
      tenure++;
      tick = 0;
      leaseFrom = now;
    }
  }

  private byte[] report() {
    ObjectNode report = Web.object();
    report.put("hearth", name).put("address", address()).put("flavor", fleet.flavor);
    report.put("room", zone).put("loaner", spot).put("tenure", tenure).put("tick", ++tick);
    report.put("baton", baton);
    if (recallAt >= 0) {
      report.put("recall_s", Math.max(0, recallAt - Record.now()));
    }
    ArrayNode shards = report.putArray("shards");
    tasks.forEach(
        (task, state) -> {
          ObjectNode entry = shards.addObject();
          entry.put("shard", task).put("try", state.attempt).put("phase", state.phase);
          if (state.cause != null) {
            entry.put("cause", state.cause);
            if (state.stored) {
              entry.put("stored", true);
            }
          }
        });
    return Web.bytes(report);
  }

  // ---- commands

  private Web.Reply direct(String method, URI uri, byte[] body) throws Exception {
    if (removed) {
      return null;
    }
    if (body.length > Web.MAX_BODY) {
      synchronized (this) {
        listener.tooLong(this, "the body of " + uri.getPath(), body.length);
      }
      return Web.reply(413, Web.object().put("error", "body exceeds 64 KiB"));
    }
    boolean held = holdCommandS > 0 && uri.getPath().equals("/do");
    if (held) {
      double heldS = holdCommandS;
      holdCommandS = 0;
      heldSince = Record.now();
      Record.say("%s: held up for %.1f s on its way: %s", name, heldS, new String(body));
      Web.sleep(heldS);
    }
    boolean status = uri.getPath().equals("/status");
    if (!status && random() < heldShare) {
      Web.sleep(random() < 0.5 ? 2 + 14 * random() : 1.9 * random());
    }
    Web.Reply reply = handle(status, body);
    if (random() < heldShare / 2) {
      Web.sleep(1.9 * random());
    }
    return reply;
  }

  private Web.Reply handle(boolean status, byte[] body) throws Exception {
    synchronized (this) {
      checkLease(Record.now());
      if (status) {
        return new Web.Reply(200, report());
      }
      JsonNode command = Web.JSON.readTree(body);
      if (!command.hasNonNull("baton") || !command.hasNonNull("tenure")) {
        return Web.reply(400, Web.object());
      }
      if (command.get("baton").asLong() < baton || command.get("tenure").asLong() != tenure) {
        Record.add("%s refuses /do with baton %s, has seen %d", name, command.get("baton"), baton);
        return new Web.Reply(409, report());
      }
      baton = command.get("baton").asLong();
      for (JsonNode order : command.path("orders")) {
        if (order.get("verb").asText().equals("run")) {
          carriedOut.put(order.get("shard").asText() + "#" + order.get("try").asLong(), body);
        }
      }
      execute(command.path("orders"));
      return new Web.Reply(200, report());
    }
  }

  private void execute(JsonNode orders) {
    if (orders.size() > 0 && orders.size() <= 20) {
      Record.add("%s executes %s", name, orders);
    }
    for (JsonNode order : orders) {
      String task = order.get("shard").asText();
      long attempt = order.get("try").asLong();
      switch (order.get("verb").asText()) {
        case "run" -> run(task, attempt);
        case "stop" -> stop(task, attempt, order.path("linger_s").asDouble());
        case "reap" -> reap(task, attempt);
        default -> {}
      }
    }
  }

  private void run(String task, long attempt) {
    Task former = tasks.get(task);
    if (former != null && (former.attempt == attempt || !former.phase.equals("exited"))) {
      return;
    }
    Task state = new Task(attempt);
    tasks.put(task, state);
    changed = true;
    JsonNode job = fleet.jobs.get(task.substring(0, task.indexOf('/')));
    if (job == null) {
      exit(task, state, "unknown");
      return;
    }
    String image = job.get("bundle").asText();
    if (images.contains(image)) {
      running(task, state, job);
      return;
    }
    double fetchS = job.get("size_gb").asDouble();
    after(
        fetchS,
        () -> {
          images.add(image);
          running(task, state, job);
        });
  }

  private void running(String task, Task state, JsonNode job) {
    if (tasks.get(task) != state || !state.phase.equals("fetching")) {
      return;
    }
    state.phase = "running";
    changed = true;
    listener.started(this, task, state.attempt);
    if (!job.get("shape").asText().equals("standing")) {
      double runS = job.path("run_s").asDouble(job.get("expect_s").asDouble());
      after(
          runS * (0.8 + 0.4 * random()),
          () -> {
            if (tasks.get(task) == state && state.phase.equals("running")) {
              exit(task, state, "done");
            }
          });
    }
  }

  private void after(double seconds, Runnable action) {
    TIMERS.schedule(
        () -> {
          synchronized (this) {
            if (!removed) {
              action.run();
            }
          }
        },
        (long) (seconds * 1000),
        TimeUnit.MILLISECONDS);
  }

  private void exit(String task, Task state, String cause) {
    end(task, state, cause);
    state.phase = "exited";
    state.cause = cause;
    changed = true;
  }

  private void end(String task, Task state, String cause) {
    if (!state.phase.equals("exited")) {
      listener.ended(this, task, state.attempt, cause);
    }
  }

  private void stop(String task, long attempt, double lingerS) {
    Task state = tasks.get(task);
    if (state == null || state.attempt != attempt || state.phase.equals("exited")) {
      return;
    }
    JsonNode job = fleet.jobs.get(task.substring(0, task.indexOf('/')));
    double flushS = job == null ? 0 : job.get("flush_s").asDouble();
    boolean saves =
        job != null && job.get("snapshot_s").asDouble() > 0 && lingerS >= flushS && lingerS > 0;
    if (saves && state.phase.equals("running")) {
      state.phase = "saving";
      changed = true;
      after(
          flushS,
          () -> {
            if (tasks.get(task) == state && state.phase.equals("saving")) {
              state.stored = true;
              exit(task, state, "halted");
            }
          });
    } else if (!state.phase.equals("saving") || lingerS <= 0) {
      exit(task, state, "halted");
    }
  }

  private void reap(String task, long attempt) {
    Task state = tasks.get(task);
    if (state != null && state.attempt == attempt && state.phase.equals("exited")) {
      tasks.remove(task);
    }
  }
}
