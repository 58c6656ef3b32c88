package io.embernotch.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.actor.EventLoopProfile;
import io.embernotch.cloud.CloudClient;
import io.embernotch.codec.Json;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.controller.Controller;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpCaller;
import io.embernotch.http.HttpReply;
import io.embernotch.http.HttpResponse;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.settings.HostPort;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.store.LeaseRenewer;
import io.embernotch.store.StoreClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.IntFunction;

/** Controllers, store, cloud and workers on one fake clock, each to be disturbed at will. */
public final class SimulatedCluster {
  /** What a message on its way to a worker meets. */
  public enum Delivery {
    DELIVERED,
    /** It is never carried out, and no answer comes. */
    LOST,
    /** The sender gives up; {@link #releaseHeld()} delivers it later. */
    DELAYED,
    /** It is carried out at once, and only its answer is lost. */
    RESPONSE_LOST
  }

  private static final double HOP_S = 0.002;

  /** A worker drops an answer that comes later than this after its heartbeat. */
  private static final double ANSWER_S = 4;

  public final FakeTime time = new FakeTime();
  public final FakeStore store = new FakeStore(time);
  public final TreeMap<String, FakeWorker> workers = new TreeMap<>();
  public final FakeCloud cloud = new FakeCloud(time, workers, this::booted);
  public final List<ControllerNode> nodes = new ArrayList<>();
  private final List<Runnable> held = new ArrayList<>();

  /** What users, workers and the store saw, held against the rules. */
  public final InvariantChecker invariants;

  /** Copies of commands and heartbeats that were carried out. */
  private final List<Runnable> copies = new ArrayList<>();

  /** Frames arrive with {@link #releaseHeld()}, at whoever has the receiver's name then. */
  public boolean delayFrames;

  private final Map<String, List<byte[]>> heartbeats = new HashMap<>();

  /**
   * The least that was left of a lease, as a share of it, when a worker that had gone on was
   * answered again.
   */
  public double minRemainingLeaseShare = 1;

  public Delivery commandDelivery = Delivery.DELIVERED;
  public Delivery commitDelivery = Delivery.DELIVERED;

  /** Only transactions with this in them meet {@link #commitFate}. */
  public String commitDeliveryFilter = "run/";

  /** Draws what the two shares below hit; a seed makes a run repeat. */
  public SplittableRandom random = new SplittableRandom(1);

  /**
   * This share of transactions gets no answer and is carried out {@link #LATE_LEAST_S} to {@link
   * #LATE_MOST_S} later.
   */
  public double delayedCommitShare;

  private static final double LATE_LEAST_S = 2;
  private static final double LATE_MOST_S = 12;

  /**
   * Of this share of the heartbeats a copy arrives again, up to two leases later, at any
   * controller.
   */
  public double duplicatedHeartbeatShare;

  /** This share of transactions is carried out at once, and gets no answer. */
  public double lostCommitResponseShare;

  /** This share of reads of the store gets no answer. */
  public double lostReadShare;

  /**
   * This share of direct commands gets no answer and is carried out once, {@link #LATE_LEAST_S} to
   * {@link #LATE_COMMAND_S} later.
   */
  public double delayedCommandShare;

  private static final double LATE_COMMAND_S = 16;

  /**
   * Of this share of the heartbeats a copy is kept, and arrives at every controller as the next
   * leader begins.
   */
  public double replayedHeartbeatShare;

  private final List<byte[]> keptForNext = new ArrayList<>();

  /** Questions of users and answers to them take up to this long on their way, each by itself. */
  public double maxUserDelayS;

  /** Every answer of the store takes so much longer. */
  public double storeLatencyS;

  /** A zone that is partitioned from everything, or null. */
  public String partitionedZone;

  private int names;
  private OperatorSettings operatorSettings;

  /** One controller, as long as it lives. */
  public final class ControllerNode {
    public final int index;
    public final Settings settings;
    public Controller controller;
    public boolean down;
    public boolean storeUnavailable;

    /** The store does not answer it at all, rather than refuse it. */
    public boolean storeUnresponsive;

