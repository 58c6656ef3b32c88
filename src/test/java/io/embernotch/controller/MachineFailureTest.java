package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.withPriority;
import static io.embernotch.testkit.TestJobs.withoutSpot;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Machines fail, hang or are partitioned: their tasks restart elsewhere once they are proven to
 * have ended.
 */
class MachineFailureTest extends ClusterTest {
  MachineFailureTest() {
    super(new SimulatedCluster(3));
  }

  @Test
  void lostMachineUsesQuotaUntilItsTasksAreProvenToHaveEnded() {
    cluster.awaitLeader(2);
    runJob(job("j-3", "array", 24), "j-3", 24);
    FakeWorker worker = cluster.runningTasks("j-3").get("j-3/0");
    int tasksOnIt = worker.runningTasks().size();
    worker.partitioned = true;
    cluster.cloud.down = true;
    cluster.submit(0, job("j-4", "array", 8));
    cluster.advance(25);
    // Neither a deletion of the machine nor the expiry of its lease proves that the tasks ended.
    assertThat(cluster.runningTasks("j-4")).isEmpty();
    assertThat(worker.runningTasks()).hasSize(tasksOnIt);
    cluster.cloud.down = false;
    cluster.advance(30);
    assertThat(cluster.cloud.deleted).contains(worker.name);
    assertThat(cluster.runningTasks("j-3")).hasSize(24);
  }

  @Test
  void leaseExpiryProvesThatTasksEndedWithoutTheCloud() {
    cluster.awaitLeader(2);
    runJob(job("j-5", "array", 1), "j-5", 1);
    FakeWorker worker = cluster.runningTasks("j-5").get("j-5/0");
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(6);
    worker.partitioned = true;
    cluster.cloud.down = true;
    cluster.advance(26);
    assertThat(cluster.runningTasks("j-5").get("j-5/0")).isSameAs(worker);
    cluster.advance(10);
    assertThat(cluster.runningTasks("j-5").get("j-5/0")).isNotNull().isNotSameAs(worker);
  }

  @Test
  void machineListThatLacksAMachineEndsNoTask() {
    cluster.awaitLeader(2);
    Map<String, FakeWorker> machines = runJob(job("j-18", "standing", 2), "j-18", 2);
    machines.values().forEach(worker -> cluster.cloud.unlisted.add(worker.name));
    cluster.advance(30);
    assertThat(cluster.runningTasks("j-18")).isEqualTo(machines);
  }

  @Test
  void machineThatFailsAllTasksIsAvoidedAndScaledIn() {
    cluster.awaitLeader(2);
    String failing = cluster.bootMachine("g8", "z1", true);
    cluster.advance(6);
    cluster.workers.get(failing).failsTasks = true;
    cluster.submit(0, job("j-22", "array", 4));
    cluster.advance(25);
    assertThat(cluster.runningTasks("j-22")).hasSize(4);
    // The failures of one job are sufficient evidence only once the job has succeeded elsewhere.
    assertThat(cluster.cloud.deleted).doesNotContain(failing);
    cluster.completeTasks("j-22");
    cluster.advance(6);
    assertThat(cluster.cloud.deleted).contains(failing);
  }

  @Test
  void spotReclaimNoticeMovesTasksToAnotherMachine() {
    cluster.awaitLeader(2);
    Map<String, FakeWorker> machines = runJob(job("j-23", "array", 2), "j-23", 2);
    FakeWorker reclaimed = machines.get("j-23/0");
    reclaimed.reclaimNoticeS = 12.0;
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-23")).hasSize(2);
    assertThat(cluster.runningTasks("j-23").values()).noneMatch(machine -> machine == reclaimed);
  }

  @Test
  void hungMachineIsReplacedSoonerThanAPartitionedOne() {
    // A service continues to run on a partitioned machine, but not on one that accepts connections
    // and never answers.
    cluster.awaitLeader(2);
    runJob(job("j-28", "standing", 8), "j-28", 8);
    FakeWorker hung = cluster.runningTasks("j-28").get("j-28/0");
    hung.hung = true;
    cluster.advance(14);
    assertThat(cluster.cloud.deleted).containsExactly(hung.name);
    cluster.advance(8);
    assertThat(cluster.runningTasks("j-28")).hasSize(8);
    FakeWorker worker = cluster.runningTasks("j-28").get("j-28/0");
    worker.partitioned = true;
    cluster.advance(20);
    assertThat(cluster.cloud.deleted).doesNotContain(worker.name);
  }

  @Test
  void machinePartitionedDuringFailoverIsReplacedSoon() {
    // A machine that has sent no heartbeat to the new leader must not be treated as still booting.
    ControllerNode leader = cluster.awaitLeader(2);
    runJob(job("j-25", "standing", 8), "j-25", 8);
    runJob(job("j-26", "standing", 8), "j-26", 8);
    runJob(job("j-27", "standing", 8), "j-27", 8);
    FakeWorker worker = cluster.runningTasks("j-25").get("j-25/0");
    worker.partitioned = true;
    leader.kill();
    cluster.advance(24);
    assertThat(cluster.cloud.deleted).containsExactly(worker.name);
    assertThat(cluster.runningTasks("j-25").get("j-25/0")).isNotNull();
  }

  @Test
  void serviceSurvivesAPartitionShorterThanItsLease() {
    // After a few missing heartbeats, the machine must not be scaled in and its service must not be
    // started elsewhere.
    cluster.awaitLeader(2);
    String service = withoutSpot(withPriority(job("j-70", "standing", 1), "production"));
    FakeWorker worker = runJob(service, "j-70", 1).get("j-70/0");
    cluster.bootMachine("g8", "z1", false);
    cluster.advance(6);
    worker.partitioned = true;
    cluster.advance(20);
    assertThat(cluster.cloud.deleted).doesNotContain(worker.name);
    worker.partitioned = false;
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-70").get("j-70/0")).isSameAs(worker);
    assertThat(worker.startedAttempts).hasSize(1);
  }

  @Test
  void unresponsiveMachineWithArraysIsDeletedOnceAProbeFails() {
    cluster.awaitLeader(2);
    FakeWorker worker = runJob(job("j-71", "array", 1), "j-71", 1).get("j-71/0");
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(6);
    worker.partitioned = true;
    cluster.advance(10);
    assertThat(cluster.cloud.deleted).contains(worker.name);
    assertThat(cluster.runningTasks("j-71").get("j-71/0")).isNotNull().isNotSameAs(worker);
  }
}
