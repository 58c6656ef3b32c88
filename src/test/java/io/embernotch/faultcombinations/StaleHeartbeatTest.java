package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An old report reaches every controller just as a new leader begins: of an earlier session, of an
 * earlier attempt, from before a start or a stop; two different ones at two nodes.
 */
class StaleHeartbeatTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster world = scenario.world;

  private void atEveryNode(byte[] heartbeat, byte[] another) {
    for (Node n : world.nodes) {
      world.late(n, n.index == 1 ? another : heartbeat);
    }
  }

  /** {@code afterS}: before the leader has claimed, as it reads, and once it leads. */
  @ParameterizedTest
  @CsvSource({"0", "1.5", "2.9", "3.05", "3.1", "3.2", "3.5", "5"})
  void oldHeartbeatsAtEveryNodeAsANewLeaderBegins(double afterS) {
    Node leader = world.settle(3);
    scenario.told.submit(0, "j-0", "standing", 2);
    world.pass(12);
    FakeWorker first = scenario.machinesOf("j-0").get(0);
    byte[] beforeStart = first.heartbeat();
    scenario.told.submit(0, "j-1", "array", 6);
    scenario.told.submit(1, "j-2", "group", 4);
    world.pass(6);
    List<FakeWorker> machines = List.copyOf(world.workers.values());
    List<byte[]> running = machines.stream().map(FakeWorker::heartbeat).toList();
    // Another attempt of a task of j-1, and one that has ended for good.
    world.running("j-1").get("j-1/0").exit("j-1/0", "error");
    world.running("j-1").get("j-1/1").exit("j-1/1", "done");
    world.pass(8);
    List<byte[]> after = machines.stream().map(FakeWorker::heartbeat).toList();
    world.workers.values().forEach(w -> w.mute = true);
    leader.kill();
    world.pass(afterS);
    atEveryNode(beforeStart, running.get(0));
    for (int i = 0; i < machines.size(); i++) {
      atEveryNode(running.get(i), after.get(i));
    }
    world.pass(0.3);
    atEveryNode(after.get(0), beforeStart);
    world.pass(6);
    world.workers.values().forEach(w -> w.mute = false);
    atEveryNode(running.get(0), beforeStart);
    world.pass(6);
    leader.start();
    scenario.allIsWell();
    assertThat(world.running("j-1")).hasSize(5);
    assertThat(world.running("j-2")).hasSize(4);
  }

  /**
   * What a machine said before the task was started there, under the former leader's token, proves
   * no end.
   */
  @ParameterizedTest
  @CsvSource({"3.2", "4", "6"})
  void aHeartbeatFromBeforeTheStartProvesNothingToTheNextLeader(double afterS) {
    Node leader = world.settle(3);
    scenario.told.submit(0, "j-0", "standing", 2);
    world.pass(12);
    List<FakeWorker> machines = List.copyOf(world.workers.values());
    List<byte[]> before = machines.stream().map(FakeWorker::heartbeat).toList();
    scenario.told.submit(0, "j-1", "array", 6);
    world.pass(6);
    var running = world.running("j-1");
    assertThat(running).hasSize(6);
    machines.forEach(w -> w.mute = true);
    world.nodes.forEach(Node::kill);
    world.pass(0.5);
    world.nodes.stream().filter(n -> n != leader).forEach(Node::start);
    world.pass(afterS);
    before.forEach(r -> atEveryNode(r, r));
    world.pass(5);
    machines.forEach(w -> w.mute = false);
    leader.start();
    world.pass(5);
    assertThat(world.running("j-1")).isEqualTo(running);
    scenario.allIsWell();
  }

  /** Copies of drawn reports, kept for whoever leads next, five times in a row. */
  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void copiesKeptForTheNextLeader(long seed) {
    world.random = new java.util.SplittableRandom(seed);
    world.settle(3);
    world.heartbeatsForNext = 0.5;
    for (int i = 0; i < 5; i++) {
      scenario.told.submit(i % 3, "j-" + i, List.of("array", "group", "standing").get(i % 3), 4);
      world.pass(9);
      world.finish("j-" + (i - 2));
      world.askCancel(i % 3, "j-" + (i - 1));
      List<FakeWorker> machines = List.copyOf(world.workers.values());
      FakeWorker hit = machines.get(i % machines.size());
      hit.cut = true;
      Node leader = world.leader();
      if (leader != null) {
        leader.kill();
        world.time.after(i % 2 == 0 ? 0.2 : 6, leader::start);
      }
      world.pass(i % 2 == 0 ? 4 : scenario.leaseS() + 3);
      hit.cut = false;
      world.pass(3);
    }
    scenario.allIsWell();
  }
}