    public boolean peersUnreachable;
    public boolean workersUnreachable;
    private int incarnation;
    private BiConsumer<Frame, PeerLink.ReplyChannel> frameHandler;

    ControllerNode(int index, Settings settings) {
      this.index = index;
      this.settings = settings;
    }

    public void start() {
      int mine = ++incarnation;
      down = false;
      NodeTimers clock = new NodeTimers(this, mine);
      HttpCaller caller =
          (method, to, path, body, timeout) -> call(this, mine, method, to, path, body, timeout);
      ControllerContext context =
          new ControllerContext(
              settings,
              operatorSettings,
              time,
              clock,
              clock,
              EventLoopProfile.NONE,
              new StoreClient(caller, time, clock, settings),
              new CloudClient(caller, time, clock, settings),
              caller,
              () -> settings.node() + "-" + ++names,
              Runnable::run);
      LeaseRenewer leaseRenewer =
          new LeaseRenewer(
              caller,
              settings.storeAddress(),
              time,
              clock,
              clock,
              clock,
              settings.leaderLeaseS(OperatorSettings.DEFAULTS),
              Settings.DRIFT,
              settings.contactTimeoutS());
      controller = new Controller(context, new Link(this), leaseRenewer);
      controller.start();
    }

    /** Ends the process: its timers and the answers to its calls go nowhere. */
    public void kill() {
      down = true;
      incarnation++;
    }
  }

  /** The timers of one incarnation of a node: they stop with it. */
  private final class NodeTimers
      implements io.embernotch.actor.Timers, java.util.concurrent.Executor {
    private final ControllerNode node;
    private final int incarnation;

    NodeTimers(ControllerNode node, int life) {
      this.node = node;
      this.incarnation = life;
    }

    @Override
    public Runnable after(double seconds, Runnable task) {
      return time.after(
          seconds,
          () -> {
            if (node.incarnation == incarnation) {
              task.run();
            }
          });
    }

    @Override
    public void execute(Runnable task) {
      after(0, task);
    }
  }

  private final class Link implements PeerLink {
    private final ControllerNode from;

    Link(ControllerNode from) {
      this.from = from;
    }

    @Override
    public void onFrame(BiConsumer<Frame, ReplyChannel> handler) {
      from.frameHandler = handler;
    }

    @Override
    public void send(String node, Frame frame) {
      for (ControllerNode to : nodes) {
        if (to.settings.node().equals(node)) {
          deliver(from, to, frame);
        }
      }
    }

    @Override
    public void renew(String node) {
      // Connections of the fake do not hang.
    }
  }

  private void deliver(ControllerNode from, ControllerNode to, Frame frame) {
    frameCount++;
    if (delayFrames) {
      held.add(() -> to.frameHandler.accept(frame, reply -> deliver(to, from, reply)));
      return;
    }
    time.after(
        HOP_S,
        () -> {
          boolean cut = apart(from.settings.location(), to.settings.location());
          if (!from.down && !to.down && !from.peersUnreachable && !to.peersUnreachable && !cut) {
            to.frameHandler.accept(frame, reply -> deliver(to, from, reply));
          }
        });
  }

  public SimulatedCluster(int controllers) {
    this(controllers, 1);
  }

  /** Three controllers whose operators have a file of their own. */
  public SimulatedCluster(OperatorSettings operator) {
    this(3, i -> TestSettings.toml(i, 10, ""), operator);
  }

  /** A world in which teams may use {@code scale} times as much. */
  public SimulatedCluster(int controllers, int scale) {
    this(controllers, i -> TestSettings.toml(i, scale, ""), OperatorSettings.DEFAULTS);
  }

  private SimulatedCluster(int controllers, IntFunction<String> toml, OperatorSettings operator) {
    this.operatorSettings = operator;
    for (int i = 0; i < controllers; i++) {
      nodes.add(new ControllerNode(i, SettingsReader.parse(toml.apply(i))));
    }
    invariants = new InvariantChecker(nodes.get(0).settings);
    store.onLeaderChange = this::deliverKept;
    nodes.forEach(ControllerNode::start);
  }

