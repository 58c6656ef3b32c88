package io.embernotch.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;

/**
 * Controllers, store, cloud, workers and users on one fake clock. Tests let time pass, use the API
 * as users do, and set faults; the invariants are checked all the while.
 */
public final class SimulatedCluster {
  private static final double CHECK_INTERVAL_S = 0.25;

  public final FakeTime time = new FakeTime();
  public final FakeStore store = new FakeStore(time);

  /** The machines that are up, by name. */
  public final TreeMap<String, FakeWorker> workers = new TreeMap<>();

  public final FakeCloud cloud = new FakeCloud(time, workers, this::machineBooted);
  public final List<ControllerNode> nodes = new ArrayList<>();
  public final NetworkFaults faults = new NetworkFaults();

  /** What users, workers and the store saw, checked against the protocol. */
  public final InvariantChecker invariants;

  private final MessageBuffer buffer = new MessageBuffer();
  private final PeerNetwork peers = new PeerNetwork(time, faults, buffer, nodes);
  private final WorkerConnection workerConnection =
      new WorkerConnection(time, faults, buffer, workers);
  private final HeartbeatHistory heartbeats = new HeartbeatHistory(time, faults, buffer, nodes);
  private final WorkerAgents agents = new WorkerAgents(time, faults, nodes, workers, heartbeats);
  private final ControllerFactory controllers;
  private final SimulatedUsers users;
  private final MachineInvariants machineInvariants;

  /** A cluster with the usual quota. */
  public SimulatedCluster(int controllers) {
    this(controllers, 1);
  }

  /** Three controllers with operators' settings of their own. */
  public SimulatedCluster(OperatorSettings operatorSettings) {
    this(3, index -> TestSettings.toml(index, 10, ""), operatorSettings);
  }

  /** A cluster in which teams may use {@code scale} times as much. */
  public SimulatedCluster(int controllers, int scale) {
    this(controllers, index -> TestSettings.toml(index, scale, ""), OperatorSettings.DEFAULTS);
  }

  private SimulatedCluster(
      int controllerCount, IntFunction<String> toml, OperatorSettings operatorSettings) {
    StoreConnection storeConnection = new StoreConnection(time, faults, buffer, store);
    HttpNetwork http = new HttpNetwork(time, faults, storeConnection, cloud, workerConnection);
    controllers = new ControllerFactory(time, http, peers, operatorSettings);
    for (int i = 0; i < controllerCount; i++) {
      nodes.add(new ControllerNode(i, SettingsReader.parse(toml.apply(i)), controllers));
    }
    invariants = new InvariantChecker(nodes.get(0).settings);
    machineInvariants = new MachineInvariants(store, workers, invariants);
    users = new SimulatedUsers(time, faults, nodes, store, invariants);
    store.onLeaderChange = heartbeats::replayToNewLeader;
    nodes.forEach(ControllerNode::start);
  }

  /** A cluster whose store is going to lower its limits. */
  public static SimulatedCluster withDecreasingStoreLimits() {
    String next = "[cluster.state.next]\nwrite_rps = 30.0\nvalue_kb = 1.0\ntxn_ops = 4\n";
    return new SimulatedCluster(
        3, index -> TestSettings.toml(index, 2, next), OperatorSettings.DEFAULTS);
  }

  /** A cluster whose store takes so many requests and changes a second. */
  public static SimulatedCluster withStoreLimits(double requestsPerS, double changesPerS) {
    return new SimulatedCluster(
        3,
        index ->
            TestSettings.toml(index, 10, "")
                .replace("\nrps = 250.0", "\nrps = " + requestsPerS)
                .replace("write_rps = 100.0", "write_rps = " + changesPerS),
        OperatorSettings.DEFAULTS);
  }

  /** The settings file of a controller of the usual cluster. */
  public static String settingsToml(int index) {
    return TestSettings.toml(index, 1, "");
  }

  /** The operators' settings that processes started from now on are given. */
  public void setOperatorSettings(OperatorSettings newer) {
    controllers.setOperatorSettings(newer);
  }

  // ---- time and leadership

  /** Lets time pass, and checks the invariants every quarter of a second. */
  public void advance(double seconds) {
    for (double left = seconds; left > 0; left -= CHECK_INTERVAL_S) {
      time.advance(Math.min(CHECK_INTERVAL_S, left));
      machineInvariants.check();
      invariants.checkMachines(workers.values(), time.now());
    }
  }

  /** Lets time pass until a future completes, 5 s at most; its result, or null. */
  public <T> T await(Future<T> future) {
    return time.await(future);
  }

  /** Lets so much time pass, by the end of which there must be a leader. */
  public ControllerNode awaitLeader(double seconds) {
    advance(seconds);
    ControllerNode leader = leader();
    if (leader == null) {
      throw new AssertionError("no leader after " + seconds + " s");
    }
    return leader;
  }

