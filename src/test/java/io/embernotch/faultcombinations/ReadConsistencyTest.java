package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Users ask at all nodes, again and again within milliseconds, repeat the submission and cancel,
 * right after a job was accepted, ended or confirmed as cancelled. No node may then answer
 * something older.
 */
class ReadConsistencyTest {
  private static final double LOOKS_S = 2;
  private static final double MOST_APART_S = 0.02;

  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  private void look(String ref) {
    for (double at = 0; at < LOOKS_S; at += cluster.faults.random.nextDouble(MOST_APART_S)) {
      int node = cluster.faults.random.nextInt(3);
      cluster.time.after(at, () -> cluster.pollAsync(node, ref));
    }
  }

  private void later(double mostS, Runnable what) {
    cluster.time.after(cluster.faults.random.nextDouble(mostS), what);
  }

  private void trouble(String kind, ControllerNode leader) {
    switch (kind) {
      case "leader ends" ->
          later(
              LOOKS_S,
              () -> {
                leader.kill();
                cluster.time.after(3, leader::start);
              });
      case "leader refused" -> later(LOOKS_S, () -> leader.storeUnavailable = true);
      case "leader alone" ->
          later(LOOKS_S, () -> leader.storeUnavailable = leader.peersUnreachable = true);
      case "follower alone" -> cluster.otherNode(leader).peersUnreachable = true;
      case "slow store" -> cluster.faults.storeLatencyS = 0.2;
      case "answers lost" -> cluster.faults.lostCommitResponseShare = 0.3;
      case "late writes" -> cluster.faults.delayedCommitShare = 0.3;
      default -> {}
    }
  }

  @ParameterizedTest
  @CsvSource({
    "none",
    "leader ends",
    "leader refused",
    "leader alone",
    "follower alone",
    "slow store",
    "answers lost",
    "late writes"
  })
  void noNodeAnswersOlderThanWhatWasTold(String kind) {
    cluster.awaitLeader(3);
    cluster.faults.maxUserDelayS = 0.05;
    for (int i = 0; i < 10; i++) {
      ControllerNode leader = cluster.awaitLeader(8);
      trouble(kind, leader);
      String ref = "j-" + i;
      String json = job(ref, List.of("array", "group", "standing").get(i % 3), 1 + i % 3);
      scenario.answers.accepted.add(ref);
      for (int repeat = 0; repeat < 4; repeat++) {
        int node = (i + repeat) % 3;
        cluster.time.after(0.02 * repeat, () -> cluster.submitAsync(node, json));
      }
      look(ref);
      if (i % 4 == 1) {
        scenario.cancelUntilConfirmed(ref, i % 3, 6);
      }
      cluster.advance(LOOKS_S + 4);
      cluster.time.after(0.5, () -> cluster.completeTasks(ref));
      if (i % 4 == 2) {
        cluster.time.after(
            0.4 + cluster.faults.random.nextDouble(0.3),
            () -> scenario.cancelUntilConfirmed(ref, i(ref), 4));
      }
      look(ref);
      cluster.time.after(1, () -> look(ref));
      cluster.advance(LOOKS_S + 3);
      cluster.nodes.forEach(n -> n.storeUnavailable = n.peersUnreachable = false);
    }
    scenario.endAllFaults();
    cluster.advance(5);
    // A submission whose every answer was lost is repeated by its user until one comes.
    for (int i = 0; i < 10; i++) {
      assertThat(
              cluster
                      .submit(
                          i % 3,
                          job(
                              "j-" + i,
                              List.of("array", "group", "standing").get(i % 3),
                              1 + i % 3))
                      .status()
                  / 100)
          .isEqualTo(2);
    }
    scenario.verifyRecovery();
  }

  private static int i(String ref) {
    return Integer.parseInt(ref.substring(2)) % 3;
  }

  /** Another node reads the end in the store while the leader's own commit of it is unanswered. */
  @Test
  void anEndThatAnotherNodeHasReadIsNotDeniedByItsLeader() {
    ControllerNode leader = cluster.awaitLeader(3);
    ControllerNode alone = cluster.otherNode(leader);
    scenario.answers.submit(leader.index, "j-1", "array", 2);
    cluster.advance(12);
    alone.peersUnreachable = true;
    cluster.advance(4);
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.completeTasks("j-1");
    String elsewhere = "";
    for (int i = 0; i < 40 && !elsewhere.equals("done"); i++) {
      elsewhere = cluster.phase(alone.index, "j-1");
      assertThat(cluster.phase(leader.index, "j-1")).isIn("running", "done", "status 503");
      cluster.advance(0.25);
    }
    assertThat(elsewhere).isEqualTo("done");
    for (int i = 0; i < 8; i++) {
      assertThat(cluster.phase(leader.index, "j-1")).isIn("done", "status 503");
      cluster.advance(0.25);
    }
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    scenario.verifyRecovery();
  }