  public static String settingsToml(int index) {
    return TestSettings.toml(index, 1, "");
  }

  /** A world in which the store is going to lower its limits. */
  public static SimulatedCluster withDecreasingStoreLimits() {
    String next = "[cluster.state.next]\nwrite_rps = 30.0\nvalue_kb = 1.0\ntxn_ops = 4\n";
    return new SimulatedCluster(3, i -> TestSettings.toml(i, 2, next), OperatorSettings.DEFAULTS);
  }

  private boolean apart(String one, String other) {
    return partitionedZone != null && partitionedZone.equals(one) != partitionedZone.equals(other);
  }

  /** A world whose store takes so many requests and changes a second. */
  public static SimulatedCluster withStoreLimits(double rps, double writeRps) {
    return new SimulatedCluster(
        3,
        i ->
            TestSettings.toml(i, 10, "")
                .replace("\nrps = 250.0", "\nrps = " + rps)
                .replace("write_rps = 100.0", "write_rps = " + writeRps),
        OperatorSettings.DEFAULTS);
  }

  /** The file that processes started from now on are given. */
  public void operatorSettings(OperatorSettings newer) {
    operatorSettings = newer;
  }

  // ---- time

  /** Lets time pass, with workers reporting, and checks the rules on the way. */
  public void advance(double seconds) {
    for (double left = seconds; left > 0; left -= 0.25) {
      time.advance(Math.min(0.25, left));
      checkRunTwice();
      checkChains();
      invariants.checkMachines(workers.values(), time.now());
    }
  }

  /**
   * Starts, and answers to users, that come too early or too late for a job that awaits another.
   */
  private void checkChains() {
    for (FakeWorker w : workers.values()) {
      for (String t : w.runningTasks()) {
        String ref = t.substring(0, t.indexOf('/'));
        ObjectNode job = store.value("job/" + ref);
        for (JsonNode before : job == null ? Json.object() : job.path("job").path("awaits")) {
          if (!store.jobsEverDone.contains(before.asText())
              && !"done".equals(storedFinalPhase(before.asText()))) {
            invariants.reportViolation(
                t + " is on a machine before " + before.asText() + " is done");
          }
        }
      }
    }
  }

  /** The end of a job that the store holds, in whatever shard; null if it has none. */
  public String storedFinalPhase(String ref) {
    String end = null;
    for (String key : store.keys("run/" + ref)) {
      end =
          key.equals("run/" + ref) && store.value(key).has("end")
              ? store.value(key).get("end").asText()
              : end;
    }
    for (String key : store.keys("part/" + ref + "/")) {
      end =
          key.endsWith("/0") && store.value(key).has("end")
              ? store.value(key).get("end").asText()
              : end;
    }
    return end;
  }

  private void checkRunTwice() {
    Map<String, String> where = new HashMap<>();
    for (FakeWorker w : workers.values()) {
      for (String t : w.runningTasks()) {
        String other = where.put(t, w.name);
        if (other != null) {
          invariants.reportViolation(t + " is on " + other + " and " + w.name);
        }
      }
    }
  }

  /** Rules seen broken so far. */
  public List<String> violations() {
    return invariants.violations();
  }

  // ---- users

  private static final HttpResponse NONE =
      HttpResponse.of(504, "{}".getBytes(StandardCharsets.UTF_8));

  /** What a user makes of no answer. */
  private static HttpResponse orNone(HttpResponse a) {
    return a == null ? NONE : a;
  }

  public HttpResponse submit(int node, String json) {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    double askedAt = time.now();
    HttpResponse a = orNone(await(nodes.get(node).controller.submit(body)));
    invariants.submitted(body, a, askedAt, time.now());
    return a;
  }

  public HttpResponse poll(int node, String ref) {
    double askedAt = time.now();
    HttpResponse a = orNone(await(nodes.get(node).controller.poll(ref)));
    invariants.polled(ref, a, askedAt, time.now(), store.value("job/" + ref) != null);
    return a;
  }

