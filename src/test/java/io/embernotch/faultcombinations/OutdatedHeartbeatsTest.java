package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Heartbeats that arrive after newer ones, or after a new leader has acted. */
class OutdatedHeartbeatsTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;
  private final RecordedAnswers answers = scenario.answers;

  /** They were sent before the new leader had the tasks stopped. */
  @Test
  void heartbeatsDelayedUntilTheNextLeaderHasActed() {
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "array", 4);
    cluster.advance(12);
    List<FakeWorker> machines = scenario.machinesOf("j-1");
    List<byte[]> heartbeats = machines.stream().map(FakeWorker::heartbeat).toList();
    leader.kill();
    cluster.advance(8);
    leader.start();
    ControllerNode next = cluster.awaitLeader(4);
    // Its own stops and what has ended since.
    answers.submit(next.index, "j-2", "array", 4);
    cluster.advance(4);
    answers.cancel(next.index, "j-1");
    cluster.advance(8);
    Map<String, FakeWorker> running = cluster.runningTasks("j-2");
    assertThat(running.values()).containsAnyElementsOf(machines);
    deliverToAll(heartbeats);
    cluster.advance(1);
    heartbeats.forEach(heartbeat -> cluster.deliverHeartbeat(next, heartbeat));
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-2")).hasSize(4).isEqualTo(running);
    assertThat(scenario.startCount("j-2")).isEqualTo(4);
    scenario.verifyRecovery();
  }

  /** Of another agent epoch, and of another attempt of the same task on the same machine. */
  @Test
  void heartbeatsAfterNewerOnes() {
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "array", 8);
    answers.submit(0, "j-2", "standing", 4);
    cluster.advance(12);
    cluster.faults.duplicatedHeartbeatShare = 0.3;
    FakeWorker worker = cluster.runningTasks("j-1").get("j-1/0");
    List<byte[]> outdated = List.copyOf(cluster.heartbeatsOf(worker.name));
    worker.exitTask("j-1/0", "error");
    cluster.advance(10);
    Map<String, FakeWorker> running = cluster.runningTasks("j-1");
    outdated.forEach(heartbeat -> cluster.deliverHeartbeat(leader, heartbeat));
    cluster.advance(2);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(running);
    worker.partitioned = true;
    cluster.advance(scenario.leaseS() + 3);
    worker.partitioned = false;
    cluster.advance(3);
    deliverToAll(outdated);
    leader.kill();
    cluster.advance(6);
    deliverToAll(outdated);
    leader.start();
    cluster.advance(10);
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
  }

  private void deliverToAll(List<byte[]> heartbeats) {
    for (byte[] heartbeat : heartbeats) {
      cluster.nodes.forEach(node -> cluster.deliverHeartbeat(node, heartbeat));
    }
  }
}
