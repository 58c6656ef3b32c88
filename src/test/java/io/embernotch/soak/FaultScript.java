package io.embernotch.soak;

import io.embernotch.testkit.FakeStore;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.FakeWorker;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Begins and ends faults as the seed says, two or three of them at once. */
final class FaultScript {
  private static final double MAX_PAUSE_S = 3;
  private static final double MAX_FAULT_S = 7;
  private static final double MAX_RESTART_S = 2;
  private static final double SERIES_INTERVAL_S = 2.5;
  private static final int SERIES = 4;
  private static final double MACHINE_SHARE = 0.3;
  private static final double MESSAGE_SHARE = 0.3;
  private static final String LEADER_KEY = "steward";

  private final FakeTime time;
  private final FakeStore store;
  private final Map<String, FakeWorker> workers;
  private final List<ControllerProcess> controllers;
  private final List<StoreServer> storeServers;
  private final PeerProxy[][] proxies;
  private final MachineAgents agents;
  private final MessageLog messages;
  private final SplittableRandom random;
  private final boolean dataLoss;
  private FakeStore.Snapshot snapshot;
  private boolean active;
  private int count;

  FaultScript(
      FakeTime time,
      FakeStore store,
      Map<String, FakeWorker> workers,
      List<ControllerProcess> controllers,
      List<StoreServer> storeServers,
      PeerProxy[][] proxies,
      MachineAgents agents,
      MessageLog messages,
      SplittableRandom random,
      boolean dataLoss) {
    this.time = time;
    this.store = store;
    this.workers = workers;
    this.controllers = controllers;
    this.storeServers = storeServers;
    this.proxies = proxies;
    this.agents = agents;
    this.messages = messages;
    this.random = random;
    this.dataLoss = dataLoss;
  }

  void start() {
    active = true;
    snapshot = store.snapshot();
    beginNext();
  }

  /** Faults that have begun. */
  int count() {
    return count;
  }

  /** Ends all faults; no other begins. */
  void stop() {
    active = false;
    controllers.forEach(ControllerProcess::resume);
    controllers.forEach(ControllerProcess::start);
    storeServers.forEach(StoreServer::clearFaults);
    if (store.outage) {
      store.endOutage();
    }
    for (PeerProxy[] row : proxies) {
      for (PeerProxy proxy : row) {
        restore(proxy);
      }
    }
    agents.lateCopyShare = 0;
    workers.values().forEach(FaultScript::heal);
  }

  private static void restore(PeerProxy proxy) {
    if (proxy != null) {
      proxy.restore();
    }
  }

  private static void heal(FakeWorker worker) {
    worker.partitioned = false;
    worker.inboundPartitioned = false;
    worker.outboundPartitioned = false;
    if (worker.hung) {
      worker.resume();
    }
  }

  private void beginNext() {
    if (!active) {
      return;
    }
    begin();
    time.after(random.nextDouble(MAX_PAUSE_S), this::beginNext);
  }

  /** Draws the same numbers for each kind, so that a seed's script does not depend on the run. */
  private void begin() {
    count++;
    int kind = random.nextInt(dataLoss ? 16 : 15);
    int node = random.nextInt(controllers.size());
    boolean leaderHit = random.nextInt(3) > 0;
    double durationS = 0.3 + random.nextDouble(MAX_FAULT_S);
    double restartS = random.nextBoolean() ? 0.1 : random.nextDouble(MAX_RESTART_S);
    boolean flag = random.nextBoolean();
    SplittableRandom own = random.split();
    ControllerProcess controller = controllers.get(leaderHit ? leaderOr(node) : node);
    messages.line("fault %d of %s for %.1f s".formatted(kind, controller.name(), durationS));
    StoreServer way = storeServers.get(controller.index);
    switch (kind) {
      case 0, 1 -> restart(controller, restartS);
      case 2 -> controllers.forEach(each -> restart(each, restartS));
      case 3, 4 -> pause(controller, durationS);
      case 5 -> during(durationS, on -> way.refusing = on);
      case 6 -> during(durationS, on -> way.silent = on);
      case 7 -> outage(durationS);
      case 8 -> during(durationS, on -> way.maxResponseDelayS = on ? 1 : 0);
      case 9 -> during(durationS, on -> way.lostResponseShare = on ? MESSAGE_SHARE : 0);
      case 10 -> during(durationS, on -> way.lateCommitShare = on ? MESSAGE_SHARE : 0);
      case 11 -> cutPeers(controller, flag, durationS);
      case 12 -> machines(own, durationS);
      case 13 -> leaderSeries(SERIES);
      case 14 -> during(durationS, on -> agents.lateCopyShare = on ? MESSAGE_SHARE : 0);
      default -> loseData();
    }
  }

  private int leaderOr(int node) {
    var key = store.value(LEADER_KEY);
    return key == null ? node : Integer.parseInt(key.path("node").asText().substring(1));
  }

  private void during(double durationS, Consumer<Boolean> fault) {
    fault.accept(true);
    time.after(durationS, () -> fault.accept(false));
  }

  private void restart(ControllerProcess controller, double afterS) {
    controller.kill();
    time.after(afterS, () -> startAgain(controller));
  }

  /** The former process may take a moment to end. */
  private void startAgain(ControllerProcess controller) {
    controller.start();
    time.after(MAX_RESTART_S, controller::start);
  }

  private void pause(ControllerProcess controller, double durationS) {
    controller.pause();
    time.after(durationS, controller::resume);
  }

  private void outage(double durationS) {
    store.outage = true;
    time.after(
        durationS,
        () -> {
          if (store.outage) {
            store.endOutage();
          }
        });
  }

  private void cutPeers(ControllerProcess controller, boolean held, double durationS) {
    for (int other = 0; other < proxies.length; other++) {
      if (other != controller.index) {
        cut(proxies[controller.index][other], held, durationS);
        cut(proxies[other][controller.index], held, durationS);
      }
    }
  }

  private void cut(PeerProxy proxy, boolean held, double durationS) {
    if (held) {
      proxy.hold();
    } else {
      proxy.reset();
    }
    time.after(durationS, proxy::restore);
  }

  private void machines(SplittableRandom own, double durationS) {
    int kind = own.nextInt(4);
    for (FakeWorker worker : workers.values()) {
      if (own.nextDouble() < MACHINE_SHARE) {
        worker.partitioned |= kind == 0;
        worker.hung |= kind == 1;
        worker.inboundPartitioned |= kind == 2;
        worker.outboundPartitioned |= kind == 3;
        time.after(durationS, () -> heal(worker));
      }
    }
  }

  private void leaderSeries(int left) {
    if (left == 0 || !active) {
      return;
    }
    restart(controllers.get(leaderOr(0)), 0.1);
    time.after(SERIES_INTERVAL_S, () -> leaderSeries(left - 1));
  }

  /** The store goes back to what it held some time ago. */
  private void loseData() {
    FakeStore.Snapshot older = snapshot;
    snapshot = store.snapshot();
    store.restore(older, true);
    messages.facts().storeChanged("store put back");
  }
}
