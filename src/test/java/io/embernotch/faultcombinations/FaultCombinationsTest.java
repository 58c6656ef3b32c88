package io.embernotch.faultcombinations;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
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
  private SimulatedCluster world = scenario.world;
  private RecordedAnswers told = scenario.told;

  private double cancelS() {
    return scenario.cancelS();
  }

  private double leaseS() {
    return scenario.leaseS();
  }

  /** Many more machines and a larger limit than most of these need. */
  private void large() {
    scenario = FaultScenario.large();
    world = scenario.world;
    told = scenario.told;
  }

  private void allIsWell() {
    scenario.allIsWell();
  }

  /**
   * Row 1. The team's limit is 24. The leader is the only controller of the zone, so that a
   * cancellation is told while what can't be asked still runs: until that is over it counts.
   */
  @ParameterizedTest
  @CsvSource({"cut", "hung", "deaf"})
  void aTeamAtItsLimitWhileLeadershipMovesAndMachinesCannotBeAsked(String how) {
    world.settle(3);
    world.nodes.subList(0, 2).forEach(Node::kill);
    world.pass(8);
    world.nodes.subList(0, 2).forEach(Node::start);
    world.pass(3);
    told.accepted.addAll(List.of("j-1", "j-2", "j-3"));
    for (String json : List.of(job("j-1", "array", 16), job("j-2", "array", 8))) {
      assertThat(world.submit(0, json.replace("\"room\":null", "\"room\":\"z2\"")).status())
          .isEqualTo(201);
    }
    world.pass(12);
    assertThat(world.submit(1, job("j-3", "array", 24)).status()).isEqualTo(201);
    List<FakeWorker> unreachable = world.running("j-2").values().stream().distinct().toList();
    assertThat(unreachable).isNotEmpty();
    world.cloud.down = true;
    unreachable.forEach(
        w -> {
          w.cut = how.equals("cut");
          w.hung = how.equals("hung");
          w.deaf = how.equals("deaf");
        });
    for (int s = 0; s < 30; s++) {
      world.askCancel(2, "j-2");
      if (s == 8) {
        assertThat(world.phase(2, "j-2")).isEqualTo("cancelled");
        world.nodes.get(2).kill();
        world.time.after(15, world.nodes.get(2)::start);
      }
      world.pass(1);
    }
    world.cloud.down = false;
    world.pass(cancelS());
    allIsWell();
    assertThat(world.running("j-3").size() + world.running("j-1").size()).isEqualTo(24);
  }

  /**
   * Row 2. What a worker had said before the new leader had it stopped arrives there afterwards.
   */
  @Test
  void aHeartbeatIsHeldBackUntilTheNextLeaderHasActed() {
    large();
    Node leader = world.settle(3);
    told.submit(0, "j-1", "array", 4);
    world.pass(12);
    Map<String, FakeWorker> on = world.running("j-1");
    List<byte[]> before = on.values().stream().distinct().map(FakeWorker::heartbeat).toList();
    leader.kill();
    world.pass(8);
    leader.start();
    Node next = world.settle(4);
    // Its own stops and what has ended since.
    told.submit(next.index, "j-2", "array", 4);
    world.pass(4);
    told.cancel(next.index, "j-1");
    world.pass(8);
    assertThat(world.running("j-2").values()).containsAnyElementsOf(on.values());
    Map<String, FakeWorker> after = world.running("j-2");
    before.forEach(r -> world.nodes.forEach(n -> world.late(n, r)));
    world.pass(1);
    before.forEach(r -> world.late(next, r));
    world.pass(5);
    assertThat(world.running("j-2")).hasSize(4).isEqualTo(after);
    assertThat(scenario.starts("j-2")).isEqualTo(4);
    allIsWell();
  }

  /** Row 3. */
  @ParameterizedTest
  @CsvSource({"0.4", "1.4", "2.5"})
  void aSlowStateServiceWhileUsersCancelAndAsk(double slowS) {
    large();
    Node leader = world.settle(3);
    for (int i = 0; i < 6; i++) {
      told.submit(i % 3, "j-" + i, i % 2 == 0 ? "array" : "standing", 3);
    }
    world.pass(12);
    world.stateSlowS = slowS;
    for (int s = 0; s < 80; s++) {
      world.askCancel(s % 3, "j-" + s % 4);
      told.ask((s + 1) % 3, "j-" + s % 6);
      if (s == 40) {
        leader.kill();
      }
      world.pass(0.5);
    }
    allIsWell();
    assertThat(world.running("j-5")).hasSize(3);
  }

  /** Row 4. Users reach the leader that is partitioned, too, and ask it. */
  @Test
  void aLeaderWithWorkersAndUsersOnlyWhileJobsAreCancelledThroughTheNextOne() {
    large();
    Node former = world.settle(3);
    told.submit(0, "j-1", "array", 8);
    told.submit(0, "j-2", "standing", 8);
    world.pass(12);
    world.workers.values().forEach(w -> w.node = former.index);
    former.noState = true;
    former.noPeers = true;
    double until = world.time.now() + former.settings.gracePeriodS() + leaseS() + 10;
    while (world.time.now() < until) {
      world.askCancel(world.other(former).index, "j-1");
      world.askCancel(former.index, "j-1");
      told.ask(former.index, "j-1");
      told.ask(world.other(former).index, "j-1");
      world.pass(1);
    }
    assertThat(world.phase(world.other(former).index, "j-1")).isEqualTo("cancelled");
    allIsWell();
    assertThat(world.running("j-2")).hasSize(8);
  }

  /** Row 5. */
  @Test
  void jobsBoundToAZoneLoseMachines() {
    large();
    world.settle(3);
    String bound = job("j-1", "array", 12).replace("\"room\":null", "\"room\":\"z2\"");
    String one = job("j-2", "group", 12).replace("\"one_zone\":false", "\"one_zone\":true");
    String array = job("j-3", "array", 12).replace("\"one_zone\":false", "\"one_zone\":true");
    for (String j : List.of(bound, one, array)) {
      assertThat(world.submit(0, j).status()).isEqualTo(201);
    }
    told.accepted.addAll(List.of("j-1", "j-2", "j-3"));
    world.pass(15);
    Node leader = world.leader();
    String zone = scenario.machinesOf("j-3").get(0).zone;
    world.cloud.full = true;
    for (String ref : List.of("j-1", "j-2", "j-3")) {
      List<FakeWorker> on = world.running(ref).values().stream().distinct().toList();
      on.get(0).cut = true;
      on.get(on.size() - 1).deaf = true;
    }
    world.pass(3);
    leader.kill();
    // Where they may not go there is room, and nowhere else any machine to be had.
    for (int i = 0; i < 4; i++) {
      world.boot("g8", zone.equals("z1") ? "z2" : "z1", true);
    }
    world.pass(20);
    leader.start();
    for (int i = 0; i < 4; i++) {
      world.boot("g8", zone.equals("z1") ? "z2" : "z1", true);
    }
    world.pass(20);
    world.cloud.full = false;
    allIsWell();
    assertThat(world.running("j-1")).hasSize(12);
    assertThat(world.running("j-2")).hasSize(12);
    assertThat(world.running("j-3")).hasSize(12);
  }

  /** Row 6. */
  @ParameterizedTest
  @CsvSource({"cut", "deaf", "hung"})
  void aLeaderEndsWhileMachinesWithLongTasksCannotBeReachedOrDoNotHear(String how) {
    large();
    Node leader = world.settle(3);
    told.submit(0, "j-1", "standing", 12);
    told.submit(0, "j-2", "array", 12);
    world.pass(15);
    List<FakeWorker> hit = world.running("j-2").values().stream().distinct().toList();
    hit.forEach(
        w -> {
          w.cut = how.equals("cut");
          w.deaf = how.equals("deaf");
          w.hung = how.equals("hung");
        });
    leader.kill();
    world.cloud.down = true;
    world.pass(leaseS() * 0.6);
    leader.start();
    hit.forEach(
        w -> {
          w.cut = w.deaf = false;
          w.goOn();
        });
    world.pass(5);
    allIsWell();
    assertThat(world.running("j-1")).hasSize(12);
    assertThat(world.running("j-2")).hasSize(12);
  }

  /** Row 7. */
  @ParameterizedTest
  @CsvSource({"0.2", "6"})
  void tenLeadersInTwoMinutesAnOutageAmongThem(double backS) {
    large();
    world.settle(3);
    told.submit(0, "j-1", "standing", 8);
    told.submit(0, "j-2", "array", 8);
    told.submit(0, "j-3", "group", 8);
    world.pass(12);
    Map<String, FakeWorker> before = world.running("j-1");
    for (int i = 0; i < 10; i++) {
      Node leader = world.leader();
      if (i == 4) {
        world.state.outage = true;
      }
      if (i == 6) {
        world.state.recover();
      }
      if (leader != null) {
        leader.kill();
        world.time.after(backS, leader::start);
      }
      for (int s = 0; s < 12; s++) {
        // The user comes again until told.
        world.askCancel((i + s) % 3, "j-2");
        world.pass(1);
      }
    }
    allIsWell();
    assertThat(world.running("j-1")).isEqualTo(before);
    assertThat(world.running("j-2")).isEmpty();
    assertThat(world.running("j-3")).hasSize(8);
  }

  /** Row 8. */
  @ParameterizedTest
  @CsvSource({"array", "group"})
  void tasksThatEndFarApartAcrossAChange(String shape) {
    large();
    Node leader = world.settle(3);
    told.submit(0, "j-1", shape, 3);
    world.pass(12);
    Map<String, FakeWorker> on = world.running("j-1");
    world.commitFate = Fate.LOST;
    on.get("j-1/0").exit("j-1/0", "done");
    world.pass(3);
    leader.kill();
    world.commitFate = Fate.ARRIVES;
    world.pass(15);
    leader.start();
    told.ask(0, "j-1");
    if (shape.equals("array")) {
      assertThat(world.phase(world.settle(1).index, "j-1")).isEqualTo("running");
    }
    world.pass(20);
    for (String t : List.of("j-1/1", "j-1/2")) {
      world
          .running("j-1")
          .forEach(
              (task, w) -> {
                if (task.equals(t)) {
                  w.exit(t, "done");
                }
              });
      world.pass(8);
    }
    told.ask(1, "j-1");
    assertThat(world.phase(1, "j-1")).isEqualTo("done");
    allIsWell();
  }

  /** Row 9. */
  @Test
  void workersThatReachNoControllerWhileCommandsReachThem() {
    large();
    Node leader = world.settle(3);
    told.submit(0, "j-1", "standing", 8);
    told.submit(0, "j-2", "array", 16);
    world.pass(12);
    List<FakeWorker> mute = world.running("j-2").values().stream().distinct().toList();
    mute.forEach(w -> w.mute = true);
    world.pass(4);
    leader.kill();
    world.pass(6);
    leader.start();
    for (int s = 0; s < 30; s++) {
      world.askCancel(s % 3, "j-2");
      world.pass(1);
    }
    assertThat(world.phase(0, "j-2")).isEqualTo("cancelled");
    allIsWell();
    assertThat(world.running("j-1")).hasSize(8);
  }

  /** Row 10. */
  @ParameterizedTest
  @CsvSource({"25", "32", "90"})
  void allControllersAreAwayForAboutALeaseAndLonger(int awayS) {
    large();
    world.settle(3);
    told.submit(0, "j-1", "standing", 8);
    told.submit(0, "j-2", "array", 8);
    world.pass(12);
    world.askCancel(0, "j-2");
    world.pass(0.004);
    world.nodes.forEach(Node::kill);
    world.directFate = Fate.HELD;
    world.pass(awayS);
    world.directFate = Fate.ARRIVES;
    world.nodes.forEach(Node::start);
    world.pass(4);
    world.releaseHeld();
    world.askCancel(1, "j-2");
    allIsWell();
    assertThat(world.running("j-1")).hasSize(8);
  }

  /** Row 11. Node 2 is in z2. */
  @ParameterizedTest
  @CsvSource({"33", "60", "100"})
  void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease(int cutS) {
    large();
    world.settle(3);
    String spread = job("j-1", "standing", 6).replace("\"scatter\":false", "\"scatter\":true");
    assertThat(world.submit(0, spread).status()).isEqualTo(201);
    String there = job("j-2", "array", 6).replace("\"room\":null", "\"room\":\"z2\"");
    assertThat(world.submit(0, there).status()).isEqualTo(201);
    told.accepted.addAll(List.of("j-1", "j-2"));
    world.pass(12);
    world.cutZone = "z2";
    for (int s = 0; s < cutS; s++) {
      // Before anybody can have noticed, and for as long as it lasts.
      world.askCancel(s % 2, "j-2");
      if (s == 20) {
        world.nodes.get(s % 2).kill();
      }
      world.pass(1);
    }
    allIsWell();
    assertThat(world.running("j-1")).hasSize(6);
    assertThat(world.running("j-2")).isEmpty();
  }

  /**
   * Row 12. Commands are on the way while the machine hangs, or for seconds, and it then goes on.
   */
  @ParameterizedTest
  @CsvSource({"2", "6", "20", "28"})
  void aCommandOrItsAnswerIsHeldUpAndTheMachineGoesOn(int heldS) {
    large();
    Node leader = world.settle(3);
    told.submit(0, "j-1", "array", 8);
    world.pass(12);
    List<FakeWorker> all = List.copyOf(world.workers.values());
    told.submit(0, "j-2", "standing", 4);
    told.submit(0, "j-3", "array", 4);
    all.forEach(w -> w.hung = true);
    world.pass(1);
    world.askCancel(leader.index, "j-3");
    world.askCancel(leader.index, "j-1");
    world.pass(heldS);
    all.forEach(FakeWorker::goOn);
    world.pass(3);
    world.askCancel(leader.index, "j-3");
    world.askCancel(leader.index, "j-1");
    allIsWell();
    assertThat(world.running("j-2")).hasSize(4);
    assertThat(world.running("j-1")).isEmpty();
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
    Node leader = world.settle(3);
    for (int i = 0; i < 6; i++) {
      told.submit(0, "j-" + i, List.of("array", "group", "standing").get(i % 3), 4);
    }
    world.pass(12);
    double refusedAt = world.time.now() + 1;
    world.time.after(1, () -> leader.noState = true);
    world.time.after(2, () -> world.state.outage = true);
    for (int i = 0; i < 4; i++) {
      String ref = "j-" + i;
      int node = i % 3;
      world.time.after(1 + atS, () -> world.askCancel(node, ref));
    }
    world.time.after(15, () -> leader.noState = false);
    if (leaderEnds) {
      // What it has told must not have been known to it alone.
      world.time.after(8, leader::kill);
      world.time.after(40, leader::start);
    }
    world.pass(1.25 * cancelS());
    assertThat(world.time.now()).isGreaterThan(refusedAt + cancelS());
    world.state.recover();
    for (int s = 0; s < 20; s++) {
      world.askCancel(s % 3, "j-" + s % 4);
      world.pass(1);
    }
    allIsWell();
    assertThat(world.running("j-5")).hasSize(4);
  }

  /** Row 14. */
  @Test
  void moreWorkThanRoomUrgentAndNotOverSlowLinks() {
    large();
    Node leader = world.settle(3);
    for (int i = 0; i < 6; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(6);
    world.cloud.full = true;
    told.submit(0, "j-1", "array", 100);
    world.pass(6);
    world.stateSlowS = 0.3;
    String urgent = job("j-2", "standing", 12).replace("standard", "production");
    assertThat(world.submit(0, urgent).status()).isEqualTo(201);
    String gang = job("j-3", "group", 8).replace("standard", "high");
    assertThat(world.submit(1, gang).status()).isEqualTo(201);
    world.pass(3);
    leader.kill();
    world.pass(8);
    leader.start();
    world.pass(15);
    // Nothing has come free by itself.
    assertThat(world.running("j-2")).hasSize(12);
    for (int s = 0; s < 60; s++) {
      world.finish("j-1");
      world.pass(2);
    }
    told.accepted.addAll(List.of("j-2", "j-3"));
    allIsWell();
    assertThat(world.running("j-2")).hasSize(12);
    assertThat(world.running("j-3")).hasSize(8);
  }

  /** Row 15. */
  @ParameterizedTest
  @CsvSource({"0.3,1", "0.3,2", "0.6,3", "0.6,4"})
  void transactionsAreCarriedOutLateAfterNewerOnesOfTheSameController(double share, int seed) {
    large();
    world.random = new java.util.SplittableRandom(seed);
    world.settle(3);
    world.lateWrites = share;
    for (int s = 0; s < 120; s++) {
      if (s % 6 == 0) {
        told.submit(s % 3, "j-" + s, List.of("array", "group", "standing").get(s / 6 % 3), 3);
      }
      if (s % 7 == 3) {
        world.askCancel(s % 3, "j-" + (s / 12 * 6));
      }
      if (s % 5 == 2) {
        world.finish("j-" + (s / 10 * 6));
      }
      if (s == 50) {
        Node leader = world.leader();
        if (leader != null) {
          leader.kill();
          world.time.after(0.2, leader::start);
        }
      }
      if (s == 80) {
        world.state.outage = true;
      }
      if (s == 90) {
        world.state.recover();
      }
      for (String ref : told.accepted) {
        told.ask(s % 3, ref);
      }
      world.pass(1);
    }
    world.lateWrites = 0;
    world.pass(15);
    allIsWell();
  }

  /** Row 16. */
  @ParameterizedTest
  @CsvSource({"0.2", "0.9", "5"})
  void handOverAndBackAllEndAndOneReturns(double backS) {
    large();
    Node first = world.settle(3);
    told.submit(0, "j-1", "standing", 8);
    told.submit(0, "j-2", "array", 8);
    world.pass(12);
    Map<String, FakeWorker> before = world.running("j-1");
    first.noState = true;
    world.pass(5);
    Node second = world.settle(1);
    first.noState = false;
    second.kill();
    world.pass(backS);
    second.start();
    world.askCancel(first.index, "j-2");
    world.nodes.forEach(Node::kill);
    world.pass(backS);
    first.start();
    world.settle(8);
    assertThat(world.running("j-1")).isEqualTo(before);
    for (int s = 0; s < 10; s++) {
      world.askCancel(first.index, "j-2");
      world.pass(1);
    }
    allIsWell();
    assertThat(world.running("j-1")).isEqualTo(before);
    assertThat(world.running("j-2")).isEmpty();
  }

  private void endFirstTask(String ref) {
    String task = ref + "/0";
    FakeWorker on = world.running(ref).get(task);
    if (on != null) {
      on.exit(task, "done");
    }
  }

  /** Row 17. At every moment around the end, as it travels from the worker to the store. */
  @Test
  void aCancellationAQuestionOrARepeatMeetsTheEndOfAJobsLastTask() {
    large();
    world.settle(3);
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
        told.submit(n % 3, ref, shape, 2);
        world.pass(n == 1 ? 12 : 1.5);
        assertThat(world.running(ref)).hasSize(2);
        int node = n % 3;
        boolean cancels = n % 4 < 2 || Math.abs(at) < 0.05;
        if (shape.equals("array")) {
          world.time.after(0.1, () -> endFirstTask(ref));
        }
        world.time.after(0.3, () -> world.finish(ref));
        world.time.after(
            0.3 + at,
            () -> {
              if (cancels) {
                world.askCancel(node, ref);
              }
            });
        world.pass(0.3 + at);
        told.ask((node + 1) % 3, ref);
        assertThat(world.submit((node + 2) % 3, job(ref, shape, 2)).status()).isEqualTo(200);
        world.pass(4);
        told.ask(node, ref);
        assertThat(world.phase(node, ref)).isIn("done", "cancelled");
      }
    }
    allIsWell();
  }

  /** Row 18. Of another session, and of another attempt of the same task on the same machine. */
  @Test
  void oldHeartbeatsArriveAfterNewerOnes() {
    large();
    Node leader = world.settle(3);
    told.submit(0, "j-1", "array", 8);
    told.submit(0, "j-2", "standing", 4);
    world.pass(12);
    world.lateHeartbeats = 0.3;
    FakeWorker w = world.running("j-1").get("j-1/0");
    List<byte[]> first = List.copyOf(world.heartbeatsOf(w.name));
    w.exit("j-1/0", "error");
    world.pass(10);
    Map<String, FakeWorker> running = world.running("j-1");
    first.forEach(r -> world.late(leader, r));
    world.pass(2);
    assertThat(world.running("j-1")).isEqualTo(running);
    w.cut = true;
    world.pass(leaseS() + 3);
    w.cut = false;
    world.pass(3);
    first.forEach(r -> world.nodes.forEach(n -> world.late(n, r)));
    leader.kill();
    world.pass(6);
    first.forEach(r -> world.nodes.forEach(n -> world.late(n, r)));
    leader.start();
    world.pass(10);
    allIsWell();
    assertThat(world.running("j-1")).hasSize(8);
    assertThat(world.running("j-2")).hasSize(4);
  }
}
