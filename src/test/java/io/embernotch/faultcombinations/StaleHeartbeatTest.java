package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.shapeOf;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A stale heartbeat reaches every controller just as a new leader begins: of an earlier agent
 * epoch, of an earlier attempt, from before a start or a stop; two different ones at two nodes.
 */
class StaleHeartbeatTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  private void deliverToAll(byte[] heartbeat, byte[] toSecondNode) {
    for (ControllerNode node : cluster.nodes) {
      cluster.deliverHeartbeat(node, node.index == 1 ? toSecondNode : heartbeat);
    }
  }

  private static List<byte[]> heartbeatsOf(List<FakeWorker> machines) {
    return machines.stream().map(FakeWorker::heartbeat).toList();
  }

  /** {@code afterS}: before the leader has claimed, as it reads, and once it leads. */
  @ParameterizedTest
  @CsvSource({"0", "1.5", "2.9", "3.05", "3.1", "3.2", "3.5", "5"})
  void staleHeartbeatsAtEveryNodeAsANewLeaderBegins(double afterS) {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-0", "standing", 2);
    cluster.advance(12);
    byte[] beforeStart = scenario.machinesOf("j-0").get(0).heartbeat();
    scenario.answers.submit(0, "j-1", "array", 6);
    scenario.answers.submit(1, "j-2", "group", 4);
    cluster.advance(6);
    List<FakeWorker> machines = List.copyOf(cluster.workers.values());
    List<byte[]> running = heartbeatsOf(machines);
    // Another attempt of a task of j-1, and one that has ended for good.
    cluster.runningTasks("j-1").get("j-1/0").exitTask("j-1/0", "error");
    cluster.runningTasks("j-1").get("j-1/1").exitTask("j-1/1", "done");
    cluster.advance(8);
    List<byte[]> after = heartbeatsOf(machines);
    cluster.workers.values().forEach(worker -> worker.outboundPartitioned = true);
    leader.kill();
    cluster.advance(afterS);
    deliverToAll(beforeStart, running.get(0));
    for (int i = 0; i < machines.size(); i++) {
      deliverToAll(running.get(i), after.get(i));
    }
    cluster.advance(0.3);
    deliverToAll(after.get(0), beforeStart);
    cluster.advance(6);
    cluster.workers.values().forEach(worker -> worker.outboundPartitioned = false);
    deliverToAll(running.get(0), beforeStart);
    cluster.advance(6);
    leader.start();
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(5);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
  }

  /**
   * What a machine sent before the task was started there, under the former leader's token, proves
   * no end.
   */
  @ParameterizedTest
  @CsvSource({"3.2", "4", "6"})
  void heartbeatFromBeforeTheStartProvesNothingToTheNextLeader(double afterS) {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-0", "standing", 2);
    cluster.advance(12);
    List<FakeWorker> machines = List.copyOf(cluster.workers.values());
    List<byte[]> beforeStart = heartbeatsOf(machines);
    scenario.answers.submit(0, "j-1", "array", 6);
    cluster.advance(6);
    Map<String, FakeWorker> running = cluster.runningTasks("j-1");
    assertThat(running).hasSize(6);
    machines.forEach(worker -> worker.outboundPartitioned = true);
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(0.5);
    cluster.nodes.stream().filter(node -> node != leader).forEach(ControllerNode::start);
    cluster.advance(afterS);
    beforeStart.forEach(heartbeat -> deliverToAll(heartbeat, heartbeat));
    cluster.advance(5);
    machines.forEach(worker -> worker.outboundPartitioned = false);
    leader.start();
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(running);
    scenario.verifyRecovery();
  }

  /** Copies of drawn heartbeats, replayed to the next leader, five times in a row. */
  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void heartbeatsReplayedToTheNextLeader(long seed) {
    cluster.faults.random = new SplittableRandom(seed);
    cluster.awaitLeader(3);
    cluster.faults.replayedHeartbeatShare = 0.5;
    for (int i = 0; i < 5; i++) {
      scenario.answers.submit(i % 3, "j-" + i, shapeOf(i), 4);
      cluster.advance(9);
      cluster.completeTasks("j-" + (i - 2));
      cluster.cancelAsync(i % 3, "j-" + (i - 1));
      List<FakeWorker> machines = List.copyOf(cluster.workers.values());
      FakeWorker partitioned = machines.get(i % machines.size());
      partitioned.partitioned = true;
      ControllerNode leader = cluster.leader();
      if (leader != null) {
        cluster.restartAfter(leader, i % 2 == 0 ? 0.2 : 6);
      }
      cluster.advance(i % 2 == 0 ? 4 : scenario.leaseS() + 3);
      partitioned.partitioned = false;
      cluster.advance(3);
    }
    scenario.verifyRecovery();
  }
}