  public HttpResponse cancel(int node, String ref) {
    double askedAt = time.now();
    invariants.cancelRequested(ref, askedAt);
    HttpResponse a = orNone(await(nodes.get(node).controller.abort(ref)));
    invariants.statusReceived(ref, a, askedAt, time.now());
    return a;
  }

  private static final double POLL_PATIENCE_S = 2;
  private static final double SUBMIT_PATIENCE_S = 5;

  /**
   * Asks for a job's state and goes on; the answer is held against the rules when it comes, if the
   * user still waits.
   */
  public void pollAsync(int node, String ref) {
    askLater(
        node,
        POLL_PATIENCE_S,
        n -> n.controller.poll(ref),
        (askedAt, a) ->
            invariants.polled(ref, a, askedAt, time.now(), store.value("job/" + ref) != null));
  }

  /** Submits a job and goes on, like {@link #askPoll}. */
  public void submitAsync(int node, String json) {
    byte[] body = json.getBytes(StandardCharsets.UTF_8);
    askLater(
        node,
        SUBMIT_PATIENCE_S,
        n -> n.controller.submit(body),
        (askedAt, a) -> invariants.submitted(body, a, askedAt, time.now()));
  }

  private double userDelay() {
    return maxUserDelayS > 0 ? random.nextDouble(maxUserDelayS) : 0;
  }

  private void askLater(
      int node,
      double patienceS,
      Function<ControllerNode, Future<HttpResponse>> question,
      BiConsumer<Double, HttpResponse> heard) {
    ControllerNode n = nodes.get(node);
    double askedAt = time.now();
    time.after(
        userDelay(),
        () -> {
          if (n.down) {
            return;
          }
          int life = n.incarnation;
          question
              .apply(n)
              .onSuccess(
                  a ->
                      time.after(
                          userDelay(),
                          () -> {
                            if (n.incarnation == life && time.now() - askedAt < patienceS) {
                              heard.accept(askedAt, a);
                            }
                          }));
        });
  }

  /**
   * Asks for a cancellation and goes on; whoever answers is heard when the answer comes, as a user
   * would be.
   */
  public void cancelAsync(int node, String ref) {
    ControllerNode n = nodes.get(node);
    if (!n.down) {
      int life = n.incarnation;
      double askedAt = time.now();
      invariants.cancelRequested(ref, askedAt);
      n.controller
          .abort(ref)
          .onSuccess(
              a -> {
                if (n.incarnation == life) {
                  invariants.statusReceived(ref, a, askedAt, time.now());
                }
              });
    }
  }

  public String phase(int node, String ref) {
    HttpResponse a = poll(node, ref);
    return a.status() == 200
        ? Json.parseObject(a.body()).get("phase").asText()
        : "status " + a.status();
  }

  public <T> T await(Future<T> f) {
    for (int i = 0; i < 500 && !f.isComplete(); i++) {
      time.advance(0.01);
    }
    return f.result();
  }

  /** Lets so much time pass, by the end of which there must be a leader. */
  public ControllerNode awaitLeader(double seconds) {
    advance(seconds);
    ControllerNode n = leader();
    if (n == null) {
      throw new AssertionError("no steward after " + seconds + " s");
    }
    return n;
  }

  /** Another of three controllers. */
  public ControllerNode otherNode(ControllerNode n) {
    return nodes.get((n.index + 1) % 3);
  }

  /** The node that is leader and can prove it, or null. */
  public ControllerNode leader() {
    for (ControllerNode n : nodes) {
      if (!n.down) {
        HttpResponse a = await(n.controller.overview());
        if (Json.parseObject(a.body()).get("live").asBoolean()) {
          return n;
        }
      }
    }
    return null;
  }

  // ---- the network

