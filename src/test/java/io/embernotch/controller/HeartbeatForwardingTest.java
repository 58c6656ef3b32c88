package io.embernotch.controller;

import static io.embernotch.testkit.SimulatedCluster.job;
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
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Node;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Workers whose heartbeats a controller passes on, or keeps until there is a leader. */
class HeartbeatForwardingTest {
  private final SimulatedCluster world = new SimulatedCluster(3, 10);

  /** Machines that heartbeat to the given controller, with room for eight tasks each. */
  private void machines(int count, Node at) {
    for (int i = 0; i < count; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(world.cloud.bootS + 0.5);
    world.workers.values().forEach(w -> w.node = at.index);
    world.pass(2);
    world.workers.values().forEach(w -> w.moves = 0);
  }

  /** The same, each full of replicas, so that none is returned for being idle. */
  private void busy(int count, Node at) {
    machines(count, at);
    for (int i = 0; i < count; i++) {
      world.submit(0, job("j-10" + i, "standing", 8));
    }
    world.pass(4);
    assertThat(world.workers.values().stream().mapToInt(w -> w.alive().size()).sum())
        .isEqualTo(8 * count);
    assertThat(world.workers).hasSize(count);
  }

  private HttpResponse heartbeat(Node n, FakeWorker w) {
    return world.await(n.controller.handleHeartbeat(WorkerCodec.read(w.heartbeat())));
  }

  private long moves() {
    return world.workers.values().stream().mapToInt(w -> w.moves).sum();
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(world.broken()).isEmpty();
  }

  @Test
  void workersStayWhereTheyAreWhenTheLeaderChangesAndItsSuccessorKnowsThemAtOnce() {
    Node old = world.settle(2);
    machines(6, world.other(old));
    world.submit(0, job("j-1", "standing", 8));
    world.pass(4);
    assertThat(world.running("j-1")).hasSize(8);
    var before = world.running("j-1");
    old.kill();
    // Its key lasts three seconds more; then reports need not be waited for.
    world.pass(4);
    Node now = world.leader();
    assertThat(now).isNotNull().isNotSameAs(old);
    world.submit(now.index, job("j-2", "standing", 8));
    world.pass(1.5);
    assertThat(world.running("j-2")).hasSize(8);
    assertThat(world.running("j-1")).isEqualTo(before);
    world.pass(40);
    assertThat(moves()).isZero();
    assertThat(world.running("j-1")).isEqualTo(before);
  }

  @Test
  void withoutALeaderWorkersAreToldToStayAndNothingIsRenewed() {
    Node old = world.settle(2);
    Node follower = world.other(old);
    machines(1, follower);
    FakeWorker w = world.workers.firstEntry().getValue();
    world.nodes.forEach(n -> n.noState = n != old);
    old.kill();
    world.pass(4);
    HttpResponse a = heartbeat(follower, w);
    assertThat(a.status()).isEqualTo(200);
    assertThat(Json.parseObject(a.body()).has("baton")).isFalse();
    assertThat(moves()).isZero();
  }

  @Test
  void aNodeThatTheStoreRefusesSendsItsWorkersAwayOnceAnotherIsServed() {
    Node old = world.settle(2);
    Node refused = world.other(old);
    busy(2, refused);
    refused.noState = true;
    refused.noPeers = true;
    world.pass(12);
    // It can neither pass anything on nor learn who is leader.
    assertThat(world.workers.values()).allMatch(w -> w.node != refused.index);
    assertThat(world.cloud.deleted).isEmpty();
  }

  @Test
  void aLeaderOfTheFormerVersionIsNotPassedHeartbeats() {
    Node old = world.settle(2);
    world.nodes.forEach(Node::kill);
    world.pass(5);
    String key =
        "{\"when\":[],\"apply\":[{\"write\":\"steward\",\"v\":{\"node\":\"c9\",\"permit\":1}}]}";
    world.state.handle("POST", "/commit", key.getBytes(StandardCharsets.UTF_8));
    Node follower = world.other(old);
    follower.start();
    world.pass(1);
    world.boot("g8", "z1", true);
    world.pass(world.cloud.bootS + 0.3);
    HttpResponse a = heartbeat(follower, world.workers.firstEntry().getValue());
    assertThat(a.status()).isEqualTo(421);
    assertThat(Json.parseObject(a.body()).get("steward").asText()).isEqualTo("c9");
  }

  @Test
  void aLeaderThatNoWorkerReachesHearsThemThroughOthers() {
    Node old = world.settle(2);
    busy(4, old);
    old.noWorkers = true;
    world.pass(6);
    world.submit(0, job("j-3", "standing", 8));
    world.pass(35);
    // Direct commands fail, so the starts go out with the answers to heartbeats.
    assertThat(world.leader()).isSameAs(old);
    assertThat(world.running("j-3")).hasSize(8);
    assertThat(world.cloud.deleted).isEmpty();
  }

  @Test
  void aLeaderThatHearsMostMachinesNoMoreGivesWay() {
    Node old = world.settle(2);
    busy(10, world.other(old));
    world.nodes.forEach(n -> n.noWorkers = true);
    world.pass(18);
    assertThat(world.leader()).isNotSameAs(old);
    // What holds replicas is waited for; what is returned held nothing.
    assertThat(world.running("j-100")).hasSize(8);
  }

  @Test
  void moreThanHalfOfTheMachinesMayFallSilentAndTheLeaderGoesOn() {
    // A zone can hold more than half: each leader in turn then took itself for the one partitioned.
    Node old = world.settle(2);
    busy(10, old);
    world.workers.values().stream().limit(6).forEach(w -> w.cut = true);
    world.pass(29);
    assertThat(world.leader()).isSameAs(old);
    assertThat(world.cloud.deleted).hasSize(6);
  }

  @Test
  void beforeTheStoreIsReadNobodyIsKeptWaiting() {
    Node old = world.settle(2);
    busy(1, old);
    FakeWorker w = world.workers.firstEntry().getValue();
    Node next = world.other(old);
    world.state.slowLists = true;
    old.kill();
    world.pass(5);
    Node now =
        world.nodes.stream()
            .filter(n -> n.controller != null && !n.down && n != next)
            .findFirst()
            .orElseThrow();
    for (Node n : new Node[] {next, now}) {
      HttpResponse a = heartbeat(n, w);
      assertThat(a.status()).isEqualTo(200);
      assertThat(Json.parseObject(a.body()).has("baton")).isFalse();
      assertThat(world.poll(n.index, "j-77").status()).isIn(404, 503);
    }
    world.state.slowLists = false;
    world.pass(8);
    assertThat(world.leader()).isNotNull();
    // The pages that were read are not asked for again, and what was reported meanwhile is known.
    assertThat(Json.parseObject(heartbeat(now, w).body()).has("baton")).isTrue();
  }

  @Test
  void aFloodOfHeartbeatsLeavesTurnsToEverythingElse() {
    FakeTime time = new FakeTime();
    List<String> order = new ArrayList<>();
    HeartbeatQueue queue = new HeartbeatQueue(time, time, m -> order.add("report"), m -> {});
    time.after(0.0015, () -> order.add("commit"));
    for (int i = 0; i < 100; i++) {
      queue.add(reported(i, 1));
    }
    time.pass(0.1);
    assertThat(order).hasSize(101);
    assertThat(order.indexOf("commit")).isBetween(1, 20);
    // In a quiet moment one is taken as it comes.
    queue.add(reported(0, 2));
    assertThat(order).hasSize(102);
  }

  private static LeaderMessage.HeartbeatReceived reported(int machine, long seq) {
    return new LeaderMessage.HeartbeatReceived(
        new Heartbeat(
            "n-" + machine, "10.0.1.1:9000", "g8", "z1", false, 1, seq, 0, null, List.of()),
        0,
        Promise.promise());
  }

  /**
   * More came than could be taken; in the order they came all were answered after their workers had
   * gone on.
   */
  @Test
  void whereMoreHeartbeatsComeThanCanBeTakenOnlyThoseThatAreWaitedForAreTaken() {
    FakeTime time = new FakeTime();
    double[] at = new double[1000];
    List<Double> ages = new ArrayList<>();
    HeartbeatQueue queue =
        new HeartbeatQueue(
            time,
            (after, task) -> time.after(after + 0.1, task),
            m -> {
              int machine = Integer.parseInt(m.heartbeat().machine().substring(2));
              ages.add(time.now() - at[machine]);
            },
            m -> {});
    // A thousand workers, each again after four seconds and a second more; some 80 reports a second
    // can be taken.
    for (int round = 1; round <= 8; round++) {
      for (int i = 0; i < 1000; i++) {
        at[i] = time.now();
        queue.add(reported(i, round));
        queue.add(reported(i, round));
        time.pass(0.005);
      }
    }
    time.pass(10);
    assertThat(ages).hasSizeGreaterThan(2500);
    assertThat(ages).allMatch(a -> a <= 4);
    assertThat(ages.stream().sorted().toList().get(ages.size() / 2)).isLessThan(1);
  }

  /** It made a machine look alive to the next leader. */
  @Test
  void aCopyOfWhatWasReportedLongAgoIsNotHandedOn() {
    FakeTime time = new FakeTime();
    ControllerContext context =
        new ControllerContext(
            world.nodes.get(0).settings,
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
    heartbeatForwarder.handleHeartbeat(reported(1, 7).heartbeat());
    time.pass(40);
    heartbeatForwarder.handleHeartbeat(reported(1, 6).heartbeat());
    assertThat(heartbeatForwarder.recentHeartbeats()).isEmpty();
    heartbeatForwarder.handleHeartbeat(reported(1, 8).heartbeat());
    assertThat(heartbeatForwarder.recentHeartbeats()).hasSize(1);
  }

  @Test
  void aHeartbeatThatWasOvertakenStopsAndForgetsNothing() {
    Node n = world.settle(2);
    machines(1, n);
    FakeWorker w = world.workers.firstEntry().getValue();
    world.submit(0, job("j-4", "array", 2));
    world.pass(3);
    assertThat(w.alive()).hasSize(2);
    Heartbeat old = WorkerCodec.read(w.heartbeat());
    world.finish("j-4");
    world.pass(3);
    String answer = new String(world.await(n.controller.handleHeartbeat(old)).body());
    assertThat(answer).contains("\"orders\":[]");
  }
}
