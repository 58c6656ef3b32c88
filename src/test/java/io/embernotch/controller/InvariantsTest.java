package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.inZone;
import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.spreadOverZones;
import static io.embernotch.testkit.TestJobs.withoutSpot;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Each rule of the protocol under the failure most likely to break it. */
class InvariantsTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3);

  /** Has a job running on machines, and returns where. */
  private Map<String, FakeWorker> run(String json, String ref, int tasks) {
    assertThat(cluster.submit(0, json).status()).isEqualTo(201);
    cluster.advance(15);
    assertThat(cluster.runningTasks(ref)).hasSize(tasks);
    return cluster.runningTasks(ref);
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(cluster.violations()).isEmpty();
  }

  @Test
  void anArrayIsAcceptedRunsAndIsDoneForGoodOnEveryNode() {
    cluster.awaitLeader(2);
    run(job("j-1", "array", 3), "j-1", 3);
    assertThat(cluster.phase(1, "j-1")).isEqualTo("running");
    cluster.completeTasks("j-1");
    cluster.advance(3);
    for (int n = 0; n < 3; n++) {
      assertThat(cluster.phase(n, "j-1")).isEqualTo("done");
      assertThat(cluster.submit(n, job("j-1", "array", 3)).status()).isEqualTo(200);
    }
    // Only after the end is kept is the worker allowed to forget.
    assertThat(cluster.store.value("run/j-1").get("end").asText()).isEqualTo("done");
    cluster.advance(3);
    assertThat(cluster.workers.values().stream().mapToInt(w -> w.reapedAttempts.size()).sum())
        .isEqualTo(3);
  }

  @Test
  void aGangIsPlacedWholeOrNotAtAll() {
    cluster.awaitLeader(2);
    cluster.cloud.bootDisabled = true;
    String gang =
        job("j-2", "group", 2)
            .replace("\"cards\":1.0", "\"cards\":8.0")
            .replace("\"cores\":4.0", "\"cores\":40.0");
    assertThat(cluster.submit(0, gang).status()).isEqualTo(201);
    cluster.advance(3);
    cluster.cloud.bootDisabled = false;
    cluster.boot("g8", "z1", true);
    cluster.advance(8);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    cluster.boot("g8", "z1", true);
    cluster.advance(8);
    assertThat(cluster.runningTasks("j-2")).hasSize(2);
  }

  @Test
  void aTeamNeverUsesMoreThanItsLimit() {
    cluster.awaitLeader(2);
    assertThat(cluster.submit(0, job("j-3", "array", 60)).status()).isEqualTo(201);
    cluster.advance(30);
    assertThat(cluster.runningTasks("j-3")).hasSize(24);
    assertThat(cluster.submit(0, job("j-4", "group", 25)).status()).isEqualTo(422);
  }

  @Test
  void aLostMachineHoldsItsQuotaUntilItsTasksAreProvenGone() {
    cluster.awaitLeader(2);
    run(job("j-3", "array", 24), "j-3", 24);
    FakeWorker cut = cluster.runningTasks("j-3").get("j-3/0");
    int onIt = cut.runningTasks().size();
    cut.partitioned = true;
    cluster.cloud.down = true;
    cluster.submit(0, job("j-4", "array", 8));
    cluster.advance(25);
    // Neither deletion nor lease has proven anything yet.
    assertThat(cluster.runningTasks("j-4")).isEmpty();
    assertThat(cut.runningTasks()).hasSize(onIt);
    cluster.cloud.down = false;
    cluster.advance(30);
    assertThat(cluster.cloud.deleted).contains(cut.name);
    assertThat(cluster.runningTasks("j-3")).hasSize(24);
  }

  @Test
  void withoutTheCloudTheLeaseProvesTheEnd() {
    cluster.awaitLeader(2);
    run(job("j-5", "array", 1), "j-5", 1);
    FakeWorker cut = cluster.runningTasks("j-5").get("j-5/0");
    cluster.boot("g8", "z1", true);
    cluster.advance(6);
    cut.partitioned = true;
    cluster.cloud.down = true;
    cluster.advance(26);
    assertThat(cluster.runningTasks("j-5").get("j-5/0")).isSameAs(cut);
    cluster.advance(10);
    assertThat(cluster.runningTasks("j-5").get("j-5/0")).isNotNull().isNotSameAs(cut);
  }

  @Test
  void aLateDirectCommandOfADeposedLeaderStartsNothing() {
    ControllerNode old = cluster.awaitLeader(2);
    String name = cluster.boot("g8", "z1", true);
    cluster.advance(8);
    FakeWorker w = cluster.workers.get(name);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.submit(0, job("j-6", "array", 1));
    cluster.advance(0.5);
    assertThat(cluster.delayedCount()).isPositive();
    old.kill();
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-6")).hasSize(1);
    int starts = w.startedAttempts.size();
    cluster.deliverDelayed();
    cluster.advance(1);
    assertThat(w.startedAttempts).hasSize(starts);
  }

  @Test
  void anUnansweredCommandIsReplacedOnlyUnderANewerToken() {
    cluster.awaitLeader(2);
    cluster.boot("g8", "z1", true);
    cluster.advance(8);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.submit(0, job("j-7", "array", 1));
    cluster.advance(10);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-7")).hasSize(1);
    cluster.completeTasks("j-7");
    cluster.advance(6);
    // The late start must not bring the finished task back, though the worker has forgotten it.
    cluster.deliverDelayed();
    cluster.advance(1);
    assertThat(cluster.runningTasks("j-7")).isEmpty();
    assertThat(cluster.phase(0, "j-7")).isEqualTo("done");
  }

  @Test
  void aLateTransactionDoesNotUndoANewerOne() {
    cluster.awaitLeader(2);
    cluster.boot("g8", "z1", true);
    cluster.advance(8);
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.submit(0, job("j-8", "array", 1));
    cluster.advance(1);
    assertThat(cluster.runningTasks("j-8")).isEmpty();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-8")).hasSize(1);
    cluster.completeTasks("j-8");
    cluster.advance(4);
    cluster.deliverDelayed();
    assertThat(cluster.store.value("run/j-8").get("end").asText()).isEqualTo("done");
    assertThat(cluster.phase(1, "j-8")).isEqualTo("done");
  }

  @Test
  void aCancelThatRacesAStartLeavesNothingRunning() {
    cluster.awaitLeader(2);
    cluster.boot("g8", "z1", true);
    cluster.advance(8);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.submit(0, job("j-9", "standing", 2));
    cluster.advance(0.3);
    // The start may still arrive: the cancellation can't be told yet.
    assertThat(cluster.cancel(1, "j-9").status()).isEqualTo(503);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.advance(2);
    assertThat(cluster.cancel(1, "j-9").status()).isEqualTo(200);
    cluster.advance(10);
    cluster.deliverDelayed();
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-9")).isEmpty();
    assertThat(cluster.phase(2, "j-9")).isEqualTo("cancelled");
  }

  @Test
  void aCancelledJobStaysCancelledWhileItsTasksEnd() {
    // A poll once said "running" again when closing the attempts made the job's shard dirty.
    cluster.awaitLeader(2);
    run(job("j-10", "standing", 4), "j-10", 4);
    assertThat(cluster.cancel(0, "j-10").status()).isEqualTo(200);
    for (int i = 0; i < 40; i++) {
      assertThat(cluster.phase(i % 3, "j-10")).isEqualTo("cancelled");
      cluster.advance(0.1);
    }
    assertThat(cluster.cancel(1, "j-10").status()).isEqualTo(200);
  }

  @Test
  void aLeaderCutFromTheStoreIsReplacedAndStartsNothingMore() {
    ControllerNode old = cluster.awaitLeader(2);
    run(job("j-11", "array", 2), "j-11", 2);
    old.storeUnavailable = true;
    cluster.advance(8);
    ControllerNode now = cluster.leader();
    assertThat(now).isNotNull().isNotSameAs(old);
    assertThat(cluster.submit(now.index, job("j-12", "array", 2)).status()).isEqualTo(201);
    cluster.advance(10);
    assertThat(cluster.runningTasks("j-12")).hasSize(2);
    assertThat(cluster.runningTasks("j-11")).hasSize(2);
  }

  @Test
  void aLeaderCutFromTheOtherNodesToo() {
    ControllerNode old = cluster.awaitLeader(2);
    run(job("j-13", "array", 2), "j-13", 2);
    old.storeUnavailable = true;
    old.peersUnreachable = true;
    cluster.advance(60);
    assertThat(cluster.leader()).isNotNull().isNotSameAs(old);
    assertThat(cluster.runningTasks("j-13")).hasSize(2);
  }

  @Test
  void theCrashOfAllNodesLosesNoAcceptedJobAndNoRunningTask() {
    cluster.awaitLeader(2);
    run(job("j-14", "array", 3), "j-14", 3);
    assertThat(cluster.submit(1, job("j-15", "array", 1)).status()).isEqualTo(201);
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(5);
    cluster.nodes.forEach(ControllerNode::start);
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-14")).hasSize(3);
    assertThat(cluster.runningTasks("j-15")).hasSize(1);
    assertThat(cluster.workers.values().stream().mapToInt(w -> w.startedAttempts.size()).sum())
        .isEqualTo(4);
  }

  @Test
  void aStateOutageStopsNothing() {
    cluster.awaitLeader(2);
    run(job("j-16", "standing", 3), "j-16", 3);
    cluster.store.outage = true;
    cluster.advance(25);
    assertThat(cluster.submit(0, job("j-17", "array", 1)).status()).isEqualTo(503);
    assertThat(cluster.runningTasks("j-16")).hasSize(3);
    cluster.store.endOutage();
    cluster.advance(6);
    assertThat(cluster.runningTasks("j-16")).hasSize(3);
    assertThat(cluster.submit(0, job("j-17", "array", 1)).status()).isEqualTo(201);
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-17")).hasSize(1);
  }

  @Test
  void aListThatLacksAMachineEndsNothing() {
    cluster.awaitLeader(2);
    Map<String, FakeWorker> on = run(job("j-18", "standing", 2), "j-18", 2);
    on.values().forEach(w -> cluster.cloud.unlisted.add(w.name));
    cluster.advance(30);
    assertThat(cluster.runningTasks("j-18")).isEqualTo(on);
  }

  @Test
  void unknownJobsGet404AndAreNotInvented() {
    cluster.awaitLeader(2);
    assertThat(cluster.poll(0, "j-999").status()).isEqualTo(404);
    assertThat(cluster.poll(1, "j-999").status()).isEqualTo(404);
    assertThat(cluster.cancel(2, "j-999").status()).isEqualTo(404);
    assertThat(cluster.poll(0, "not-a-job").status()).isEqualTo(404);
  }

  @Test
  void anEndThatOthersMayReadInTheStoreIsNotDeniedByALeaderWithoutItsAnswer() {
    ControllerNode leader = cluster.awaitLeader(8);
    run(job("j-18", "array", 1), "j-18", 1);
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.completeTasks("j-18");
    cluster.advance(3);
    cluster.deliverDelayed();
    assertThat(cluster.store.finalPhase("j-18")).isEqualTo("done");
    // The leader can't tell, so the store is asked; before, it said running.
    assertThat(cluster.phase(leader.index, "j-18")).isEqualTo("done");
  }

  @Test
  void withoutALeaderAnAcceptedJobIsStillKnown() {
    ControllerNode old = cluster.awaitLeader(8);
    ControllerNode follower = cluster.otherNode(old);
    assertThat(cluster.submit(follower.index, job("j-19", "array", 1)).status()).isEqualTo(201);
    old.kill();
    assertThat(cluster.phase(follower.index, "j-19")).isEqualTo("queued");
  }

  @Test
  void aTaskGoesOnlyWhereItsJobAllows() {
    cluster.awaitLeader(2);
    cluster.boot("g8", "z1", true);
    cluster.boot("g8", "z2", false);
    cluster.advance(8);
    String picky = inZone(withoutSpot(job("j-20", "standing", 2)), "z1");
    cluster.submit(0, picky);
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-20")).hasSize(2);
    assertThat(cluster.runningTasks("j-20").values()).allMatch(w -> w.zone.equals("z1") && !w.spot);
  }

  @Test
  void aSpreadServiceKeepsAtMostHalfInAZone() {
    cluster.awaitLeader(2);
    cluster.boot("g8", "z1", true);
    cluster.advance(8);
    cluster.submit(0, spreadOverZones(job("j-21", "standing", 5)));
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-21")).hasSize(5);
    assertThat(
            cluster.runningTasks("j-21").values().stream().filter(w -> w.zone.equals("z1")).count())
        .isBetween(2L, 3L);
  }

  @Test
  void aMachineThatFailsEverythingIsLeftAndReturned() {
    cluster.awaitLeader(2);
    String bad = cluster.boot("g8", "z1", true);
    cluster.advance(6);
    cluster.workers.get(bad).failsTasks = true;
    cluster.submit(0, job("j-22", "array", 4));
    cluster.advance(25);
    assertThat(cluster.runningTasks("j-22")).hasSize(4);
    // One job's word against it is enough once the job has succeeded elsewhere.
    assertThat(cluster.cloud.deleted).doesNotContain(bad);
    cluster.completeTasks("j-22");
    cluster.advance(6);
    assertThat(cluster.cloud.deleted).contains(bad);
  }

  @Test
  void noticeOfTheCloudEmptiesAMachine() {
    cluster.awaitLeader(2);
    Map<String, FakeWorker> on = run(job("j-23", "array", 2), "j-23", 2);
    FakeWorker w = on.get("j-23/0");
    w.reclaimNoticeS = 12.0;
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-23")).hasSize(2);
    assertThat(cluster.runningTasks("j-23").values()).noneMatch(x -> x == w);
  }

  @Test
  void aMachineThatHangsIsReplacedSoonerThanOneThatIsCutOff() {
    // Behind a cut a service runs on; on a machine that takes connections and never answers it does
    // not.
    cluster.awaitLeader(2);
    run(job("j-28", "standing", 8), "j-28", 8);
    FakeWorker hung = cluster.runningTasks("j-28").get("j-28/0");
    hung.hung = true;
    cluster.advance(14);
    assertThat(cluster.cloud.deleted).containsExactly(hung.name);
    cluster.advance(8);
    assertThat(cluster.runningTasks("j-28")).hasSize(8);
    FakeWorker cut = cluster.runningTasks("j-28").get("j-28/0");
    cut.partitioned = true;
    cluster.advance(20);
    assertThat(cluster.cloud.deleted).doesNotContain(cut.name);
  }

  @Test
  void aMachineThatWasCutWhenLeadershipMovedIsReplacedSoon() {
    // It had never reported to the new leader, and was once taken for a machine still booting.
    ControllerNode old = cluster.awaitLeader(2);
    run(job("j-25", "standing", 8), "j-25", 8);
    run(job("j-26", "standing", 8), "j-26", 8);
    run(job("j-27", "standing", 8), "j-27", 8);
    FakeWorker cut = cluster.runningTasks("j-25").get("j-25/0");
    cut.partitioned = true;
    old.kill();
    cluster.advance(24);
    assertThat(cluster.cloud.deleted).containsExactly(cut.name);
    assertThat(cluster.runningTasks("j-25").get("j-25/0")).isNotNull();
  }

  @Test
  void slowTasksAreRestartedOnTheMachineThatThePaperChooses() {
    cluster.nodes.get(1).kill();
    cluster.nodes.get(2).kill();
    cluster.advance(8);
    String fast = cluster.boot("g8", "z1", true);
    cluster.advance(6);
    run(job("j-29", "standing", 1), "j-29", 1);
    run12("j-30");
    FakeWorker quick = cluster.workers.get(fast);
    exitAll(quick, "j-30");
    cluster.advance(200);
    cluster.completeTasks("j-30");
    cluster.advance(4);
    // The other machine has proven slow: 200 s for what took the fast one about ten.
    run12("j-31");
    exitAll(quick, "j-31");
    cluster.advance(40);
    assertThat(cluster.runningTasks("j-31")).hasSize(5);
    assertThat(cluster.runningTasks("j-31").values()).allMatch(w -> w == quick);
  }

  private static void exitAll(FakeWorker w, String ref) {
    assertThat(w.runningTasks()).hasSize(8);
    w.runningTasks().stream().filter(t -> t.startsWith(ref)).forEach(t -> w.exitTask(t, "done"));
  }

  /** Twelve tasks: seven fill the fast machine, the rest go to another. */
  private void run12(String ref) {
    assertThat(cluster.submit(0, job(ref, "array", 12)).status()).isEqualTo(201);
    cluster.advance(10);
    assertThat(cluster.runningTasks(ref)).hasSize(12);
  }

  @Test
  void aServiceBehindACutShorterThanItsLeaseRunsOn() {
    // Such machines were returned after a few reports, and their services started anew elsewhere.
    cluster.awaitLeader(2);
    String live =
        job("j-70", "standing", 1)
            .replace("standard", "production")
            .replace("\"loaner\":true", "\"loaner\":false");
    FakeWorker cut = run(live, "j-70", 1).get("j-70/0");
    cluster.boot("g8", "z1", false);
    cluster.advance(6);
    cut.partitioned = true;
    cluster.advance(20);
    assertThat(cluster.cloud.deleted).doesNotContain(cut.name);
    cut.partitioned = false;
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-70").get("j-70/0")).isSameAs(cut);
    assertThat(cut.startedAttempts).hasSize(1);
  }

  @Test
  void aSilentMachineWithArraysIsGivenUpOnceAProbeFailed() {
    cluster.awaitLeader(2);
    FakeWorker cut = run(job("j-71", "array", 1), "j-71", 1).get("j-71/0");
    cluster.boot("g8", "z1", true);
    cluster.advance(6);
    cut.partitioned = true;
    cluster.advance(10);
    assertThat(cluster.cloud.deleted).contains(cut.name);
    assertThat(cluster.runningTasks("j-71").get("j-71/0")).isNotNull().isNotSameAs(cut);
  }
}
