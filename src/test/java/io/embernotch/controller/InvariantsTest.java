package io.embernotch.controller;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Each rule of the protocol under the failure most likely to break it. */
class InvariantsTest {
  private final SimulatedCluster world = new SimulatedCluster(3);

  /** Has a job running on machines, and returns where. */
  private Map<String, FakeWorker> run(String json, String ref, int tasks) {
    assertThat(world.submit(0, json).status()).isEqualTo(201);
    world.pass(15);
    assertThat(world.running(ref)).hasSize(tasks);
    return world.running(ref);
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(world.broken()).isEmpty();
  }

  @Test
  void anArrayIsAcceptedRunsAndIsDoneForGoodOnEveryNode() {
    world.settle(2);
    run(job("j-1", "array", 3), "j-1", 3);
    assertThat(world.phase(1, "j-1")).isEqualTo("running");
    world.finish("j-1");
    world.pass(3);
    for (int n = 0; n < 3; n++) {
      assertThat(world.phase(n, "j-1")).isEqualTo("done");
      assertThat(world.submit(n, job("j-1", "array", 3)).status()).isEqualTo(200);
    }
    // Only after the end is kept is the worker allowed to forget.
    assertThat(world.state.value("run/j-1").get("end").asText()).isEqualTo("done");
    world.pass(3);
    assertThat(world.workers.values().stream().mapToInt(w -> w.reaped.size()).sum()).isEqualTo(3);
  }

  @Test
  void aGangIsPlacedWholeOrNotAtAll() {
    world.settle(2);
    world.cloud.noBoot = true;
    String gang =
        job("j-2", "group", 2)
            .replace("\"cards\":1.0", "\"cards\":8.0")
            .replace("\"cores\":4.0", "\"cores\":40.0");
    assertThat(world.submit(0, gang).status()).isEqualTo(201);
    world.pass(3);
    world.cloud.noBoot = false;
    world.boot("g8", "z1", true);
    world.pass(8);
    assertThat(world.running("j-2")).isEmpty();
    world.boot("g8", "z1", true);
    world.pass(8);
    assertThat(world.running("j-2")).hasSize(2);
  }

  @Test
  void aTeamNeverUsesMoreThanItsLimit() {
    world.settle(2);
    assertThat(world.submit(0, job("j-3", "array", 60)).status()).isEqualTo(201);
    world.pass(30);
    assertThat(world.running("j-3")).hasSize(24);
    assertThat(world.submit(0, job("j-4", "group", 25)).status()).isEqualTo(422);
  }

  @Test
  void aLostMachineHoldsItsQuotaUntilItsTasksAreProvenGone() {
    world.settle(2);
    run(job("j-3", "array", 24), "j-3", 24);
    FakeWorker cut = world.running("j-3").get("j-3/0");
    int onIt = cut.alive().size();
    cut.cut = true;
    world.cloud.down = true;
    world.submit(0, job("j-4", "array", 8));
    world.pass(25);
    // Neither deletion nor lease has proven anything yet.
    assertThat(world.running("j-4")).isEmpty();
    assertThat(cut.alive()).hasSize(onIt);
    world.cloud.down = false;
    world.pass(30);
    assertThat(world.cloud.deleted).contains(cut.name);
    assertThat(world.running("j-3")).hasSize(24);
  }

  @Test
  void withoutTheCloudTheLeaseProvesTheEnd() {
    world.settle(2);
    run(job("j-5", "array", 1), "j-5", 1);
    FakeWorker cut = world.running("j-5").get("j-5/0");
    world.boot("g8", "z1", true);
    world.pass(6);
    cut.cut = true;
    world.cloud.down = true;
    world.pass(26);
    assertThat(world.running("j-5").get("j-5/0")).isSameAs(cut);
    world.pass(10);
    assertThat(world.running("j-5").get("j-5/0")).isNotNull().isNotSameAs(cut);
  }

  @Test
  void aLateDirectCommandOfADeposedLeaderStartsNothing() {
    Node old = world.settle(2);
    String name = world.boot("g8", "z1", true);
    world.pass(8);
    FakeWorker w = world.workers.get(name);
    world.directFate = Fate.HELD;
    world.submit(0, job("j-6", "array", 1));
    world.pass(0.5);
    assertThat(world.heldCount()).isPositive();
    old.kill();
    world.directFate = Fate.ARRIVES;
    world.pass(20);
    assertThat(world.running("j-6")).hasSize(1);
    int starts = w.started.size();
    world.releaseHeld();
    world.pass(1);
    assertThat(w.started).hasSize(starts);
  }