  private Future<HttpReply> call(
      ControllerNode from,
      int life,
      String method,
      HostPort to,
      String path,
      byte[] body,
      double timeout) {
    Promise<HttpReply> promise = Promise.promise();
    // A probe of what is partitioned does not even get a connection.
    FakeWorker w = at(to);
    boolean reached =
        w == null
            || !(w.partitioned
                || w.inboundPartitioned
                || from.workersUnreachable
                || apart(from.settings.location(), w.zone));
    boolean connects = reached || !path.equals("/status");
    time.after(
        timeout,
        () -> {
          if (from.incarnation == life) {
            promise.tryFail(new CallFailedException(connects, "no answer in time"));
          }
        });
    time.after(
        HOP_S,
        () -> {
          Future<HttpReply> reply = arrive(from, method, to, path, body);
          if (reply != null) {
            reply.onSuccess(
                r ->
                    time.after(
                        HOP_S,
                        () -> {
                          if (from.incarnation == life) {
                            promise.tryComplete(r);
                          }
                        }));
          }
        });
    return promise.future();
  }

  private Future<HttpReply> arrive(
      ControllerNode from, String method, HostPort to, String path, byte[] body) {
    if (from.settings.location().equals(partitionedZone)
        && (to.equals(from.settings.storeAddress()) || to.equals(from.settings.cloudAddress()))) {
      return null;
    }
    if (to.equals(from.settings.storeAddress())) {
      if (from.storeUnavailable) {
        return from.storeUnresponsive
            ? null
            : Future.succeededFuture(new HttpReply(503, "{}".getBytes(StandardCharsets.UTF_8)));
      }
      if (lostReadShare > 0 && path.startsWith("/store") && random.nextDouble() < lostReadShare) {
        return null;
      }
      if (lostCommitResponseShare > 0
          && path.equals("/commit")
          && random.nextDouble() < lostCommitResponseShare) {
        store.handle(method, path, body);
        return null;
      }
      if (path.equals("/commit") && random.nextDouble() < delayedCommitShare) {
        time.after(
            LATE_LEAST_S + random.nextDouble(LATE_MOST_S - LATE_LEAST_S),
            () -> store.handle(method, path, body));
        return null;
      }
      if (storeLatencyS > 0 && !path.startsWith("/changes")) {
        Promise<HttpReply> slow = Promise.promise();
        time.after(storeLatencyS, () -> store.handle(method, path, body).onSuccess(slow::complete));
        return slow.future();
      }
      if (path.equals("/commit")
          && commitDelivery != Delivery.DELIVERED
          && new String(body).contains(commitDeliveryFilter)) {
        if (commitDelivery == Delivery.DELAYED) {
          held.add(() -> store.handle(method, path, body));
        }
        if (commitDelivery == Delivery.RESPONSE_LOST) {
          store.handle(method, path, body);
        }
        return null;
      }
      return store.handle(method, path, body);
    }
    if (to.equals(from.settings.cloudAddress())) {
      return Future.succeededFuture(cloud.handle(method, path, body));
    }
    FakeWorker w = at(to);
    if (w != null && w.inboundPartitioned && !w.partitioned) {
      w.lostStartCount += path.equals("/do") ? starts(body) : 0;
      return null;
    }
    if (w != null
        && w.hung
        && !w.partitioned
        && path.equals("/do")
        && commandDelivery == Delivery.DELIVERED
        && !from.workersUnreachable) {
      w.queueCommands(body);
      return null;
    }
    if (w == null
        || w.partitioned
        || w.hung
        || from.workersUnreachable
        || apart(from.settings.location(), w.zone)
        || commandDelivery == Delivery.LOST) {
      return null;
    }
    commandCount += path.equals("/do") ? 1 : 0;
    if (delayedCommandShare > 0
        && path.equals("/do")
        && random.nextDouble() < delayedCommandShare) {
      time.after(
          LATE_LEAST_S + random.nextDouble(LATE_COMMAND_S - LATE_LEAST_S),
          () -> arriveLate(w, body));
      return null;
    }
    if (commandDelivery == Delivery.RESPONSE_LOST && path.equals("/do")) {
      w.executeCommands(body);
      return null;
    }
    if (commandDelivery == Delivery.DELAYED && path.equals("/do")) {
      held.add(() -> w.executeCommands(body));
      return null;
    }
    if (path.equals("/do")) {
      copies.add(() -> w.executeCommands(body));
    }
    return Future.succeededFuture(
        path.equals("/do") ? w.executeCommands(body) : new HttpReply(200, w.heartbeat()));
  }

