package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/** Jobs keep the state reported to users even if commands or commits are lost or delayed. */
class JobStateTest extends ClusterTest {
  JobStateTest() {
    super(new SimulatedCluster(3));
  }

  private void startWithOneMachine() {
    cluster.awaitLeader(2);
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(8);
  }

  @Test
  void completedJobIsDoneOnEveryNode() {
    cluster.awaitLeader(2);
    runJob(job("j-1", "array", 3), "j-1", 3);
    assertThat(cluster.phase(1, "j-1")).isEqualTo("running");
    cluster.completeTasks("j-1");
    cluster.advance(3);
    for (int node = 0; node < 3; node++) {
      assertThat(cluster.phase(node, "j-1")).isEqualTo("done");
      assertThat(cluster.submit(node, job("j-1", "array", 3)).status()).isEqualTo(200);
    }
    // Workers may receive the command to reap the tasks only after the completion is stored.
    assertThat(cluster.store.value("run/j-1").get("end").asText()).isEqualTo("done");
    cluster.advance(3);
    assertThat(
            cluster.workers.values().stream()
                .mapToInt(worker -> worker.reapedAttempts.size())
                .sum())
        .isEqualTo(3);
  }

  @Test
  void delayedCommandOfADeposedLeaderStartsNothing() {
    ControllerNode deposed = cluster.awaitLeader(2);
    String name = cluster.bootMachine("g8", "z1", true);
    cluster.advance(8);
    FakeWorker worker = cluster.workers.get(name);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.submit(0, job("j-6", "array", 1));
    cluster.advance(0.5);
    assertThat(cluster.delayedCount()).isPositive();
    deposed.kill();
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-6")).hasSize(1);
    int starts = worker.startedAttempts.size();
    cluster.deliverDelayed();
    cluster.advance(1);
    assertThat(worker.startedAttempts).hasSize(starts);
  }

  @Test
  void unansweredCommandIsReplacedOnlyUnderANewerToken() {
    startWithOneMachine();
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.submit(0, job("j-7", "array", 1));
    cluster.advance(10);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-7")).hasSize(1);
    cluster.completeTasks("j-7");
    cluster.advance(6);
    // The delayed start must not run the completed task again, though the worker has reaped it.
    cluster.deliverDelayed();
    cluster.advance(1);
    assertThat(cluster.runningTasks("j-7")).isEmpty();
    assertThat(cluster.phase(0, "j-7")).isEqualTo("done");
  }

  @Test
  void delayedTransactionDoesNotUndoANewerOne() {
    startWithOneMachine();
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
  void cancellationThatRacesAStartLeavesNothingRunning() {
    startWithOneMachine();
    cluster.workers.values().forEach(worker -> worker.heartbeatResponseDelayS = 3.5);
    cluster.submit(0, job("j-9", "standing", 2));
    cluster.advance(1.2);
    // The start may still arrive, so the cancellation cannot be confirmed yet.
    assertThat(cluster.cancel(1, "j-9").status()).isEqualTo(503);
    cluster.workers.values().forEach(worker -> worker.heartbeatResponseDelayS = 0);
    cluster.advance(5);
    assertThat(cluster.cancel(1, "j-9").status()).isEqualTo(200);
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-9")).isEmpty();
    assertThat(cluster.phase(2, "j-9")).isEqualTo("cancelled");
  }

  @Test
  void cancelledJobStaysCancelledWhileItsTasksEnd() {
    // Closing the attempts marks the job's shard as dirty, which must not set the job to running.
    cluster.awaitLeader(2);
    runJob(job("j-10", "standing", 4), "j-10", 4);
    assertThat(cluster.cancel(0, "j-10").status()).isEqualTo(200);
    for (int i = 0; i < 40; i++) {
      assertThat(cluster.phase(i % 3, "j-10")).isEqualTo("cancelled");
      cluster.advance(0.1);
    }
    assertThat(cluster.cancel(1, "j-10").status()).isEqualTo(200);
  }

  @Test
  void unknownJobsGet404() {
    cluster.awaitLeader(2);
    assertThat(cluster.poll(0, "j-999").status()).isEqualTo(404);
    assertThat(cluster.poll(1, "j-999").status()).isEqualTo(404);
    assertThat(cluster.cancel(2, "j-999").status()).isEqualTo(404);
    assertThat(cluster.poll(0, "not-a-job").status()).isEqualTo(404);
  }

  @Test
  void leaderWithoutCommitResponseReportsTheStoredCompletion() {
    ControllerNode leader = cluster.awaitLeader(8);
    runJob(job("j-18", "array", 1), "j-18", 1);
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.completeTasks("j-18");
    cluster.advance(3);
    cluster.deliverDelayed();
    assertThat(cluster.store.finalPhase("j-18")).isEqualTo("done");
    // The leader does not know the outcome of its commit, so the store is read.
    assertThat(cluster.phase(leader.index, "j-18")).isEqualTo("done");
  }
}