  /** The node that is leader and can prove it, or null. */
  public ControllerNode leader() {
    for (ControllerNode node : nodes) {
      if (!node.down) {
        HttpResponse overview = await(node.controller.overview());
        if (Json.parseObject(overview.body()).get("live").asBoolean()) {
          return node;
        }
      }
    }
    return null;
  }

  /** Another of three controllers. */
  public ControllerNode otherNode(ControllerNode node) {
    return nodes.get((node.index + 1) % 3);
  }

  /** Ends a controller's process, and starts it again after a while. */
  public void restartAfter(ControllerNode node, double seconds) {
    node.kill();
    time.after(seconds, node::start);
  }

  /** Violations of invariants seen so far, by the checker or by a controller itself. */
  public List<String> violations() {
    for (ControllerNode node : nodes) {
      if (node.answerContradictions() > 0) {
        invariants.reportViolation(
            node.settings.node() + " would have contradicted an end that it knew");
      }
    }
    return invariants.violations();
  }

  // ---- users

  /** Submits a job; status 504 if there is no response. */
  public HttpResponse submit(int node, String json) {
    return users.submit(node, json);
  }

  /** Asks for a job's state; status 504 if there is no response. */
  public HttpResponse poll(int node, String ref) {
    return users.poll(node, ref);
  }

  /** Asks for a cancellation; status 504 if there is no response. */
  public HttpResponse cancel(int node, String ref) {
    return users.cancel(node, ref);
  }

  /** Asks for a job's state and does not wait for the response. */
  public void pollAsync(int node, String ref) {
    users.pollAsync(node, ref);
  }

  /** Submits a job and does not wait for the response. */
  public void submitAsync(int node, String json) {
    users.submitAsync(node, json);
  }

  /** Asks for a cancellation and does not wait for the response. */
  public void cancelAsync(int node, String ref) {
    users.cancelAsync(node, ref);
  }

  /** The phase that a controller reports of a job, or {@code status N} if it reports none. */
  public String phase(int node, String ref) {
    return RecordedAnswers.phaseOf(poll(node, ref));
  }

  // ---- messages

  /** Delivers what was delayed, perhaps minutes late. */
  public void deliverDelayed() {
    buffer.deliverDelayed();
  }

  /** Messages that are delayed now. */
  public int delayedCount() {
    return buffer.delayedCount();
  }

  /** Every direct command and every heartbeat that was delivered arrives once more. */
  public void redeliverAll() {
    buffer.redeliverCopies();
  }

  /** Requests with commands to workers so far. */
  public int commandCount() {
    return workerConnection.commandCount();
  }

  /** Frames between controllers so far. */
  public int frameCount() {
    return peers.frameCount();
  }

  /** All heartbeats that a machine has sent so far, the oldest first. */
  public List<byte[]> heartbeatsOf(String machine) {
    return heartbeats.of(machine);
  }

  /** A copy of a heartbeat arrives at a controller, whatever its age. */
  public void deliverHeartbeat(ControllerNode to, byte[] heartbeat) {
    heartbeats.deliver(to, heartbeat);
  }

  /** The least that was left of a worker's lease, as a share of it, when it was renewed. */
  public double minRemainingLeaseShare() {
    return agents.minRemainingLeaseShare();
  }

  /** Measures {@link #minRemainingLeaseShare()} anew from now on. */
  public void resetMinRemainingLeaseShare() {
    agents.resetMinRemainingLeaseShare();
  }

  // ---- machines

  /** Creates a machine, which is up after a while and sends heartbeats. Returns its name. */
  public String bootMachine(String type, String zone, boolean spot) {
    return cloud.boot(type, zone, spot);
  }

  private void machineBooted(FakeWorker worker) {
    worker.startListener =
        task ->
            invariants.taskStarted(
                worker, task, machineInvariants.storedJob(task), workers.values(), time.now());
    worker.exitListener = invariants::taskExited;
    worker.removalListener = invariants::taskRemoved;
    agents.start(worker);
  }

  /**
   * Every task of a job that is on a machine exits as done. A gang completes together, so one of
   * which not all tasks run does not.
   */
  public void completeTasks(String ref) {
    JsonNode job = machineInvariants.storedJob(ref + "/0");
    if (job != null
        && job.path("shape").asText().equals("group")
        && runningTasks(ref).size() < job.path("shards").asInt()) {
      return;
    }
    for (FakeWorker worker : workers.values()) {
      for (String task : worker.runningTasks()) {
        if (task.startsWith(ref + "/")) {
          worker.exitTask(task, "done");
        }
      }
    }
  }

  /** The running tasks of a job, and the machine of each. */
  public Map<String, FakeWorker> runningTasks(String ref) {
    Map<String, FakeWorker> machineOfTask = new TreeMap<>();
    for (FakeWorker worker : workers.values()) {
      for (String task : worker.runningTasks()) {
        if (task.startsWith(ref + "/")) {
          machineOfTask.put(task, worker);
        }
      }
    }
    return machineOfTask;
  }
}