  /**
   * A command that was held up on its way; a machine that hangs by then carries it out once it goes
   * on.
   */
  private void arriveLate(FakeWorker w, byte[] body) {
    if (w.hung) {
      w.queueCommands(body);
    } else if (workers.get(w.name) == w) {
      w.executeCommands(body);
    }
  }

  /** The key of a leader has just been written. */
  private void deliverKept() {
    List<byte[]> kept = List.copyOf(keptForNext);
    keptForNext.clear();
    for (byte[] heartbeat : kept) {
      for (ControllerNode to : nodes) {
        // Before the leader has read the store, while it reads, and after.
        time.after(random.nextDouble(2), () -> deliverHeartbeat(to, heartbeat));
      }
    }
  }

  private static int starts(byte[] orders) {
    return new String(orders, StandardCharsets.UTF_8).split("\"verb\":\"run\"", -1).length - 1;
  }

  private FakeWorker at(HostPort address) {
    return workers.values().stream()
        .filter(x -> x.address.equals(address.toString()))
        .findFirst()
        .orElse(null);
  }

  /** Delivers what was held back, minutes late perhaps. */
  public void deliverDelayed() {
    List<Runnable> all = new ArrayList<>(held);
    held.clear();
    all.forEach(Runnable::run);
  }

  /** Commands sent straight to workers, and frames between controllers, so far. */
  public int commandCount;

  public int frameCount;

  /** All that a machine has reported so far, the oldest first. */
  public List<byte[]> heartbeatsOf(String machine) {
    return heartbeats.getOrDefault(machine, List.of());
  }

  /** A copy of a heartbeat arrives at a controller, whatever its age. */
  public void deliverHeartbeat(ControllerNode to, byte[] heartbeat) {
    if (!to.down) {
      to.controller.handleHeartbeat(WorkerCodec.read(heartbeat));
    }
  }

  /** All that was commanded straight, and all that was reported, arrives once more. */
  public void redeliverAll() {
    List.copyOf(copies).forEach(Runnable::run);
  }

  public int delayedCount() {
    return held.size();
  }

  // ---- machines

  /** A machine that somebody rented: it is up after a while, and heartbeats. Returns its name. */
  public String boot(String type, String zone, boolean spot) {
    return cloud.boot(type, zone, spot);
  }

  private void booted(FakeWorker w) {
    w.startListener = t -> invariants.taskStarted(w, t, described(t), workers.values(), time.now());
    w.exitListener = invariants::taskExited;
    w.removalListener = invariants::taskRemoved;
    heartbeatLoop(w);
    leaseLoop(w);
  }

  /** The description that the store has of a task's job, or null. */
  private JsonNode described(String task) {
    ObjectNode v = store.value("job/" + task.substring(0, task.lastIndexOf('/')));
    return v == null ? null : v.get("job");
  }

  // ---- workers

  private void heartbeatLoop(FakeWorker w) {
    if (workers.get(w.name) != w) {
      return;
    }
    if (!w.partitioned && !w.hung && !w.outboundPartitioned && time.now() >= w.nextHeartbeatAt) {
      heartbeat(w, 0);
    }
    time.after(1.0, () -> heartbeatLoop(w));
  }

  private void leaseLoop(FakeWorker w) {
    if (time.now() - w.lastRenewed > nodes.get(0).settings.workers().leaseS()) {
      w.expireLease(time.now());
    }
    time.after(0.1, () -> leaseLoop(w));
  }