  @Test
  void anUnansweredCommandIsReplacedOnlyUnderANewerToken() {
    world.settle(2);
    world.boot("g8", "z1", true);
    world.pass(8);
    world.directFate = Fate.HELD;
    world.submit(0, job("j-7", "array", 1));
    world.pass(10);
    world.directFate = Fate.ARRIVES;
    world.pass(5);
    assertThat(world.running("j-7")).hasSize(1);
    world.finish("j-7");
    world.pass(6);
    // The late start must not bring the finished task back, though the worker has forgotten it.
    world.releaseHeld();
    world.pass(1);
    assertThat(world.running("j-7")).isEmpty();
    assertThat(world.phase(0, "j-7")).isEqualTo("done");
  }

  @Test
  void aLateTransactionDoesNotUndoANewerOne() {
    world.settle(2);
    world.boot("g8", "z1", true);
    world.pass(8);
    world.commitFate = Fate.HELD;
    world.submit(0, job("j-8", "array", 1));
    world.pass(1);
    assertThat(world.running("j-8")).isEmpty();
    world.commitFate = Fate.ARRIVES;
    world.pass(5);
    assertThat(world.running("j-8")).hasSize(1);
    world.finish("j-8");
    world.pass(4);
    world.releaseHeld();
    assertThat(world.state.value("run/j-8").get("end").asText()).isEqualTo("done");
    assertThat(world.phase(1, "j-8")).isEqualTo("done");
  }

  @Test
  void aCancelThatRacesAStartLeavesNothingRunning() {
    world.settle(2);
    world.boot("g8", "z1", true);
    world.pass(8);
    world.directFate = Fate.HELD;
    world.submit(0, job("j-9", "standing", 2));
    world.pass(0.3);
    // The start may still arrive: the cancellation can't be told yet.
    assertThat(world.abort(1, "j-9").status()).isEqualTo(503);
    world.directFate = Fate.ARRIVES;
    world.pass(2);
    assertThat(world.abort(1, "j-9").status()).isEqualTo(200);
    world.pass(10);
    world.releaseHeld();
    world.pass(5);
    assertThat(world.running("j-9")).isEmpty();
    assertThat(world.phase(2, "j-9")).isEqualTo("cancelled");
  }

  @Test
  void aCancelledJobStaysCancelledWhileItsTasksEnd() {
    // A poll once said "running" again when closing the attempts made the job's shard dirty.
    world.settle(2);
    run(job("j-10", "standing", 4), "j-10", 4);
    assertThat(world.abort(0, "j-10").status()).isEqualTo(200);
    for (int i = 0; i < 40; i++) {
      assertThat(world.phase(i % 3, "j-10")).isEqualTo("cancelled");
      world.pass(0.1);
    }
    assertThat(world.abort(1, "j-10").status()).isEqualTo(200);
  }

  @Test
  void aLeaderCutFromTheStoreIsReplacedAndStartsNothingMore() {
    Node old = world.settle(2);
    run(job("j-11", "array", 2), "j-11", 2);
    old.noState = true;
    world.pass(8);
    Node now = world.leader();
    assertThat(now).isNotNull().isNotSameAs(old);
    assertThat(world.submit(now.index, job("j-12", "array", 2)).status()).isEqualTo(201);
    world.pass(10);
    assertThat(world.running("j-12")).hasSize(2);
    assertThat(world.running("j-11")).hasSize(2);
  }

  @Test
  void aLeaderCutFromTheOtherNodesToo() {
    Node old = world.settle(2);
    run(job("j-13", "array", 2), "j-13", 2);
    old.noState = true;
    old.noPeers = true;
    world.pass(60);
    assertThat(world.leader()).isNotNull().isNotSameAs(old);
    assertThat(world.running("j-13")).hasSize(2);
  }

  @Test
  void theCrashOfAllNodesLosesNoAcceptedJobAndNoRunningTask() {
    world.settle(2);
    run(job("j-14", "array", 3), "j-14", 3);
    assertThat(world.submit(1, job("j-15", "array", 1)).status()).isEqualTo(201);
    world.nodes.forEach(Node::kill);
    world.pass(5);
    world.nodes.forEach(Node::start);
    world.pass(12);
    assertThat(world.running("j-14")).hasSize(3);
    assertThat(world.running("j-15")).hasSize(1);
    assertThat(world.workers.values().stream().mapToInt(w -> w.started.size()).sum()).isEqualTo(4);
  }

