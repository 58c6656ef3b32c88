package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Two troubles that meet, one test for each row of {@code docs/design/meetings.md}, in its order.
 */
class FaultCombinationsTest {
  private FaultScenario scenario = new FaultScenario(new SimulatedCluster(3));
  private SimulatedCluster cluster = scenario.cluster;
  private RecordedAnswers answers = scenario.answers;

  private double cancelS() {
    return scenario.cancelS();
  }

  private double leaseS() {
    return scenario.leaseS();
  }

  /** Many more machines and a larger limit than most of these need. */
  private void large() {
    scenario = FaultScenario.large();
    cluster = scenario.cluster;
    answers = scenario.answers;
  }

  private void allIsWell() {
    scenario.verifyRecovery();
  }

  /**
   * Row 1. The team's limit is 24. The leader is the only controller of the zone, so that a
   * cancellation is told while what can't be asked still runs: until that is over it counts.
   */
  @ParameterizedTest
  @CsvSource({"cut", "hung", "deaf"})
  void aTeamAtItsLimitWhileLeadershipMovesAndMachinesCannotBeAsked(String how) {
    cluster.awaitLeader(3);
    cluster.nodes.subList(0, 2).forEach(ControllerNode::kill);
    cluster.advance(8);
    cluster.nodes.subList(0, 2).forEach(ControllerNode::start);
    cluster.advance(3);
    answers.accepted.addAll(List.of("j-1", "j-2", "j-3"));
    for (String json : List.of(job("j-1", "array", 16), job("j-2", "array", 8))) {
      assertThat(cluster.submit(0, json.replace("\"room\":null", "\"room\":\"z2\"")).status())
          .isEqualTo(201);
    }
    cluster.advance(12);
    assertThat(cluster.submit(1, job("j-3", "array", 24)).status()).isEqualTo(201);
    List<FakeWorker> unreachable =
        cluster.runningTasks("j-2").values().stream().distinct().toList();
    assertThat(unreachable).isNotEmpty();
    cluster.cloud.down = true;
    unreachable.forEach(
        w -> {
          w.partitioned = how.equals("cut");
          w.hung = how.equals("hung");
          w.inboundPartitioned = how.equals("deaf");
        });
    for (int s = 0; s < 30; s++) {
      cluster.cancelAsync(2, "j-2");
      if (s == 8) {
        assertThat(cluster.phase(2, "j-2")).isEqualTo("cancelled");
        cluster.nodes.get(2).kill();
        cluster.time.after(15, cluster.nodes.get(2)::start);
      }
      cluster.advance(1);
    }
    cluster.cloud.down = false;
    cluster.advance(cancelS());
    allIsWell();
    assertThat(cluster.runningTasks("j-3").size() + cluster.runningTasks("j-1").size())
        .isEqualTo(24);
  }

