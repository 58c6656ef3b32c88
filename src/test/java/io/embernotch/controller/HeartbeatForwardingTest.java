package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.codec.Json;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.http.HttpResponse;
import io.embernotch.leader.HeartbeatQueue;
import io.embernotch.leader.LeaderMessage;
import io.embernotch.model.Heartbeat;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Heartbeats that a controller forwards to the leader, or parks until a leader is known. */
class HeartbeatForwardingTest extends ClusterTest {
  HeartbeatForwardingTest() {
    super(new SimulatedCluster(3, 10));
  }

  /** Boots machines with capacity for eight tasks each, which send heartbeats to a controller. */
  private void bootMachines(int count, ControllerNode controller) {
    for (int i = 0; i < count; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(cluster.cloud.bootS + 0.5);
    cluster.workers.values().forEach(worker -> worker.controllerIndex = controller.index);
    cluster.advance(2);
    cluster.workers.values().forEach(worker -> worker.controllerChanges = 0);
  }

  /** Boots machines and fills each with replicas, so that none is scaled in as idle. */
  private void bootBusyMachines(int count, ControllerNode controller) {
    bootMachines(count, controller);
    for (int i = 0; i < count; i++) {
      cluster.submit(0, job("j-10" + i, "standing", 8));
    }
    cluster.advance(4);
    assertThat(
            cluster.workers.values().stream()
                .mapToInt(worker -> worker.runningTasks().size())
                .sum())
        .isEqualTo(8 * count);
    assertThat(cluster.workers).hasSize(count);
  }

  private HttpResponse heartbeat(ControllerNode node, FakeWorker worker) {
    return cluster.await(node.controller.handleHeartbeat(WorkerCodec.read(worker.heartbeat())));
  }

  private long controllerChanges() {
    return cluster.workers.values().stream().mapToInt(worker -> worker.controllerChanges).sum();
  }

  @Test
  void workersStayWithTheirControllerAcrossFailover() {
    ControllerNode leader = cluster.awaitLeader(2);
    bootMachines(6, cluster.otherNode(leader));
    cluster.submit(0, job("j-1", "standing", 8));
    cluster.advance(4);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    var before = cluster.runningTasks("j-1");
    leader.kill();
    // The leader's key expires after three seconds. The next leader need not wait for heartbeats
    // then, since the other controllers forward the recent ones to it.
    cluster.advance(4);
    ControllerNode successor = cluster.leader();
    assertThat(successor).isNotNull().isNotSameAs(leader);
    cluster.submit(successor.index, job("j-2", "standing", 8));
    cluster.advance(1.5);
    assertThat(cluster.runningTasks("j-2")).hasSize(8);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    cluster.advance(40);
    assertThat(controllerChanges()).isZero();
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }

  @Test
  void withoutALeaderWorkersStayAndNoLeaseIsRenewed() {
    ControllerNode leader = cluster.awaitLeader(2);
    ControllerNode follower = cluster.otherNode(leader);
    bootMachines(1, follower);
    FakeWorker worker = cluster.workers.firstEntry().getValue();
    cluster.nodes.forEach(node -> node.storeUnavailable = node != leader);
    leader.kill();
    cluster.advance(4);
    HttpResponse response = heartbeat(follower, worker);
    assertThat(response.status()).isEqualTo(200);
    assertThat(Json.parseObject(response.body()).has("baton")).isFalse();
    assertThat(controllerChanges()).isZero();
  }

  @Test
  void nodeWithoutStoreRedirectsItsWorkers() {
    ControllerNode leader = cluster.awaitLeader(2);
    ControllerNode isolated = cluster.otherNode(leader);
    bootBusyMachines(2, isolated);
    isolated.storeUnavailable = true;
    isolated.peersUnreachable = true;
    cluster.advance(12);
    // The isolated node can neither forward heartbeats nor learn which node is leader.
    assertThat(cluster.workers.values())
        .allMatch(worker -> worker.controllerIndex != isolated.index);
    assertThat(cluster.cloud.deleted).isEmpty();
  }

  @Test
  void heartbeatsAreNotForwardedToALeaderOfThePreviousVersion() {
    ControllerNode leader = cluster.awaitLeader(2);
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(5);
    String key =
        "{\"when\":[],\"apply\":[{\"write\":\"steward\",\"v\":{\"node\":\"c9\",\"permit\":1}}]}";
    cluster.store.handle("POST", "/commit", key.getBytes(StandardCharsets.UTF_8));
    ControllerNode follower = cluster.otherNode(leader);
    follower.start();
    cluster.advance(1);
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(cluster.cloud.bootS + 0.3);
    HttpResponse response = heartbeat(follower, cluster.workers.firstEntry().getValue());
    assertThat(response.status()).isEqualTo(421);
    assertThat(Json.parseObject(response.body()).get("steward").asText()).isEqualTo("c9");
  }

  @Test
  void leaderUnreachableForWorkersGetsForwardedHeartbeats() {
    ControllerNode leader = cluster.awaitLeader(2);
    bootBusyMachines(4, leader);
    leader.workersUnreachable = true;
    cluster.advance(6);
    cluster.submit(0, job("j-3", "standing", 8));
    cluster.advance(35);
    // Direct commands fail, so starts are sent with the responses to heartbeats.
    assertThat(cluster.leader()).isSameAs(leader);
    assertThat(cluster.runningTasks("j-3")).hasSize(8);
    assertThat(cluster.cloud.deleted).isEmpty();
  }

  @Test
  void leaderWithoutHeartbeatsOfMostMachinesResigns() {
    ControllerNode leader = cluster.awaitLeader(2);
    bootBusyMachines(10, cluster.otherNode(leader));
    cluster.nodes.forEach(node -> node.workersUnreachable = true);
    cluster.advance(18);
    assertThat(cluster.leader()).isNotSameAs(leader);
    // The next leader waits for machines with replicas; only machines without any are scaled in.
    assertThat(cluster.runningTasks("j-100")).hasSize(8);
  }

  @Test
  void leaderStaysWhenMoreThanHalfOfTheMachinesArePartitioned() {
    // One zone can contain more than half of the machines. When it is lost, each leader in turn
    // must not conclude that it is partitioned itself.
    ControllerNode leader = cluster.awaitLeader(2);
    bootBusyMachines(10, leader);
    cluster.workers.values().stream().limit(6).forEach(worker -> worker.partitioned = true);
    cluster.advance(29);
    assertThat(cluster.leader()).isSameAs(leader);
    assertThat(cluster.cloud.deleted).hasSize(6);
  }

  @Test
  void requestsAreAnsweredBeforeTheStoreIsRead() {
    ControllerNode leader = cluster.awaitLeader(2);
    bootBusyMachines(1, leader);
    FakeWorker worker = cluster.workers.firstEntry().getValue();
    ControllerNode next = cluster.otherNode(leader);
    cluster.store.listsUnanswered = true;
    leader.kill();
    cluster.advance(5);
    ControllerNode successor =
        cluster.nodes.stream()
            .filter(node -> node.controller != null && !node.down && node != next)
            .findFirst()
            .orElseThrow();
    for (ControllerNode node : new ControllerNode[] {next, successor}) {
      HttpResponse response = heartbeat(node, worker);
      assertThat(response.status()).isEqualTo(200);
      assertThat(Json.parseObject(response.body()).has("baton")).isFalse();
      assertThat(cluster.poll(node.index, "j-77").status()).isIn(404, 503);
    }
    cluster.store.listsUnanswered = false;
    cluster.advance(8);
    assertThat(cluster.leader()).isNotNull();
    // Pages that were read are not requested again, and heartbeats received meanwhile are used.
    assertThat(Json.parseObject(heartbeat(successor, worker).body()).has("baton")).isTrue();
  }

  @Test
  void floodOfHeartbeatsDoesNotStarveOtherTasks() {
    FakeTime time = new FakeTime();
    List<String> order = new ArrayList<>();
    HeartbeatQueue queue =
        new HeartbeatQueue(time, time, message -> order.add("heartbeat"), message -> {});
    time.after(0.0015, () -> order.add("commit"));
    for (int i = 0; i < 100; i++) {
      queue.add(heartbeatReceived(i, 1));
    }
    time.advance(0.1);
    assertThat(order).hasSize(101);
    assertThat(order.indexOf("commit")).isBetween(1, 20);
    // An idle queue handles a heartbeat immediately.
    queue.add(heartbeatReceived(0, 2));
    assertThat(order).hasSize(102);
  }

  private static LeaderMessage.HeartbeatReceived heartbeatReceived(int machine, long seq) {
    return new LeaderMessage.HeartbeatReceived(
        new Heartbeat(
            "n-" + machine, "10.0.1.1:9000", "g8", "z1", false, 1, seq, 0, null, List.of()),
        0,
        Promise.promise());
  }

  /**
   * Under overload, heartbeats handled in order of arrival would all be answered after their
   * workers had timed out.
   */
  @Test
  void overloadedQueueHandlesOnlyHeartbeatsWhoseWorkersStillWait() {
    FakeTime time = new FakeTime();
    double[] sentAt = new double[1000];
    List<Double> ages = new ArrayList<>();
    HeartbeatQueue queue =
        new HeartbeatQueue(
            time,
            (after, task) -> time.after(after + 0.1, task),
            message -> {
              int machine = Integer.parseInt(message.heartbeat().machine().substring(2));
              ages.add(time.now() - sentAt[machine]);
            },
            message -> {});
    // Each of 1000 workers sends twice in a round of five seconds: a timeout of four seconds and
    // one more. About 80 heartbeats per second can be processed.
    for (int round = 1; round <= 8; round++) {
      for (int i = 0; i < 1000; i++) {
        sentAt[i] = time.now();
        queue.add(heartbeatReceived(i, round));
        queue.add(heartbeatReceived(i, round));
        time.advance(0.005);
      }
    }
    time.advance(10);
    assertThat(ages).hasSizeGreaterThan(2500);
    assertThat(ages).allMatch(age -> age <= 4);
    assertThat(ages.stream().sorted().toList().get(ages.size() / 2)).isLessThan(1);
  }

  /** A forwarded copy would make a lost machine appear live to the next leader. */
  @Test
  void staleCopyOfAHeartbeatIsNotForwarded() {
    FakeTime time = new FakeTime();
    ControllerContext context =
        new ControllerContext(
            cluster.nodes.get(0).settings,
            OperatorSettings.DEFAULTS,
            time,
            time,
            time,
            EventLoopProfile.NONE,
            null,
            null,
            null,
            () -> "x",
            null);
    HeartbeatForwarder heartbeatForwarder = new HeartbeatForwarder(context, null);
    heartbeatForwarder.leaderChanged("c1", 1, false);
    heartbeatForwarder.handleHeartbeat(heartbeatReceived(1, 7).heartbeat());
    time.advance(40);
    heartbeatForwarder.handleHeartbeat(heartbeatReceived(1, 6).heartbeat());
    assertThat(heartbeatForwarder.recentHeartbeats()).isEmpty();
    heartbeatForwarder.handleHeartbeat(heartbeatReceived(1, 8).heartbeat());
    assertThat(heartbeatForwarder.recentHeartbeats()).hasSize(1);
  }

  @Test
  void staleHeartbeatCausesNoStopAndNoReap() {
    ControllerNode node = cluster.awaitLeader(2);
    bootMachines(1, node);
    FakeWorker worker = cluster.workers.firstEntry().getValue();
    cluster.submit(0, job("j-4", "array", 2));
    cluster.advance(3);
    assertThat(worker.runningTasks()).hasSize(2);
    Heartbeat staleHeartbeat = WorkerCodec.read(worker.heartbeat());
    cluster.completeTasks("j-4");
    cluster.advance(3);
    String body =
        new String(
            cluster.await(node.controller.handleHeartbeat(staleHeartbeat)).body(),
            StandardCharsets.UTF_8);
    assertThat(body).contains("\"orders\":[]");
  }
}