  /**
   * Done marks are written in their own time; what was told of them is told by the next leader and
   * by the store too.
   */
  @Test
  void aCountOfDoneTasksThatWasToldIsNotTakenBack() {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(leader.index, "j-1", "array", 4);
    cluster.advance(12);
    cluster.runningTasks("j-1").get("j-1/0").exitTask("j-1/0", "done");
    for (int i = 0; i < 12; i++) {
      cluster.poll(leader.index, "j-1");
      cluster.advance(0.25);
    }
    leader.kill();
    // Their heartbeats alone would tell the next leader.
    cluster.workers.values().forEach(w -> w.outboundPartitioned = true);
    for (int i = 0; i < 40; i++) {
      cluster.poll(cluster.otherNode(leader).index, "j-1");
      cluster.advance(0.25);
    }
    scenario.verifyRecovery();
  }

  /** Another node reads more done marks in the store than the leader knows to be there. */
  @Test
  void aCountThatAnotherNodeHasReadIsNotDeniedByItsLeader() {
    ControllerNode leader = cluster.awaitLeader(3);
    ControllerNode alone = cluster.otherNode(leader);
    scenario.answers.submit(leader.index, "j-1", "array", 4);
    cluster.advance(12);
    alone.peersUnreachable = true;
    cluster.advance(4);
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.runningTasks("j-1").get("j-1/0").exitTask("j-1/0", "done");
    int counted = 0;
    for (int i = 0; i < 60; i++) {
      HttpResponse elsewhere = cluster.poll(alone.index, "j-1");
      counted =
          Math.max(
              counted,
              elsewhere.status() == 200
                  ? Json.parseObject(elsewhere.body()).path("done").asInt()
                  : 0);
      cluster.poll(leader.index, "j-1");
      cluster.advance(0.25);
    }
    assertThat(counted).isEqualTo(1);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    scenario.verifyRecovery();
  }

  /** A new leader that has not heard the machines yet. */
  @Test
  void aJobThatRunsIsNotToldToBeQueuedByTheNextLeader() {
    cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-1", "standing", 4);
    cluster.advance(12);
    assertThat(cluster.phase(0, "j-1")).isEqualTo("running");
    cluster.workers.values().forEach(w -> w.outboundPartitioned = true);
    cluster.cloud.down = true;
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(1);
    cluster.nodes.forEach(ControllerNode::start);
    for (int i = 0; i < 20; i++) {
      cluster.poll(i % 3, "j-1");
      cluster.advance(0.5);
    }
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(4);
  }

  /**
   * The question finds nothing yet, and its answer comes when the job has just been accepted by the
   * same node.
   */
  @Test
  void aQuestionThatOvertakesItsSubmissionIsNoSignOfALoss() {
    ControllerNode leader = cluster.awaitLeader(3);
    ControllerNode alone = cluster.otherNode(leader);
    alone.peersUnreachable = true;
    cluster.advance(4);
    for (int i = 0; i < 5; i++) {
      cluster.pollAsync(alone.index, "j-" + i);
      cluster.submitAsync(alone.index, job("j-" + i, "array", 1));
      scenario.answers.accepted.add("j-" + i);
      cluster.advance(1);
      ObjectNode overview = Json.parseObject(cluster.await(alone.controller.overview()).body());
      assertThat(overview.get("losses").asInt()).isZero();
    }
    scenario.verifyRecovery();
  }

  /**
   * The first submission is under way at a node that then ends; it is repeated there and elsewhere.
   */
  @ParameterizedTest
  @CsvSource({"RESPONSE_LOST", "DELAYED", "LOST"})
  void aRepeatMeetsTheFirstSubmissionUnderWay(Delivery fate) {
    ControllerNode leader = cluster.awaitLeader(3);
    ControllerNode first = cluster.otherNode(leader);
    String json = job("j-1", "array", 2);
    cluster.faults.commitDeliveryFilter = "job/";
    cluster.faults.commitDelivery = fate;
    cluster.submitAsync(first.index, json);
    cluster.advance(0.1);
    cluster.submitAsync(first.index, json);
    scenario.pollAllNodes("j-1", LOOKS_S, 0.01);
    cluster.advance(0.1);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.time.after(0.02, first::kill);
    cluster.submitAsync(leader.index, json);
    cluster.submitAsync(3 - first.index - leader.index, json);
    cluster.advance(1);
    cluster.deliverDelayed();
    cluster.advance(3);
    first.start();
    cluster.advance(3);
    scenario.pollAllNodes("j-1", LOOKS_S, 0.01);
    scenario.answers.submit(first.index, "j-1", "array", 2);
    assertThat(cluster.runningTasks("j-1")).hasSize(2);
    scenario.verifyRecovery();
  }
}
