package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.withPriority;
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
 * A transaction is carried out at once and only its response is lost, while other nodes read what
 * it wrote.
 */
class LostResponseTest {
  private static final String INCARNATION_KEY = "era";
  private static final String LEADER_KEY = "steward";

  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  /**
   * Every transaction on one kind of keys, with the responses to the reads that follow lost as well
   * or not, and the leader ending or not.
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
  void responsesToTransactionsAreLost(String keys, double lostReadShare, boolean leaderEnds) {
    if (keys.equals(INCARNATION_KEY)) {
      // The first claim begins the incarnation.
      loseResponses(keys, 0);
      cluster.advance(4);
      deliverResponses();
    }
    ControllerNode leader = cluster.awaitLeader(12);
    scenario.answers.submit(0, "j-1", "array", 3);
    scenario.answers.submit(1, "j-2", "standing", 3);
    scenario.answers.submit(2, "j-3", "group", 3);
    cluster.advance(12);
    loseResponses(keys, lostReadShare);
    submitCancelCompleteAndPoll();
    if (leaderEnds) {
      cluster.time.after(2, leader::kill);
      cluster.time.after(4, leader::start);
    }
    cluster.advance(8);
    deliverResponses();
    cluster.advance(8);
    scenario.answers.submit(0, "j-4", "array", 3);
    scenario.answers.submit(1, "j-5", "standing", 3);
    scenario.cancelUntilConfirmed("j-2", 0, 3);
    cluster.advance(20);
    assertPhases();
    scenario.verifyRecovery();
  }

  private void loseResponses(String keys, double lostReadShare) {
    cluster.faults.commitDeliveryFilter = keys;
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.faults.lostReadShare = lostReadShare;
  }

  private void deliverResponses() {
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.faults.lostReadShare = 0;
  }

  private void submitCancelCompleteAndPoll() {
    cluster.submitAsync(0, job("j-4", "array", 3));
    cluster.submitAsync(1, job("j-4", "array", 3));
    cluster.submitAsync(2, withPriority(job("j-5", "standing", 3), "production"));
    scenario.cancelUntilConfirmed("j-2", 1, 6);
    cluster.time.after(0.5, () -> cluster.completeTasks("j-1"));
    for (String ref : List.of("j-1", "j-2", "j-3", "j-4", "j-5")) {
      scenario.pollAllNodes(ref, 7, 0.05);
    }
  }

  private void assertPhases() {
    Map<String, String> phases =
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
    phases.forEach(
        (ref, phase) -> assertThat(cluster.phase(ref.charAt(2) % 3, ref)).as(ref).isEqualTo(phase));
  }

  /** The leader does not know that its start is in the store; whoever follows it does. */
  @Test
  void startWithUnknownCommitIsNotSent() {
    ControllerNode leader = cluster.awaitLeader(3);
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(10);
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.faults.lostReadShare = 1;
    scenario.answers.submit(leader.index, "j-1", "array", 4);
    cluster.advance(2);
    assertThat(cluster.store.value("run/j-1")).isNotNull();
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    leader.kill();
    deliverResponses();
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-1")).hasSize(4);
    leader.start();
    scenario.verifyRecovery();
  }

  /**
   * A candidate's claim is in the store, and neither that nor the key can be read back: it must not
   * act, nor block the others.
   */
  @ParameterizedTest
  @CsvSource({"1", "4"})
  void claimOfLeadershipWithUnknownOutcome(int durationS) {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-1", "standing", 6);
    cluster.advance(12);
    Map<String, ?> before = cluster.runningTasks("j-1");
    loseResponses(LEADER_KEY, 1);
    leader.kill();
    cluster.advance(3 + durationS);
    deliverResponses();
    cluster.awaitLeader(12);
    leader.start();
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }
}
