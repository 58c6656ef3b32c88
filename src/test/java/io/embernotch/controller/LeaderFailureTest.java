package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/** Failures of the leader, of all controllers, and of the store. */
class LeaderFailureTest extends ClusterTest {
  LeaderFailureTest() {
    super(new SimulatedCluster(3));
  }

  @Test
  void leaderPartitionedFromTheStoreIsReplaced() {
    ControllerNode formerLeader = cluster.awaitLeader(2);
    runJob(job("j-11", "array", 2), "j-11", 2);
    formerLeader.storeUnavailable = true;
    cluster.advance(8);
    ControllerNode nextLeader = cluster.leader();
    assertThat(nextLeader).isNotNull().isNotSameAs(formerLeader);
    assertThat(cluster.submit(nextLeader.index, job("j-12", "array", 2)).status()).isEqualTo(201);
    cluster.advance(10);
    assertThat(cluster.runningTasks("j-12")).hasSize(2);
    assertThat(cluster.runningTasks("j-11")).hasSize(2);
  }

  @Test
  void leaderPartitionedFromStoreAndPeersIsReplaced() {
    ControllerNode formerLeader = cluster.awaitLeader(2);
    runJob(job("j-13", "array", 2), "j-13", 2);
    formerLeader.storeUnavailable = true;
    formerLeader.peersUnreachable = true;
    cluster.advance(60);
    assertThat(cluster.leader()).isNotNull().isNotSameAs(formerLeader);
    assertThat(cluster.runningTasks("j-13")).hasSize(2);
  }

  @Test
  void crashOfAllNodesLosesNoJobAndNoRunningTask() {
    cluster.awaitLeader(2);
    runJob(job("j-14", "array", 3), "j-14", 3);
    assertThat(cluster.submit(1, job("j-15", "array", 1)).status()).isEqualTo(201);
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(5);
    cluster.nodes.forEach(ControllerNode::start);
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-14")).hasSize(3);
    assertThat(cluster.runningTasks("j-15")).hasSize(1);
    assertThat(
            cluster.workers.values().stream()
                .mapToInt(worker -> worker.startedAttempts.size())
                .sum())
        .isEqualTo(4);
  }

  @Test
  void storeOutageStopsNoTask() {
    cluster.awaitLeader(2);
    runJob(job("j-16", "standing", 3), "j-16", 3);
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
  void acceptedJobIsKnownWithoutALeader() {
    ControllerNode formerLeader = cluster.awaitLeader(8);
    ControllerNode follower = cluster.otherNode(formerLeader);
    assertThat(cluster.submit(follower.index, job("j-19", "array", 1)).status()).isEqualTo(201);
    formerLeader.kill();
    assertThat(cluster.phase(follower.index, "j-19")).isEqualTo("queued");
  }
}