  /**
   * Row 2. What a worker had said before the new leader had it stopped arrives there afterwards.
   */
  @Test
  void aHeartbeatIsHeldBackUntilTheNextLeaderHasActed() {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "array", 4);
    cluster.advance(12);
    Map<String, FakeWorker> on = cluster.runningTasks("j-1");
    List<byte[]> before = on.values().stream().distinct().map(FakeWorker::heartbeat).toList();
    leader.kill();
    cluster.advance(8);
    leader.start();
    ControllerNode next = cluster.awaitLeader(4);
    // Its own stops and what has ended since.
    answers.submit(next.index, "j-2", "array", 4);
    cluster.advance(4);
    answers.cancel(next.index, "j-1");
    cluster.advance(8);
    assertThat(cluster.runningTasks("j-2").values()).containsAnyElementsOf(on.values());
    Map<String, FakeWorker> after = cluster.runningTasks("j-2");
    before.forEach(r -> cluster.nodes.forEach(n -> cluster.deliverHeartbeat(n, r)));
    cluster.advance(1);
    before.forEach(r -> cluster.deliverHeartbeat(next, r));
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-2")).hasSize(4).isEqualTo(after);
    assertThat(scenario.startCount("j-2")).isEqualTo(4);
    allIsWell();
  }

  /** Row 3. */
  @ParameterizedTest
  @CsvSource({"0.4", "1.4", "2.5"})
  void aSlowStateServiceWhileUsersCancelAndAsk(double slowS) {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    for (int i = 0; i < 6; i++) {
      answers.submit(i % 3, "j-" + i, i % 2 == 0 ? "array" : "standing", 3);
    }
    cluster.advance(12);
    cluster.faults.storeLatencyS = slowS;
    for (int s = 0; s < 80; s++) {
      cluster.cancelAsync(s % 3, "j-" + s % 4);
      answers.poll((s + 1) % 3, "j-" + s % 6);
      if (s == 40) {
        leader.kill();
      }
      cluster.advance(0.5);
    }
    allIsWell();
    assertThat(cluster.runningTasks("j-5")).hasSize(3);
  }

  /** Row 4. Users reach the leader that is partitioned, too, and ask it. */
  @Test
  void aLeaderWithWorkersAndUsersOnlyWhileJobsAreCancelledThroughTheNextOne() {
    large();
    ControllerNode former = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "array", 8);
    answers.submit(0, "j-2", "standing", 8);
    cluster.advance(12);
    cluster.workers.values().forEach(w -> w.controllerIndex = former.index);
    former.storeUnavailable = true;
    former.peersUnreachable = true;
    double until = cluster.time.now() + former.settings.gracePeriodS() + leaseS() + 10;
    while (cluster.time.now() < until) {
      cluster.cancelAsync(cluster.otherNode(former).index, "j-1");
      cluster.cancelAsync(former.index, "j-1");
      answers.poll(former.index, "j-1");
      answers.poll(cluster.otherNode(former).index, "j-1");
      cluster.advance(1);
    }
    assertThat(cluster.phase(cluster.otherNode(former).index, "j-1")).isEqualTo("cancelled");
    allIsWell();
    assertThat(cluster.runningTasks("j-2")).hasSize(8);
  }

  /** Row 5. */
  @Test
  void jobsBoundToAZoneLoseMachines() {
    large();
    cluster.awaitLeader(3);
    String bound = job("j-1", "array", 12).replace("\"room\":null", "\"room\":\"z2\"");
    String one = job("j-2", "group", 12).replace("\"one_zone\":false", "\"one_zone\":true");
    String array = job("j-3", "array", 12).replace("\"one_zone\":false", "\"one_zone\":true");
    for (String j : List.of(bound, one, array)) {
      assertThat(cluster.submit(0, j).status()).isEqualTo(201);
    }
    answers.accepted.addAll(List.of("j-1", "j-2", "j-3"));
    cluster.advance(15);
    ControllerNode leader = cluster.leader();
    String zone = scenario.machinesOf("j-3").get(0).zone;
    cluster.cloud.outOfCapacity = true;
    for (String ref : List.of("j-1", "j-2", "j-3")) {
      List<FakeWorker> on = cluster.runningTasks(ref).values().stream().distinct().toList();
      on.get(0).partitioned = true;
      on.get(on.size() - 1).inboundPartitioned = true;
    }
    cluster.advance(3);
    leader.kill();
    // Where they may not go there is room, and nowhere else any machine to be had.
    for (int i = 0; i < 4; i++) {
      cluster.boot("g8", zone.equals("z1") ? "z2" : "z1", true);
    }
    cluster.advance(20);
    leader.start();
    for (int i = 0; i < 4; i++) {
      cluster.boot("g8", zone.equals("z1") ? "z2" : "z1", true);
    }
    cluster.advance(20);
    cluster.cloud.outOfCapacity = false;
    allIsWell();
    assertThat(cluster.runningTasks("j-1")).hasSize(12);
    assertThat(cluster.runningTasks("j-2")).hasSize(12);
    assertThat(cluster.runningTasks("j-3")).hasSize(12);
  }

  /** Row 6. */
  @ParameterizedTest
  @CsvSource({"cut", "deaf", "hung"})
  void aLeaderEndsWhileMachinesWithLongTasksCannotBeReachedOrDoNotHear(String how) {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 12);
    answers.submit(0, "j-2", "array", 12);
    cluster.advance(15);
    List<FakeWorker> hit = cluster.runningTasks("j-2").values().stream().distinct().toList();
    hit.forEach(
        w -> {
          w.partitioned = how.equals("cut");
          w.inboundPartitioned = how.equals("deaf");
          w.hung = how.equals("hung");
        });
    leader.kill();
    cluster.cloud.down = true;
    cluster.advance(leaseS() * 0.6);
    leader.start();
    hit.forEach(
        w -> {
          w.partitioned = w.inboundPartitioned = false;
          w.resume();
        });
    cluster.advance(5);
    allIsWell();
    assertThat(cluster.runningTasks("j-1")).hasSize(12);
    assertThat(cluster.runningTasks("j-2")).hasSize(12);
  }

  /** Row 7. */
  @ParameterizedTest
  @CsvSource({"0.2", "6"})
  void tenLeadersInTwoMinutesAnOutageAmongThem(double backS) {
    large();
    cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 8);
    answers.submit(0, "j-2", "array", 8);
    answers.submit(0, "j-3", "group", 8);
    cluster.advance(12);
    Map<String, FakeWorker> before = cluster.runningTasks("j-1");
    for (int i = 0; i < 10; i++) {
      ControllerNode leader = cluster.leader();
      if (i == 4) {
        cluster.store.outage = true;
      }
      if (i == 6) {
        cluster.store.endOutage();
      }
      if (leader != null) {
        leader.kill();
        cluster.time.after(backS, leader::start);
      }
      for (int s = 0; s < 12; s++) {
        // The user comes again until told.
        cluster.cancelAsync((i + s) % 3, "j-2");
        cluster.advance(1);
      }
    }
    allIsWell();
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    assertThat(cluster.runningTasks("j-3")).hasSize(8);
  }

  /** Row 8. */
  @ParameterizedTest
  @CsvSource({"array", "group"})
  void tasksThatEndFarApartAcrossAChange(String shape) {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", shape, 3);
    cluster.advance(12);
    Map<String, FakeWorker> on = cluster.runningTasks("j-1");
    cluster.faults.commitDelivery = Delivery.LOST;
    on.get("j-1/0").exitTask("j-1/0", "done");
    cluster.advance(3);
    leader.kill();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.advance(15);
    leader.start();
    answers.poll(0, "j-1");
    if (shape.equals("array")) {
      assertThat(cluster.phase(cluster.awaitLeader(1).index, "j-1")).isEqualTo("running");
    }
    cluster.advance(20);
    for (String t : List.of("j-1/1", "j-1/2")) {
      cluster
          .runningTasks("j-1")
          .forEach(
              (task, w) -> {
                if (task.equals(t)) {
                  w.exitTask(t, "done");
                }
              });
      cluster.advance(8);
    }
    answers.poll(1, "j-1");
    assertThat(cluster.phase(1, "j-1")).isEqualTo("done");
    allIsWell();
  }

  /** Row 9. */
  @Test
  void workersThatReachNoControllerWhileCommandsReachThem() {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 8);
    answers.submit(0, "j-2", "array", 16);
    cluster.advance(12);
    List<FakeWorker> mute = cluster.runningTasks("j-2").values().stream().distinct().toList();
    mute.forEach(w -> w.outboundPartitioned = true);
    cluster.advance(4);
    leader.kill();
    cluster.advance(6);
    leader.start();
    for (int s = 0; s < 30; s++) {
      cluster.cancelAsync(s % 3, "j-2");
      cluster.advance(1);
    }
    assertThat(cluster.phase(0, "j-2")).isEqualTo("cancelled");
    allIsWell();
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
  }

  /** Row 10. */
  @ParameterizedTest
  @CsvSource({"25", "32", "90"})
  void allControllersAreAwayForAboutALeaseAndLonger(int awayS) {
    large();
    cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 8);
    answers.submit(0, "j-2", "array", 8);
    cluster.advance(12);
    cluster.cancelAsync(0, "j-2");
    cluster.advance(0.004);
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.advance(awayS);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.nodes.forEach(ControllerNode::start);
    cluster.advance(4);
    cluster.deliverDelayed();
    cluster.cancelAsync(1, "j-2");
    allIsWell();
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
  }

  /** Row 11. Node 2 is in z2. */
  @ParameterizedTest
  @CsvSource({"33", "60", "100"})
  void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease(int cutS) {
    large();
    cluster.awaitLeader(3);
    String spread = job("j-1", "standing", 6).replace("\"scatter\":false", "\"scatter\":true");
    assertThat(cluster.submit(0, spread).status()).isEqualTo(201);
    String there = job("j-2", "array", 6).replace("\"room\":null", "\"room\":\"z2\"");
    assertThat(cluster.submit(0, there).status()).isEqualTo(201);
    answers.accepted.addAll(List.of("j-1", "j-2"));
    cluster.advance(12);
    cluster.faults.partitionedZone = "z2";
    for (int s = 0; s < cutS; s++) {
      // Before anybody can have noticed, and for as long as it lasts.
      cluster.cancelAsync(s % 2, "j-2");
      if (s == 20) {
        cluster.nodes.get(s % 2).kill();
      }
      cluster.advance(1);
    }
    allIsWell();
    assertThat(cluster.runningTasks("j-1")).hasSize(6);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
  }

  /**
   * Row 12. Commands are on the way while the machine hangs, or for seconds, and it then goes on.
   */
  @ParameterizedTest
  @CsvSource({"2", "6", "20", "28"})
  void aCommandOrItsAnswerIsHeldUpAndTheMachineGoesOn(int heldS) {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "array", 8);
    cluster.advance(12);
    List<FakeWorker> all = List.copyOf(cluster.workers.values());
    answers.submit(0, "j-2", "standing", 4);
    answers.submit(0, "j-3", "array", 4);
    all.forEach(w -> w.hung = true);
    cluster.advance(1);
    cluster.cancelAsync(leader.index, "j-3");
    cluster.cancelAsync(leader.index, "j-1");
    cluster.advance(heldS);
    all.forEach(FakeWorker::resume);
    cluster.advance(3);
    cluster.cancelAsync(leader.index, "j-3");
    cluster.cancelAsync(leader.index, "j-1");
    allIsWell();
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
  }

  /** Row 13. */
  @ParameterizedTest
  @CsvSource({
    "-0.3,false",
    "0,false",
    "0.05,false",
    "0.5,false",
    "-0.3,true",
    "0,true",
    "0.05,true",
    "0.5,true"
  })
  void cancellationsAtTheMomentOfARefusalAndASecondLaterTheOutage(double atS, boolean leaderEnds) {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    for (int i = 0; i < 6; i++) {
      answers.submit(0, "j-" + i, List.of("array", "group", "standing").get(i % 3), 4);
    }
    cluster.advance(12);
    double refusedAt = cluster.time.now() + 1;
    cluster.time.after(1, () -> leader.storeUnavailable = true);
    cluster.time.after(2, () -> cluster.store.outage = true);
    for (int i = 0; i < 4; i++) {
      String ref = "j-" + i;
      int node = i % 3;
      cluster.time.after(1 + atS, () -> cluster.cancelAsync(node, ref));
    }
    cluster.time.after(15, () -> leader.storeUnavailable = false);
    if (leaderEnds) {
      // What it has told must not have been known to it alone.
      cluster.time.after(8, leader::kill);
      cluster.time.after(40, leader::start);
    }
    cluster.advance(1.25 * cancelS());
    assertThat(cluster.time.now()).isGreaterThan(refusedAt + cancelS());
    cluster.store.endOutage();
    for (int s = 0; s < 20; s++) {
      cluster.cancelAsync(s % 3, "j-" + s % 4);
      cluster.advance(1);
    }
    allIsWell();
    assertThat(cluster.runningTasks("j-5")).hasSize(4);
  }

  /** Row 14. */
  @Test
  void moreWorkThanRoomUrgentAndNotOverSlowLinks() {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    for (int i = 0; i < 6; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(6);
    cluster.cloud.outOfCapacity = true;
    answers.submit(0, "j-1", "array", 100);
    cluster.advance(6);
    cluster.faults.storeLatencyS = 0.3;
    String urgent = job("j-2", "standing", 12).replace("standard", "production");
    assertThat(cluster.submit(0, urgent).status()).isEqualTo(201);
    String gang = job("j-3", "group", 8).replace("standard", "high");
    assertThat(cluster.submit(1, gang).status()).isEqualTo(201);
    cluster.advance(3);
    leader.kill();
    cluster.advance(8);
    leader.start();
    cluster.advance(15);
    // Nothing has come free by itself.
    assertThat(cluster.runningTasks("j-2")).hasSize(12);
    for (int s = 0; s < 60; s++) {
      cluster.completeTasks("j-1");
      cluster.advance(2);
    }
    answers.accepted.addAll(List.of("j-2", "j-3"));
    allIsWell();
    assertThat(cluster.runningTasks("j-2")).hasSize(12);
    assertThat(cluster.runningTasks("j-3")).hasSize(8);
  }

  /** Row 15. */
  @ParameterizedTest
  @CsvSource({"0.3,1", "0.3,2", "0.6,3", "0.6,4"})
  void transactionsAreCarriedOutLateAfterNewerOnesOfTheSameController(double share, int seed) {
    large();
    cluster.faults.random = new java.util.SplittableRandom(seed);
    cluster.awaitLeader(3);
    cluster.faults.delayedCommitShare = share;
    for (int s = 0; s < 120; s++) {
      if (s % 6 == 0) {
        answers.submit(s % 3, "j-" + s, List.of("array", "group", "standing").get(s / 6 % 3), 3);
      }
      if (s % 7 == 3) {
        cluster.cancelAsync(s % 3, "j-" + (s / 12 * 6));
      }
      if (s % 5 == 2) {
        cluster.completeTasks("j-" + (s / 10 * 6));
      }
      if (s == 50) {
        ControllerNode leader = cluster.leader();
        if (leader != null) {
          leader.kill();
          cluster.time.after(0.2, leader::start);
        }
      }
      if (s == 80) {
        cluster.store.outage = true;
      }
      if (s == 90) {
        cluster.store.endOutage();
      }
      for (String ref : answers.accepted) {
        answers.poll(s % 3, ref);
      }
      cluster.advance(1);
    }
    cluster.faults.delayedCommitShare = 0;
    cluster.advance(15);
    allIsWell();
  }

  /** Row 16. */
  @ParameterizedTest
  @CsvSource({"0.2", "0.9", "5"})
  void handOverAndBackAllEndAndOneReturns(double backS) {
    large();
    ControllerNode first = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 8);
    answers.submit(0, "j-2", "array", 8);
    cluster.advance(12);
    Map<String, FakeWorker> before = cluster.runningTasks("j-1");
    first.storeUnavailable = true;
    cluster.advance(5);
    ControllerNode second = cluster.awaitLeader(1);
    first.storeUnavailable = false;
    second.kill();
    cluster.advance(backS);
    second.start();
    cluster.cancelAsync(first.index, "j-2");
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(backS);
    first.start();
    cluster.awaitLeader(8);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    for (int s = 0; s < 10; s++) {
      cluster.cancelAsync(first.index, "j-2");
      cluster.advance(1);
    }
    allIsWell();
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
  }

  private void endFirstTask(String ref) {
    String task = ref + "/0";
    FakeWorker on = cluster.runningTasks(ref).get(task);
    if (on != null) {
      on.exitTask(task, "done");
    }
  }

  /** Row 17. At every moment around the end, as it travels from the worker to the store. */
  @Test
  void aCancellationAQuestionOrARepeatMeetsTheEndOfAJobsLastTask() {
    large();
    cluster.awaitLeader(3);
    int n = 0;
    // A tenth of a second apart around all of it, and a millisecond apart where the stop and the
    // end cross.
    List<Double> moments = new ArrayList<>();
    for (int i = -3; i < 16; i++) {
      moments.add(0.1 * i);
    }
    for (int i = -20; i <= 12; i++) {
      moments.add(0.0005 * i + 0.0002);
    }
    for (double at : moments) {
      for (String shape : List.of("array", "group")) {
        String ref = "j-" + n++;
        answers.submit(n % 3, ref, shape, 2);
        cluster.advance(n == 1 ? 12 : 1.5);
        assertThat(cluster.runningTasks(ref)).hasSize(2);
        int node = n % 3;
        boolean cancels = n % 4 < 2 || Math.abs(at) < 0.05;
        if (shape.equals("array")) {
          cluster.time.after(0.1, () -> endFirstTask(ref));
        }
        cluster.time.after(0.3, () -> cluster.completeTasks(ref));
        cluster.time.after(
            0.3 + at,
            () -> {
              if (cancels) {
                cluster.cancelAsync(node, ref);
              }
            });
        cluster.advance(0.3 + at);
        answers.poll((node + 1) % 3, ref);
        assertThat(cluster.submit((node + 2) % 3, job(ref, shape, 2)).status()).isEqualTo(200);
        cluster.advance(4);
        answers.poll(node, ref);
        assertThat(cluster.phase(node, ref)).isIn("done", "cancelled");
      }
    }
    allIsWell();
  }

  /** Row 18. Of another session, and of another attempt of the same task on the same machine. */
  @Test
  void oldHeartbeatsArriveAfterNewerOnes() {
    large();
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "array", 8);
    answers.submit(0, "j-2", "standing", 4);
    cluster.advance(12);
    cluster.faults.duplicatedHeartbeatShare = 0.3;
    FakeWorker w = cluster.runningTasks("j-1").get("j-1/0");
    List<byte[]> first = List.copyOf(cluster.heartbeatsOf(w.name));
    w.exitTask("j-1/0", "error");
    cluster.advance(10);
    Map<String, FakeWorker> running = cluster.runningTasks("j-1");
    first.forEach(r -> cluster.deliverHeartbeat(leader, r));
    cluster.advance(2);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(running);
    w.partitioned = true;
    cluster.advance(leaseS() + 3);
    w.partitioned = false;
    cluster.advance(3);
    first.forEach(r -> cluster.nodes.forEach(n -> cluster.deliverHeartbeat(n, r)));
    leader.kill();
    cluster.advance(6);
    first.forEach(r -> cluster.nodes.forEach(n -> cluster.deliverHeartbeat(n, r)));
    leader.start();
    cluster.advance(10);
    allIsWell();
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
  }
}
