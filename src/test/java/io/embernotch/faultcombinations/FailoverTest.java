package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestJobs;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Jobs are cancelled in the seconds in which one controller's work changes hands, by users who go
 * from node to node.
 */
class FailoverTest {
  private static final double FROM_S = -5;
  private static final double TO_S = 5;
  private static final double STEP_S = 0.5;

  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  private void handOver(String how, ControllerNode leader) {
    switch (how) {
      case "ends" -> {
        leader.kill();
        cluster.time.after(7, leader::start);
      }
      case "returns at once" -> {
        leader.kill();
        cluster.time.after(0.2, leader::start);
      }
      case "refused" -> {
        leader.storeUnavailable = true;
        cluster.time.after(9, () -> leader.storeUnavailable = false);
      }
      default -> {
        leader.storeUnavailable = leader.peersUnreachable = true;
        cluster.time.after(9, () -> leader.storeUnavailable = leader.peersUnreachable = false);
      }
    }
  }

  /** One hand-over for each moment, from 5 s before the former leader lets go to 5 s after. */
  @ParameterizedTest
  @CsvSource({"ends", "returns at once", "refused", "alone"})
  void aCancellationAroundAHandOver(String how) {
    cluster.awaitLeader(3);
    int i = 0;
    for (double at = FROM_S; at <= TO_S; at += STEP_S) {
      String ref = "j-" + i++;
      String fresh = "j-" + (100 + i);
      scenario.answers.submit(i % 3, ref, List.of("array", "group", "standing").get(i % 3), 4);
      cluster.advance(i == 1 ? 12 : 3);
      ControllerNode leader = cluster.awaitLeader(10);
      int asked = i % 3;
      cluster.time.after(-FROM_S, () -> handOver(how, leader));
      cluster.time.after(-FROM_S + at, () -> scenario.cancelUntilConfirmed(ref, asked, 12));
      // One that is just being started meets it too.
      cluster.time.after(
          Math.max(0, -FROM_S + at - 0.2),
          () -> cluster.submitAsync(asked, TestJobs.job(fresh, "array", 3)));
      cluster.time.after(
          -FROM_S + at, () -> scenario.cancelUntilConfirmed(fresh, (asked + 1) % 3, 12));
      scenario.pollAllNodes(ref, 2 * TO_S + 4, 0.25);
      cluster.advance(-FROM_S + TO_S + 8);
    }
    cluster.advance(scenario.cancelS());
    for (int j = 0; j < i; j++) {
      cluster.cancelAsync(j % 3, "j-" + j);
      cluster.advance(0.2);
      assertThat(cluster.phase((j + 1) % 3, "j-" + j)).as("j-" + j).isEqualTo("cancelled");
      assertThat(cluster.runningTasks("j-" + j)).isEmpty();
    }
    scenario.verifyRecovery();
  }

  /**
   * The former leader has decided, and ended before anybody was told; the next one knows it from
   * the store.
   */
  @ParameterizedTest
  @CsvSource({"0.001", "0.003", "0.005", "0.01", "0.05"})
  void aDecisionThatItsLeaderDidNotLiveToTell(double afterS) {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-1", "array", 8);
    cluster.advance(12);
    // Neither the stops nor the answers to heartbeats reach them any more.
    cluster.workers.values().forEach(w -> w.outboundPartitioned = true);
    cluster.faults.commandDelivery = Delivery.LOST;
    cluster.cancelAsync(leader.index, "j-1");
    cluster.advance(afterS);
    leader.kill();
    cluster.advance(6);
    cluster.workers.values().forEach(w -> w.outboundPartitioned = false);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    scenario.cancelUntilConfirmed("j-1", 0, 10);
    cluster.advance(20);
    leader.start();
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    scenario.verifyRecovery();
    assertThat(cluster.phase(0, "j-1")).isEqualTo("cancelled");
  }
}
