package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A transaction is carried out at once and only its answer is lost, while other nodes read what it
 * wrote.
 */
class LostResponseTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  /**
   * Every transaction of one kind, with the answers to the reads that follow lost as well or not,
   * and the leader ending or not.
   */
  @ParameterizedTest
  @CsvSource({
    "job/,0,false",
    "job/,0.5,true",
    "run/,0,false",
    "run/,0.5,false",
    "run/,0,true",
    "run/,0.5,true",
    "steward,0,true",
    "steward,0.5,true",
    "shared/,0,false",
    "shared/,0.5,true",
    "era,0.5,true"
  })
  void onlyTheAnswerIsLost(String kind, double readsLost, boolean leaderEnds) {
    if (kind.equals("era")) {
      // The first claim begins the incarnation.
      cluster.faults.commitDeliveryFilter = kind;
      cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
      cluster.advance(4);
      cluster.faults.commitDelivery = Delivery.DELIVERED;
    }
    ControllerNode leader = cluster.awaitLeader(12);
    scenario.answers.submit(0, "j-1", "array", 3);
    scenario.answers.submit(1, "j-2", "standing", 3);
    scenario.answers.submit(2, "j-3", "group", 3);
    cluster.advance(12);
    cluster.faults.commitDeliveryFilter = kind;
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.faults.lostReadShare = readsLost;
    cluster.submitAsync(0, job("j-4", "array", 3));
    cluster.submitAsync(1, job("j-4", "array", 3));
    cluster.submitAsync(
        2, job("j-5", "standing", 3).replace("\"rank\":\"standard\"", "\"rank\":\"production\""));
    scenario.cancelUntilConfirmed("j-2", 1, 6);
    cluster.time.after(0.5, () -> cluster.completeTasks("j-1"));
    for (String ref : List.of("j-1", "j-2", "j-3", "j-4", "j-5")) {
      scenario.pollAllNodes(ref, 7, 0.05);
    }
    if (leaderEnds) {
      cluster.time.after(2, leader::kill);
      cluster.time.after(4, leader::start);
    }
    cluster.advance(8);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.faults.lostReadShare = 0;
    cluster.advance(8);
    scenario.answers.submit(0, "j-4", "array", 3);
    scenario.answers.submit(1, "j-5", "standing", 3);
    scenario.cancelUntilConfirmed("j-2", 0, 3);
    cluster.advance(20);
    Map<String, String> ends =
        Map.of(
            "j-1",
            "done",
            "j-2",
            "cancelled",
            "j-3",
            "running",
            "j-4",
            "running",
            "j-5",
            "running");
    ends.forEach(
        (ref, end) -> assertThat(cluster.phase(ref.charAt(2) % 3, ref)).as(ref).isEqualTo(end));
    scenario.verifyRecovery();
  }

  /** The leader does not know that its start is in the store; whoever follows it does. */
  @Test
  void aStartWhoseCommitIsNotKnownLeavesNoController() {
    ControllerNode leader = cluster.awaitLeader(3);
    cluster.boot("g8", "z1", true);
    cluster.advance(10);
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.faults.lostReadShare = 1;
    scenario.answers.submit(leader.index, "j-1", "array", 4);
    cluster.advance(2);
    assertThat(cluster.store.value("run/j-1")).isNotNull();
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    leader.kill();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.faults.lostReadShare = 0;
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-1")).hasSize(4);
    leader.start();
    scenario.verifyRecovery();
  }

  /**
   * Its claim is in the store, and neither that nor the key can be read back: it must not act, nor
   * block the others.
   */
  @ParameterizedTest
  @CsvSource({"1", "4"})
  void aClaimThatIsNotKnownToBeMade(int forS) {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-1", "standing", 6);
    cluster.advance(12);
    Map<String, ?> before = cluster.runningTasks("j-1");
    cluster.faults.commitDeliveryFilter = "steward";
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.faults.lostReadShare = 1;
    leader.kill();
    cluster.advance(3 + forS);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.faults.lostReadShare = 0;
    cluster.awaitLeader(12);
    leader.start();
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }
}