  @Test
  void aStateOutageStopsNothing() {
    world.settle(2);
    run(job("j-16", "standing", 3), "j-16", 3);
    world.state.outage = true;
    world.pass(25);
    assertThat(world.submit(0, job("j-17", "array", 1)).status()).isEqualTo(503);
    assertThat(world.running("j-16")).hasSize(3);
    world.state.recover();
    world.pass(6);
    assertThat(world.running("j-16")).hasSize(3);
    assertThat(world.submit(0, job("j-17", "array", 1)).status()).isEqualTo(201);
    world.pass(5);
    assertThat(world.running("j-17")).hasSize(1);
  }

  @Test
  void aListThatLacksAMachineEndsNothing() {
    world.settle(2);
    Map<String, FakeWorker> on = run(job("j-18", "standing", 2), "j-18", 2);
    on.values().forEach(w -> world.cloud.unlisted.add(w.name));
    world.pass(30);
    assertThat(world.running("j-18")).isEqualTo(on);
  }

  @Test
  void unknownJobsGet404AndAreNotInvented() {
    world.settle(2);
    assertThat(world.poll(0, "j-999").status()).isEqualTo(404);
    assertThat(world.poll(1, "j-999").status()).isEqualTo(404);
    assertThat(world.abort(2, "j-999").status()).isEqualTo(404);
    assertThat(world.poll(0, "not-a-job").status()).isEqualTo(404);
  }

  @Test
  void anEndThatOthersMayReadInTheStoreIsNotDeniedByALeaderWithoutItsAnswer() {
    Node leader = world.settle(8);
    run(job("j-18", "array", 1), "j-18", 1);
    world.commitFate = Fate.HELD;
    world.finish("j-18");
    world.pass(3);
    world.releaseHeld();
    assertThat(world.endInStore("j-18")).isEqualTo("done");
    // The leader can't tell, so the store is asked; before, it said running.
    assertThat(world.phase(leader.index, "j-18")).isEqualTo("done");
  }

  @Test
  void withoutALeaderAnAcceptedJobIsStillKnown() {
    Node old = world.settle(8);
    Node follower = world.other(old);
    assertThat(world.submit(follower.index, job("j-19", "array", 1)).status()).isEqualTo(201);
    old.kill();
    assertThat(world.phase(follower.index, "j-19")).isEqualTo("queued");
  }

  @Test
  void aTaskGoesOnlyWhereItsJobAllows() {
    world.settle(2);
    world.boot("g8", "z1", true);
    world.boot("g8", "z2", false);
    world.pass(8);
    String picky =
        job("j-20", "standing", 2)
            .replace("\"loaner\":true", "\"loaner\":false")
            .replace("\"room\":null", "\"room\":\"z1\"");
    world.submit(0, picky);
    world.pass(12);
    assertThat(world.running("j-20")).hasSize(2);
    assertThat(world.running("j-20").values()).allMatch(w -> w.zone.equals("z1") && !w.spot);
  }

  @Test
  void aSpreadServiceKeepsAtMostHalfInAZone() {
    world.settle(2);
    world.boot("g8", "z1", true);
    world.pass(8);
    world.submit(0, job("j-21", "standing", 5).replace("\"scatter\":false", "\"scatter\":true"));
    world.pass(15);
    assertThat(world.running("j-21")).hasSize(5);
    assertThat(world.running("j-21").values().stream().filter(w -> w.zone.equals("z1")).count())
        .isBetween(2L, 3L);
  }

  @Test
  void aMachineThatFailsEverythingIsLeftAndReturned() {
    world.settle(2);
    String bad = world.boot("g8", "z1", true);
    world.pass(6);
    world.workers.get(bad).sick = true;
    world.submit(0, job("j-22", "array", 4));
    world.pass(25);
    assertThat(world.running("j-22")).hasSize(4);
    // One job's word against it is enough once the job has succeeded elsewhere.
    assertThat(world.cloud.deleted).doesNotContain(bad);
    world.finish("j-22");
    world.pass(6);
    assertThat(world.cloud.deleted).contains(bad);
  }

