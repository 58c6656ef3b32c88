package io.embernotch.incarnation;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeStore.Snapshot;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The store loses data while controllers and workers keep running. */
class DataLossTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 10);
  private ControllerNode leader;

  /** Runs a job until it is done, a service, an array and a job that depends on the array. */
  private void runJobs() {
    leader = cluster.awaitLeader(3);
    for (String json :
        new String[] {
          job("j-1", "array", 2),
          job("j-2", "standing", 3),
          job("j-3", "array", 4),
          dependentJob("j-4", 1, "j-3")
        }) {
      assertThat(cluster.submit(0, json).status()).isEqualTo(201);
    }
    cluster.advance(15);
    cluster.completeTasks("j-1");
    cluster.advance(4);
    for (int n = 0; n < 3; n++) {
      assertThat(cluster.phase(n, "j-1")).isEqualTo("done");
    }
    assertThat(cluster.runningTasks("j-2")).hasSize(3);
    assertThat(cluster.runningTasks("j-3")).hasSize(4);
  }

  /** Checks that no answer is contradicted in the meantime, and that all jobs make progress. */
  private void verifyServiceResumes(double withinS) {
    verifyAnswersRemainValid(withinS);
    cluster.advance(30);
    verifyStateRestored();
    verifyJobsProgress();
  }

  private void verifyAnswersRemainValid(double forS) {
    for (double remainingS = forS; remainingS > 0; remainingS -= 0.25) {
      cluster.advance(0.25);
      for (int n = 0; n < 3; n++) {
        for (String ref : new String[] {"j-1", "j-2", "j-3", "j-4"}) {
          assertThat(cluster.phase(n, ref)).as(ref + " asked of " + n).isNotEqualTo("status 404");
        }
        assertThat(cluster.phase(n, "j-1")).isIn("done", "status 503");
      }
    }
  }

  private void verifyStateRestored() {
    assertThat(cluster.workers.values())
        .as("no worker's lease expired")
        .allSatisfy(worker -> assertThat(worker.epoch).isEqualTo(1));
    assertThat(cluster.runningTasks("j-2")).hasSize(3);
    assertThat(cluster.runningTasks("j-3")).hasSize(4);
    for (int n = 0; n < 3; n++) {
      assertThat(cluster.phase(n, "j-1")).isEqualTo("done");
      assertThat(cluster.phase(n, "j-2")).isEqualTo("running");
      assertThat(cluster.phase(n, "j-4")).isEqualTo("queued");
      assertThat(cluster.phase(n, "j-99")).isEqualTo("status 404");
      // A repeated submission is recognized.
      assertThat(cluster.submit(n, job("j-1", "array", 2)).status()).isEqualTo(200);
      assertThat(cluster.submit(n, job("j-3", "array", 4)).status()).isEqualTo(200);
    }
  }

  private void verifyJobsProgress() {
    cluster.completeTasks("j-3");
    cluster.advance(20);
    assertThat(cluster.phase(1, "j-3")).isEqualTo("done");
    assertThat(cluster.runningTasks("j-4")).hasSize(1);
    assertThat(cluster.submit(2, job("j-5", "array", 2)).status()).isEqualTo(201);
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-5")).hasSize(2);
  }

  private static int losses(SimulatedCluster cluster) {
    int losses = 0;
    for (ControllerNode node : cluster.nodes) {
      losses +=
          Json.parseObject(cluster.await(node.controller.overview()).body()).get("losses").asInt();
    }
    return losses;
  }

  @AfterEach
  void verifyInvariants() {
    assertThat(cluster.violations()).isEmpty();
  }

  @Test
  void allDataLostWhileIdle() {
    runJobs();
    cluster.store.wipe();
    verifyServiceResumes(6);
    assertThat(cluster.leader())
        .as("the former leader knows most and leads again")
        .isSameAs(leader);
  }

  @Test
  void allDataLostTwiceInARow() {
    runJobs();
    cluster.store.wipe();
    cluster.advance(2.2);
    cluster.store.wipe();
    verifyServiceResumes(8);
    cluster.store.wipe();
    cluster.advance(10);
    assertThat(cluster.phase(1, "j-3")).isEqualTo("done");
    assertThat(cluster.phase(2, "j-1")).isEqualTo("done");
  }

  @Test
  void rolledBackWithLeaderKey() {
    runJobs();
    Snapshot earlier = cluster.store.snapshot();
    cluster.submit(1, job("j-7", "array", 2));
    cluster.submit(1, job("j-8", "array", 2));
    cluster.advance(6);
    assertThat(cluster.runningTasks("j-7")).hasSize(2);
    cluster.completeTasks("j-8");
    cluster.advance(4);
    assertThat(cluster.phase(2, "j-8")).isEqualTo("done");
    cluster.store.restore(earlier, true);
    verifyServiceResumes(6);
    assertThat(cluster.phase(0, "j-8")).isEqualTo("done");
    assertThat(cluster.runningTasks("j-7")).hasSize(2);
  }

  @Test
  void rolledBackWithoutLeasesToBeforeALeaderChange() {
    runJobs();
    Snapshot earlier = cluster.store.snapshot();
    leader.kill();
    cluster.advance(12);
    ControllerNode second = cluster.leader();
    assertThat(second).isNotNull().isNotSameAs(leader);
    leader.start();
    cluster.advance(3);
    cluster.store.restore(earlier, false);
    verifyServiceResumes(6);
    assertThat(cluster.leader()).isSameAs(second);
  }

  @Test
  void commitThatArrivesInTheNextIncarnationIsNotApplied() {
    runJobs();
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.submit(1, job("j-6", "array", 2));
    cluster.advance(1.2);
    assertThat(cluster.delayedCount()).isPositive();
    cluster.store.wipe();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.advance(6);
    int before = cluster.store.keys("").size();
    cluster.deliverDelayed();
    // Modification revisions restart after a loss, so the revisions in the late commit match again.
    assertThat(cluster.store.keys("").size()).isEqualTo(before);
    verifyServiceResumes(1);
  }

  /** Delays a submission's transaction until all data is lost and the store is restored. */
  private void submitBeforeLossAndDeliverAfter() {
    runJobs();
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.faults.commitDeliveryFilter = "job/j-6";
    assertThat(cluster.submit(1, job("j-6", "array", 2)).status()).isEqualTo(503);
    assertThat(cluster.delayedCount()).isPositive();
    cluster.store.wipe();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.advance(8);
    cluster.deliverDelayed();
  }

  @Test
  void transactionFromBeforeTheLossIsNotAppliedIfModRevisionsCoincide() {
    submitBeforeLossAndDeliverAfter();
    assertThat(cluster.store.value("job/j-6")).isNull();
    verifyServiceResumes(1);
  }

  @Test
  void transactionFromBeforeTheLossIsAppliedWithoutTheFence() {
    cluster.store.ignoredConditionPrefix = "era/";
    submitBeforeLossAndDeliverAfter();
    assertThat(cluster.store.value("job/j-6")).isNotNull();
  }

  @Test
  void workerWithATokenAboveAllEpochsIsServedInAnIncarnationAboveIt() {
    runJobs();
    FakeWorker worker = cluster.runningTasks("j-2").values().iterator().next();
    worker.fencingToken = 1L << 50;
    cluster.advance(25);
    assertThat(cluster.leader()).isNotNull();
    assertThat(worker.epoch).isEqualTo(1);
    assertThat(worker.fencingToken).isGreaterThan(1L << 50);
    assertThat(cluster.runningTasks("j-2")).hasSize(3);
    // No data was lost.
    assertThat(losses(cluster)).isZero();
  }

  @Test
  void allDataLostAsAnOutageEnds() {
    runJobs();
    cluster.store.outage = true;
    cluster.advance(8);
    cluster.store.wipe();
    cluster.store.endOutage();
    verifyServiceResumes(6);
  }

  @Test
  void allDataLostWhileAUserCancels() {
    runJobs();
    FakeWorker worker = cluster.runningTasks("j-3").values().iterator().next();
    worker.partitioned = true;
    assertThat(cluster.cancel(1, "j-3").status()).isEqualTo(503);
    cluster.store.wipe();
    cluster.advance(6);
    worker.partitioned = false;
    cluster.advance(6);
    assertThat(cluster.cancel(1, "j-3").status()).isEqualTo(200);
    cluster.store.wipe();
    cluster.advance(8);
    for (int n = 0; n < 3; n++) {
      assertThat(cluster.phase(n, "j-3")).isEqualTo("cancelled");
      assertThat(cluster.phase(n, "j-4")).isEqualTo("cancelled");
    }
    assertThat(cluster.runningTasks("j-3")).isEmpty();
  }

  @Test
  void tasksRunOnlyOnceIfTheLeaderIsKilledWithTheLoss() {
    runJobs();
    Snapshot earlier = cluster.store.snapshot();
    cluster.submit(1, job("j-7", "array", 2));
    cluster.advance(6);
    cluster.store.restore(earlier, false);
    leader.kill();
    cluster.advance(25);
    assertThat(cluster.leader()).isNotNull();
    assertThat(cluster.phase(cluster.leader().index, "j-1")).isEqualTo("done");
    cluster.advance(100);
    assertThat(cluster.runningTasks("j-2")).hasSize(3);
    // A controller that accepted the job still runs and restores it. Its tasks start again only
    // once
    // none of them can still run.
    assertThat(cluster.runningTasks("j-7")).hasSize(2);
  }

  @Test
  void aControllerPartitionedDuringTheLossAdoptsTheNewIncarnation() {
    runJobs();
    ControllerNode other = cluster.otherNode(leader);
    other.storeUnavailable = true;
    other.peersUnreachable = true;
    cluster.store.wipe();
    cluster.advance(15);
    other.storeUnavailable = false;
    other.peersUnreachable = false;
    verifyServiceResumes(8);
  }

  @Test
  void failoversOutagesAndRestartsAreNotTakenForADataLoss() {
    runJobs();
    for (int i = 0; i < 3; i++) {
      ControllerNode current = cluster.leader();
      current.kill();
      cluster.advance(14);
      current.start();
      cluster.store.outage = true;
      cluster.advance(5);
      cluster.store.endOutage();
      cluster.advance(5);
    }
    assertThat(losses(cluster)).isZero();
    cluster.store.wipe();
    cluster.advance(8);
    assertThat(losses(cluster)).isEqualTo(3);
  }

  @Test
  void aLossIsDetectedWithinOneLeaderLease() {
    runJobs();
    double leaderLeaseS = leader.settings.workers().leaseS() / 10;
    Snapshot earlier = cluster.store.snapshot();
    cluster.advance(5);
    cluster.store.wipe();
    cluster.advance(leaderLeaseS);
    assertThat(losses(cluster)).isPositive();
    cluster.advance(20);
    int before = losses(cluster);
    cluster.store.restore(earlier, true);
    cluster.advance(leaderLeaseS);
    assertThat(losses(cluster)).isGreaterThan(before);
  }
}
