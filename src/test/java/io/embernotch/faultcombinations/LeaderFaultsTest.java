package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Leaders that end, are isolated or follow each other quickly, together with other faults. */
class LeaderFaultsTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;
  private final RecordedAnswers answers = scenario.answers;

  /** Users reach the isolated leader, too, and ask it. */
  @Test
  void isolatedLeaderWithWorkersWhileTheNextOneCancelsJobs() {
    ControllerNode former = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "array", 8);
    answers.submit(0, "j-2", "standing", 8);
    cluster.advance(12);
    cluster.workers.values().forEach(worker -> worker.controllerIndex = former.index);
    former.storeUnavailable = true;
    former.peersUnreachable = true;
    double until = cluster.time.now() + former.settings.gracePeriodS() + scenario.leaseS() + 10;
    while (cluster.time.now() < until) {
      cluster.cancelAsync(cluster.otherNode(former).index, "j-1");
      cluster.cancelAsync(former.index, "j-1");
      answers.poll(former.index, "j-1");
      answers.poll(cluster.otherNode(former).index, "j-1");
      cluster.advance(1);
    }
    assertThat(cluster.phase(cluster.otherNode(former).index, "j-1")).isEqualTo("cancelled");
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-2")).hasSize(8);
  }

  @ParameterizedTest
  @EnumSource(MachineFault.class)
  void failoverWhileMachinesWithLongTasksAreUnreachable(MachineFault fault) {
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 12);
    answers.submit(0, "j-2", "array", 12);
    cluster.advance(15);
    List<FakeWorker> unreachable = scenario.machinesOf("j-2");
    unreachable.forEach(fault::applyTo);
    leader.kill();
    cluster.cloud.down = true;
    cluster.advance(scenario.leaseS() * 0.6);
    leader.start();
    unreachable.forEach(MachineFault::clear);
    cluster.advance(5);
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(12);
    assertThat(cluster.runningTasks("j-2")).hasSize(12);
  }

  @ParameterizedTest
  @CsvSource({"0.2", "6"})
  void tenFailoversInTwoMinutesWithAStoreOutage(double downS) {
    cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 8);
    answers.submit(0, "j-2", "array", 8);
    answers.submit(0, "j-3", "group", 8);
    cluster.advance(12);
    Map<String, FakeWorker> before = cluster.runningTasks("j-1");
    for (int i = 0; i < 10; i++) {
      ControllerNode leader = cluster.leader();
      if (i == 4) {
        cluster.store.outage = true;
      }
      if (i == 6) {
        cluster.store.endOutage();
      }
      if (leader != null) {
        cluster.restartAfter(leader, downS);
      }
      int round = i;
      scenario.advanceCancelling("j-2", 12, s -> (round + s) % 3);
    }
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    assertThat(cluster.runningTasks("j-3")).hasSize(8);
  }

  @ParameterizedTest
  @CsvSource({"25", "32", "90"})
  void allControllersDownForAboutALeaseAndLonger(int downS) {
    cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 8);
    answers.submit(0, "j-2", "array", 8);
    cluster.advance(12);
    cluster.cancelAsync(0, "j-2");
    cluster.advance(0.004);
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.advance(downS);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.nodes.forEach(ControllerNode::start);
    cluster.advance(4);
    cluster.deliverDelayed();
    cluster.cancelAsync(1, "j-2");
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
  }

  @ParameterizedTest
  @CsvSource({"0.2", "0.9", "5"})
  void failoverAndBackThenOneOfAllControllersReturns(double downS) {
    ControllerNode first = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 8);
    answers.submit(0, "j-2", "array", 8);
    cluster.advance(12);
    Map<String, FakeWorker> before = cluster.runningTasks("j-1");
    first.storeUnavailable = true;
    cluster.advance(5);
    ControllerNode second = cluster.awaitLeader(1);
    first.storeUnavailable = false;
    second.kill();
    cluster.advance(downS);
    second.start();
    cluster.cancelAsync(first.index, "j-2");
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(downS);
    first.start();
    cluster.awaitLeader(8);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    scenario.advanceCancelling("j-2", 10, s -> first.index);
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
  }
}