  private void heartbeat(FakeWorker w, int hops) {
    ControllerNode n = nodes.get(w.controllerIndex);
    if (n.down || n.workersUnreachable || apart(n.settings.location(), w.zone)) {
      w.controllerIndex = (w.controllerIndex + 1) % nodes.size();
      w.controllerChanges++;
      return;
    }
    double sentAt = time.now();
    int life = n.incarnation;
    long session = w.epoch;
    byte[] said = w.heartbeat();
    heartbeats.computeIfAbsent(w.name, k -> new ArrayList<>()).add(said);
    copies.add(
        () -> {
          if (!n.down) {
            n.controller.handleHeartbeat(WorkerCodec.read(said));
          }
        });
    if (replayedHeartbeatShare > 0 && random.nextDouble() < replayedHeartbeatShare) {
      keptForNext.add(said);
    }
    if (random.nextDouble() < duplicatedHeartbeatShare) {
      int to = random.nextInt(nodes.size());
      time.after(
          LATE_LEAST_S + random.nextDouble(2 * n.settings.workers().leaseS()),
          () -> deliverHeartbeat(nodes.get(to), said));
    }
    if (w.inboundPartitioned) {
      // It waits four seconds for the answer, and a second more.
      w.controllerIndex = (w.controllerIndex + 1) % nodes.size();
      w.nextHeartbeatAt = time.now() + 5;
    }
    n.controller
        .handleHeartbeat(WorkerCodec.read(said))
        .onSuccess(
            a -> {
              boolean late = time.now() - sentAt > ANSWER_S;
              if (n.incarnation != life
                  || late
                  || w.partitioned
                  || w.hung
                  || w.epoch != session
                  || apart(n.settings.location(), w.zone)) {
                return;
              }
              if (w.inboundPartitioned) {
                w.lostStartCount += a.status() == 200 ? starts(a.body()) : 0;
                return;
              }
              if (a.status() == 200) {
                if (w.handleHeartbeatResponse(a.body())) {
                  minRemainingLeaseShare =
                      Math.min(
                          minRemainingLeaseShare,
                          1
                              - (time.now() - w.lastRenewed)
                                  / nodes.get(0).settings.workers().leaseS());
                  w.lastRenewed = sentAt;
                }
              } else {
                String to =
                    a.status() == 421 ? Json.parseObject(a.body()).path("steward").asText("") : "";
                w.controllerChanges++;
                w.controllerIndex =
                    to.isEmpty()
                        ? (w.controllerIndex + 1) % nodes.size()
                        : Integer.parseInt(to.substring(1));
                if (!to.isEmpty() && hops < 2) {
                  heartbeat(w, hops + 1);
                }
              }
            });
  }

  /** Ends the run of every task of a job that is on a machine. */
  public void completeTasks(String ref) {
    for (FakeWorker w : workers.values()) {
      for (String t : w.runningTasks()) {
        if (t.startsWith(ref + "/")) {
          w.exitTask(t, "done");
        }
      }
    }
  }

  /** Where each live task of a job is. */
  public Map<String, FakeWorker> runningTasks(String ref) {
    Map<String, FakeWorker> out = new TreeMap<>();
    for (FakeWorker w : workers.values()) {
      for (String t : w.runningTasks()) {
        if (t.startsWith(ref + "/")) {
          out.put(t, w);
        }
      }
    }
    return out;
  }

  /** An array that awaits others. */
  public static String dependentJob(String ref, int tasks, String... others) {
    return job(ref, "array", tasks)
        .replace("}", ",\"awaits\":[\"" + String.join("\",\"", others) + "\"]}");
  }

  public static String job(String ref, String shape, int tasks) {
    return "{\"ref\":\""
        + ref
        + "\",\"jobclass\":\"c\",\"owner\":\"red\",\"shape\":\""
        + shape
        + "\",\"rank\":\"standard\",\"shards\":"
        + tasks
        + ",\"cores\":4.0,\"cards\":1.0,\"mem_gb\":20.0,"
        + "\"bundle\":\"img\",\"size_gb\":1.0,\"flavors\":null,\"room\":null,\"one_zone\":false,\"scatter\":false,"
        + "\"loaner\":true,\"expect_s\":30.0,\"snapshot_s\":10.0,\"flush_s\":2.0,\"due_s\":null}";
  }
}
