package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.election.LeaderObserver;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Processes and machines that restart within a fraction of a second, and delayed messages from
 * their former incarnations.
 */
class ProcessIncarnationsTest extends ClusterTest {
  private static final double RESTART_S = 0.2;

  ProcessIncarnationsTest() {
    super(new SimulatedCluster(3, 10));
  }

  /** Starts a service with eight replicas and returns the machine of each replica. */
  private Map<String, FakeWorker> startService() {
    ControllerNode node = cluster.awaitLeader(2);
    assertThat(cluster.submit(node.index, job("j-1", "standing", 8)).status()).isEqualTo(201);
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    return cluster.runningTasks("j-1");
  }

  private void restart(ControllerNode node) {
    node.kill();
    cluster.advance(RESTART_S);
    node.start();
  }

  @Test
  void leaderThatRestartsTwiceWithinItsLeaseStopsNoTask() {
    Map<String, FakeWorker> before = startService();
    ControllerNode leader = cluster.leader();
    restart(leader);
    cluster.advance(0.5);
    restart(leader);
    // The leader key of its former incarnation neither makes the restarted node leader nor delays
    // the election.
    cluster.awaitLeader(2);
    cluster.advance(60);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }

  @Test
  void restartOfAllControllersDuringElectionStopsNoTask() {
    Map<String, FakeWorker> before = startService();
    cluster.leader().kill();
    // Restart all controllers while the leader key expires and the others claim it.
    for (int i = 0; i < 12; i++) {
      cluster.advance(0.3);
      cluster.nodes.forEach(ControllerNode::kill);
      cluster.advance(RESTART_S / 4);
      cluster.nodes.forEach(ControllerNode::start);
    }
    cluster.awaitLeader(6);
    cluster.advance(60);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }

  @Test
  void delayedFramesOfFormerIncarnationsChangeNothing() {
    Map<String, FakeWorker> before = startService();
    for (double delayS : new double[] {1, 10, 70}) {
      cluster.faults.delayFrames = true;
      cluster.advance(1);
      ControllerNode leader = cluster.leader();
      restart(leader);
      restart(cluster.otherNode(leader));
      cluster.faults.delayFrames = false;
      cluster.advance(delayS);
      cluster.deliverDelayed();
      cluster.awaitLeader(8);
      assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    }
  }

  /**
   * A controller that has seen the leader key deleted must not accept its former owner as leader
   * again because of a delayed heartbeat.
   */
  @Test
  void peerHeartbeatOfAnEndedTermIsIgnored() {
    LeaderObserver leaderObserver = new LeaderObserver(cluster.time);
    assertThat(leaderObserver.observeClaim("c1", 7)).isTrue();
    leaderObserver.setLeader(null, 0);
    assertThat(leaderObserver.observeClaim("c1", 7)).isFalse();
    assertThat(leaderObserver.node()).isNull();
    assertThat(leaderObserver.observeClaim("c2", 9)).isTrue();
    leaderObserver.setLeader("c2", 9);
    assertThat(leaderObserver.observeClaim("c1", 8)).isFalse();
  }

  /** A repeated start must not run an attempt again that the worker has reaped. */
  @Test
  void repeatedCommandsDoNotStartReapedAttempts() {
    ControllerNode node = cluster.awaitLeader(2);
    cluster.submit(node.index, job("j-2", "array", 3));
    cluster.advance(15);
    cluster.completeTasks("j-2");
    cluster.advance(8);
    assertThat(
            cluster.workers.values().stream()
                .mapToInt(worker -> worker.reapedAttempts.size())
                .sum())
        .isEqualTo(3);
    cluster.redeliverAll();
    assertThat(cluster.runningTasks("j-2")).isEmpty();
  }

  @Test
  void restartedMachineGetsTasksOnceNoCopyOfTheirStartsIsValid() {
    FakeWorker worker = startService().get("j-1/0");
    worker.restart(false);
    cluster.advance(1.1);
    cluster.redeliverAll();
    cluster.advance(8);
    cluster.redeliverAll();
    cluster.advance(8);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
  }

  /**
   * Heartbeats of a machine that lost its state are numbered from the beginning again. If they were
   * treated as stale, the tasks of the machine would never run again.
   */
  @Test
  void machineThatLostItsStateIsAcceptedOnceItAnswers() {
    Map<String, FakeWorker> before = startService();
    FakeWorker worker = before.get("j-1/0");
    cluster.advance(30);
    worker.restart(true);
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    cluster.redeliverAll();
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    assertThat(cluster.cloud.deleted).doesNotContain(worker.name);
  }
}
