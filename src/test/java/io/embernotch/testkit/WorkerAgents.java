package io.embernotch.testkit;

import io.embernotch.codec.Json;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.http.HttpResponse;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/** Runs the agents of the machines: their heartbeats, and the end of an epoch with its lease. */
final class WorkerAgents {
  private static final double HEARTBEAT_INTERVAL_S = 1;
  private static final double LEASE_CHECK_INTERVAL_S = 0.1;

  /** A worker drops a response that comes later than this after its heartbeat. */
  private static final double RESPONSE_TIMEOUT_S = 4;

  /** After a response that did not come, a worker waits a second more than the timeout. */
  private static final double RETRY_DELAY_S = RESPONSE_TIMEOUT_S + 1;

  private static final int MAX_REDIRECTS = 2;
  private static final int REDIRECTED = 421;

  private final FakeTime time;
  private final NetworkFaults faults;
  private final List<ControllerNode> nodes;
  private final Map<String, FakeWorker> workers;
  private final HeartbeatHistory history;
  private double minRemainingLeaseShare = 1;

  /** A heartbeat whose response a worker awaits. */
  private record SentHeartbeat(
      FakeWorker worker,
      ControllerNode receiver,
      int receiverIncarnation,
      long epoch,
      double sentAt,
      int redirects) {}

  WorkerAgents(
      FakeTime time,
      NetworkFaults faults,
      List<ControllerNode> nodes,
      Map<String, FakeWorker> workers,
      HeartbeatHistory history) {
    this.time = time;
    this.faults = faults;
    this.nodes = nodes;
    this.workers = workers;
    this.history = history;
  }

  /** Starts the agent of a machine that has come up. */
  void start(FakeWorker worker) {
    heartbeatLoop(worker);
    leaseLoop(worker);
  }

  /** The least that was left of a lease, as a share of it, when a response renewed it. */
  double minRemainingLeaseShare() {
    return minRemainingLeaseShare;
  }

  void resetMinRemainingLeaseShare() {
    minRemainingLeaseShare = 1;
  }

  private double leaseS() {
    return nodes.get(0).settings.workers().leaseS();
  }

  private void heartbeatLoop(FakeWorker worker) {
    if (workers.get(worker.name) != worker) {
      return;
    }
    if (!worker.partitioned
        && !worker.hung
        && !worker.outboundPartitioned
        && time.now() >= worker.nextHeartbeatAt) {
      sendHeartbeat(worker, 0);
    }
    time.after(HEARTBEAT_INTERVAL_S, () -> heartbeatLoop(worker));
  }

  private void leaseLoop(FakeWorker worker) {
    if (time.now() - worker.lastRenewed > leaseS()) {
      worker.expireLease(time.now());
    }
    time.after(LEASE_CHECK_INTERVAL_S, () -> leaseLoop(worker));
  }

  private void sendHeartbeat(FakeWorker worker, int redirects) {
    ControllerNode receiver = nodes.get(worker.controllerIndex);
    if (receiver.down || receiver.isPartitionedFromWorkers(faults, worker.zone)) {
      goToNextController(worker);
      worker.controllerChanges++;
      return;
    }
    SentHeartbeat sent =
        new SentHeartbeat(
            worker, receiver, receiver.incarnation(), worker.epoch, time.now(), redirects);
    byte[] heartbeat = worker.heartbeat();
    history.record(worker, receiver, heartbeat);
    if (worker.inboundPartitioned) {
      goToNextController(worker);
      worker.nextHeartbeatAt = time.now() + RETRY_DELAY_S;
    }
    Future<HttpResponse> response =
        receiver.controller.handleHeartbeat(WorkerCodec.read(heartbeat));
    double delayS = worker.heartbeatResponseDelayS;
    if (delayS == 0) {
      response.onSuccess(arrived -> receive(sent, arrived));
      return;
    }
    worker.nextHeartbeatAt = time.now() + delayS;
    response.onSuccess(
        held -> time.after(sent.sentAt + delayS - time.now(), () -> receive(sent, held)));
  }

  private void goToNextController(FakeWorker worker) {
    worker.controllerIndex = (worker.controllerIndex + 1) % nodes.size();
  }

  private void receive(SentHeartbeat sent, HttpResponse response) {
    FakeWorker worker = sent.worker;
    if (!isAwaited(sent)) {
      return;
    }
    boolean accepted = response.status() == 200;
    if (worker.inboundPartitioned) {
      worker.lostStartCount += accepted ? WorkerConnection.countStarts(response.body()) : 0;
    } else if (accepted) {
      renewLease(sent, response);
    } else {
      redirect(sent, response);
    }
  }

  private boolean isAwaited(SentHeartbeat sent) {
    FakeWorker worker = sent.worker;
    return sent.receiver.incarnation() == sent.receiverIncarnation
        && time.now() - sent.sentAt <= RESPONSE_TIMEOUT_S
        && !worker.partitioned
        && !worker.hung
        && worker.epoch == sent.epoch
        && !faults.separates(sent.receiver.settings.location(), worker.zone);
  }

  private void renewLease(SentHeartbeat sent, HttpResponse response) {
    FakeWorker worker = sent.worker;
    if (worker.handleHeartbeatResponse(response.body())) {
      double usedShare = (time.now() - worker.lastRenewed) / leaseS();
      minRemainingLeaseShare = Math.min(minRemainingLeaseShare, 1 - usedShare);
      worker.lastRenewed = sent.sentAt;
    }
  }

  private void redirect(SentHeartbeat sent, HttpResponse response) {
    FakeWorker worker = sent.worker;
    String leader =
        response.status() == REDIRECTED
            ? Json.parseObject(response.body()).path("steward").asText("")
            : "";
    worker.controllerChanges++;
    if (leader.isEmpty()) {
      goToNextController(worker);
      return;
    }
    worker.controllerIndex = Integer.parseInt(leader.substring(1));
    if (sent.redirects < MAX_REDIRECTS) {
      sendHeartbeat(worker, sent.redirects + 1);
    }
  }
}
