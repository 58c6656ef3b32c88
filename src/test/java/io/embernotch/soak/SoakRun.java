package io.embernotch.soak;

import io.embernotch.http.HttpReply;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeCloud;
import io.embernotch.testkit.FakeStore;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.InvariantChecker;
import io.embernotch.testkit.MachineInvariants;
import io.embernotch.testkit.TestJobs;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/** One run of the soak. All stand-ins are on one event loop; controllers are other processes. */
final class SoakRun {
  private static final double START_S = 8;
  private static final double CHECK_INTERVAL_S = 0.25;
  private static final double POLL_INTERVAL_S = 2;

  /** An accepted job that is not answered for so long after all faults is forgotten. */
  private static final double FORGOTTEN_AFTER_S = 75;

  private static final double MAX_TASK_S = 12;
  private static final double BOOT_S = 1.5;
  private static final int MAX_OVERHEAD_S = 60;

  private final SoakSettings settings;
  private final SplittableRandom random;
  private final UnaryOperator<HttpReply> plant;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final FakeTime time = new FakeTime();
  private final FakeStore store = new FakeStore(time);
  private final TreeMap<String, FakeWorker> workers = new TreeMap<>();
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final List<StoreServer> storeServers = new ArrayList<>();
  private final PeerProxy[][] proxies =
      new PeerProxy[SoakSettings.CONTROLLERS][SoakSettings.CONTROLLERS];
  private final List<String> violations = new ArrayList<>();
  private final Promise<Void> finished = Promise.promise();
  private RealTimeDriver clock;
  private InvariantChecker invariants;
  private MachineInvariants machineInvariants;
  private MachineAgents agents;
  private SoakUsers users;
  private FaultScript faults;
  private FactLedger facts;
  private int mostMachines;