  @Test
  void noticeOfTheCloudEmptiesAMachine() {
    world.settle(2);
    Map<String, FakeWorker> on = run(job("j-23", "array", 2), "j-23", 2);
    FakeWorker w = on.get("j-23/0");
    w.recallS = 12.0;
    world.pass(12);
    assertThat(world.running("j-23")).hasSize(2);
    assertThat(world.running("j-23").values()).noneMatch(x -> x == w);
  }

  @Test
  void aMachineThatHangsIsReplacedSoonerThanOneThatIsCutOff() {
    // Behind a cut a service runs on; on a machine that takes connections and never answers it does
    // not.
    world.settle(2);
    run(job("j-28", "standing", 8), "j-28", 8);
    FakeWorker hung = world.running("j-28").get("j-28/0");
    hung.hung = true;
    world.pass(14);
    assertThat(world.cloud.deleted).containsExactly(hung.name);
    world.pass(8);
    assertThat(world.running("j-28")).hasSize(8);
    FakeWorker cut = world.running("j-28").get("j-28/0");
    cut.cut = true;
    world.pass(20);
    assertThat(world.cloud.deleted).doesNotContain(cut.name);
  }

  @Test
  void aMachineThatWasCutWhenLeadershipMovedIsReplacedSoon() {
    // It had never reported to the new leader, and was once taken for a machine still booting.
    Node old = world.settle(2);
    run(job("j-25", "standing", 8), "j-25", 8);
    run(job("j-26", "standing", 8), "j-26", 8);
    run(job("j-27", "standing", 8), "j-27", 8);
    FakeWorker cut = world.running("j-25").get("j-25/0");
    cut.cut = true;
    old.kill();
    world.pass(24);
    assertThat(world.cloud.deleted).containsExactly(cut.name);
    assertThat(world.running("j-25").get("j-25/0")).isNotNull();
  }

  @Test
  void slowTasksAreRestartedOnTheMachineThatThePaperChooses() {
    world.nodes.get(1).kill();
    world.nodes.get(2).kill();
    world.pass(8);
    String fast = world.boot("g8", "z1", true);
    world.pass(6);
    run(job("j-29", "standing", 1), "j-29", 1);
    run12("j-30");
    FakeWorker quick = world.workers.get(fast);
    exitAll(quick, "j-30");
    world.pass(200);
    world.finish("j-30");
    world.pass(4);
    // The other machine has proven slow: 200 s for what took the fast one about ten.
    run12("j-31");
    exitAll(quick, "j-31");
    world.pass(40);
    assertThat(world.running("j-31")).hasSize(5);
    assertThat(world.running("j-31").values()).allMatch(w -> w == quick);
  }

  private static void exitAll(FakeWorker w, String ref) {
    assertThat(w.alive()).hasSize(8);
    w.alive().stream().filter(t -> t.startsWith(ref)).forEach(t -> w.exit(t, "done"));
  }

  /** Twelve tasks: seven fill the fast machine, the rest go to another. */
  private void run12(String ref) {
    assertThat(world.submit(0, job(ref, "array", 12)).status()).isEqualTo(201);
    world.pass(10);
    assertThat(world.running(ref)).hasSize(12);
  }

  @Test
  void aServiceBehindACutShorterThanItsLeaseRunsOn() {
    // Such machines were returned after a few reports, and their services started anew elsewhere.
    world.settle(2);
    String live =
        job("j-70", "standing", 1)
            .replace("standard", "production")
            .replace("\"loaner\":true", "\"loaner\":false");
    FakeWorker cut = run(live, "j-70", 1).get("j-70/0");
    world.boot("g8", "z1", false);
    world.pass(6);
    cut.cut = true;
    world.pass(20);
    assertThat(world.cloud.deleted).doesNotContain(cut.name);
    cut.cut = false;
    world.pass(5);
    assertThat(world.running("j-70").get("j-70/0")).isSameAs(cut);
    assertThat(cut.started).hasSize(1);
  }

  @Test
  void aSilentMachineWithArraysIsGivenUpOnceAProbeFailed() {
    world.settle(2);
    FakeWorker cut = run(job("j-71", "array", 1), "j-71", 1).get("j-71/0");
    world.boot("g8", "z1", true);
    world.pass(6);
    cut.cut = true;
    world.pass(10);
    assertThat(world.cloud.deleted).contains(cut.name);
    assertThat(world.running("j-71").get("j-71/0")).isNotNull().isNotSameAs(cut);
  }
}