  SoakRun(SoakSettings settings, UnaryOperator<HttpReply> plant) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.plant = plant;
  }

  /** What was violated; the logs of a run that violated nothing are removed. */
  List<String> run() throws Exception {
    Files.createDirectories(settings.directory());
    Thread killer = new Thread(() -> controllers.forEach(ControllerProcess::kill));
    Runtime.getRuntime().addShutdownHook(killer);
    try (MessageLog messages = new MessageLog(settings.directory().resolve("messages.log"))) {
      try {
        vertx.runOnContext(v -> begin(messages));
        double limitS = 2 * START_S + settings.faultsS() + FORGOTTEN_AFTER_S + MAX_OVERHEAD_S;
        finished.future().await((long) limitS, TimeUnit.SECONDS);
      } finally {
        controllers.forEach(ControllerProcess::close);
        vertx.close().await();
      }
    } finally {
      Runtime.getRuntime().removeShutdownHook(killer);
    }
    controllers.forEach(controller -> violations.addAll(controller.errorLines()));
    violations.addAll(invariants.violations());
    System.out.printf(
        "soak seed %d: %d jobs, %d answers to users, %d faults, %d machines at most, %d violations%n",
        settings.seed(),
        users.accepted().size(),
        users.answerCount(),
        faults.count(),
        mostMachines,
        violations.size());
    violations.replaceAll(facts::explain);
    return violations;
  }

  private void begin(MessageLog messages) {
    try {
      assemble(messages);
    } catch (IOException | RuntimeException e) {
      finished.fail(e);
    }
  }

  private void assemble(MessageLog messages) throws IOException {
    facts = messages.facts();
    FreePorts free = new FreePorts();
    SoakSettings.Ports ports = free.allocate();
    invariants = new InvariantChecker(SettingsReader.parse(settings.toml(0, ports)));
    machineInvariants = new MachineInvariants(store, workers, invariants);
    clock = new RealTimeDriver(vertx, time);
    agents =
        new MachineAgents(vertx, time, clock, workers, ports, free.machinePort(), random.split());
    FakeCloud cloud = new FakeCloud(time, workers, this::booted, agents::addressOf);
    cloud.bootS = BOOT_S;
    List<Future<Void>> listening = new ArrayList<>();
    for (int node = 0; node < SoakSettings.CONTROLLERS; node++) {
      controllers.add(
          new ControllerProcess(node, settings.toml(node, ports), settings.directory(), facts));
      StoreServer server = new StoreServer(time, store, messages, "c" + node, random.split());
      storeServers.add(server);
      listening.add(server.listen(vertx, ports.store().get(node)));
      listening.addAll(listenProxies(node, ports));
    }
    listening.add(listenCloud(cloud, ports.cloud()));
    users =
        new SoakUsers(
            vertx, time, clock, invariants, store, messages, ports.client(), random.split());
    users.plant = plant;
    faults =
        new FaultScript(
            time,
            store,
            workers,
            controllers,
            storeServers,
            proxies,
            agents,
            messages,
            random.split(),
            settings.dataLoss());
    Future.all(listening).onSuccess(all -> play()).onFailure(finished::tryFail);
  }

  private List<Future<Void>> listenProxies(int from, SoakSettings.Ports ports) {
    List<Future<Void>> listening = new ArrayList<>();
    for (int to = 0; to < SoakSettings.CONTROLLERS; to++) {
      if (to != from) {
        proxies[from][to] = new PeerProxy(vertx, ports.peer().get(to));
        listening.add(proxies[from][to].listen(ports.proxy().get(from).get(to)));
      }
    }
    return listening;
  }

  private Future<Void> listenCloud(FakeCloud cloud, int port) {
    return vertx
        .createHttpServer()
        .requestHandler(
            request ->
                request.bodyHandler(
                    body ->
                        StoreServer.respond(
                            request,
                            cloud.handle(
                                request.method().name(), request.path(), body.getBytes()))))
        .listen(port, "127.0.0.1")
        .mapEmpty();
  }

  private void play() {
    controllers.forEach(ControllerProcess::start);
    check();
    time.after(START_S, () -> users.start(settings.machines()));
    time.after(2 * START_S, faults::start);
    time.after(2 * START_S + settings.faultsS(), this::settle);
  }

  private void check() {
    mostMachines = Math.max(mostMachines, workers.size());
    machineInvariants.check();
    invariants.checkMachines(workers.values(), time.now());
    time.after(CHECK_INTERVAL_S, this::check);
  }

  private void settle() {
    faults.stop();
    users.stop();
    Set<String> unanswered = new TreeSet<>(users.accepted());
    awaitAnswers(unanswered, time.now() + FORGOTTEN_AFTER_S, 0);
  }

  private void awaitAnswers(Set<String> unanswered, double until, int round) {
    unanswered.removeAll(users.answeredSinceStop());
    if (unanswered.isEmpty() || time.now() > until) {
      unanswered.forEach(ref -> violations.add(ref + " has no answer for 75 s"));
      clock.stop();
      finished.tryComplete();
      return;
    }
    unanswered.forEach(
        ref -> users.poll(Math.floorMod(round + ref.hashCode(), SoakSettings.CONTROLLERS), ref));
    time.after(POLL_INTERVAL_S, () -> awaitAnswers(unanswered, until, round + 1));
  }

  private void booted(FakeWorker worker) {
    worker.startListener =
        task -> {
          invariants.taskStarted(
              worker, task, machineInvariants.storedJob(task), workers.values(), time.now());
          endLater(worker, task);
        };
    worker.exitListener = invariants::taskExited;
    worker.removalListener = invariants::taskRemoved;
    agents.start(worker);
  }

  /** Tasks of arrays and gangs exit as done; those of a gang together, once all of them run. */
  private void endLater(FakeWorker worker, String task) {
    var job = machineInvariants.storedJob(task);
    if (job == null || job.path("shape").asText().equals("standing")) {
      return;
    }
    boolean gang = job.path("shape").asText().equals("group");
    time.after(
        1 + random.nextDouble(MAX_TASK_S),
        () -> {
          if (gang) {
            completeGang(TestJobs.refOf(task), job.path("shards").asInt());
          } else if (worker.runningTasks().contains(task) && !worker.hung) {
            worker.exitTask(task, "done");
          }
        });
  }

  private void completeGang(String ref, int tasks) {
    List<FakeWorker> on = new ArrayList<>();
    List<String> names = new ArrayList<>();
    for (FakeWorker worker : workers.values()) {
      for (String task : worker.runningTasks()) {
        if (TestJobs.refOf(task).equals(ref)) {
          on.add(worker);
          names.add(task);
        }
      }
    }
    if (names.size() == tasks && on.stream().noneMatch(worker -> worker.hung)) {
      for (int i = 0; i < tasks; i++) {
        on.get(i).exitTask(names.get(i), "done");
      }
    }
  }

  /** Removes logs and messages. */
  void removeLogs() {
    try (var files = Files.walk(settings.directory())) {
      files.sorted(Comparator.reverseOrder()).forEach(SoakRun::delete);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void delete(Path file) {
    try {
      Files.delete(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
