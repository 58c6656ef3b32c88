package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.shapeOf;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Users poll at all nodes, again and again within milliseconds, repeat the submission and cancel,
 * right after a job was accepted, ended or confirmed as cancelled. No node may then answer
 * something older.
 */
class ReadConsistencyTest {
  private static final int JOBS = 10;
  private static final double POLLING_S = 2;
  private static final double MAX_POLL_INTERVAL_S = 0.02;

  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  /** The fault during which users poll. */
  private enum Fault {
    NONE,
    LEADER_ENDS,
    LEADER_REFUSED,
    LEADER_ISOLATED,
    FOLLOWER_ISOLATED,
    SLOW_STORE,
    RESPONSES_LOST,
    COMMITS_DELAYED
  }

  private void pollAtRandom(String ref) {
    for (double at = 0;
        at < POLLING_S;
        at += cluster.faults.random.nextDouble(MAX_POLL_INTERVAL_S)) {
      int node = cluster.faults.random.nextInt(3);
      cluster.time.after(at, () -> cluster.pollAsync(node, ref));
    }
  }

  private void whilePolling(Runnable task) {
    cluster.time.after(cluster.faults.random.nextDouble(POLLING_S), task);
  }

  private void begin(Fault fault, ControllerNode leader) {
    switch (fault) {
      case LEADER_ENDS -> whilePolling(() -> cluster.restartAfter(leader, 3));
      case LEADER_REFUSED -> whilePolling(() -> leader.storeUnavailable = true);
      case LEADER_ISOLATED ->
          whilePolling(
              () -> {
                leader.storeUnavailable = true;
                leader.peersUnreachable = true;
              });
      case FOLLOWER_ISOLATED -> cluster.otherNode(leader).peersUnreachable = true;
      case SLOW_STORE -> cluster.faults.storeLatencyS = 0.2;
      case RESPONSES_LOST -> cluster.faults.lostCommitResponseShare = 0.3;
      case COMMITS_DELAYED -> cluster.faults.delayedCommitShare = 0.3;
      default -> {}
    }
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void noNodeAnswersOlderThanWhatUsersKnow(Fault fault) {
    cluster.awaitLeader(3);
    cluster.faults.maxUserDelayS = 0.05;
    for (int i = 0; i < JOBS; i++) {
      begin(fault, cluster.awaitLeader(8));
      submitAndComplete(i);
      for (ControllerNode node : cluster.nodes) {
        node.storeUnavailable = false;
        node.peersUnreachable = false;
      }
    }
    scenario.endAllFaults();
    cluster.advance(5);
    // A submission whose every response was lost is repeated by its user until one comes.
    for (int i = 0; i < JOBS; i++) {
      assertThat(cluster.submit(i % 3, jobOf(i)).status() / 100).isEqualTo(2);
    }
    scenario.verifyRecovery();
  }

  private static String jobOf(int number) {
    return job("j-" + number, shapeOf(number), 1 + number % 3);
  }

  /** One job from its submission, which is repeated, to its end; some are cancelled. */
  private void submitAndComplete(int number) {
    String ref = "j-" + number;
    scenario.answers.accepted.add(ref);
    for (int repeat = 0; repeat < 4; repeat++) {
      int node = (number + repeat) % 3;
      cluster.time.after(0.02 * repeat, () -> cluster.submitAsync(node, jobOf(number)));
    }
    pollAtRandom(ref);
    if (number % 4 == 1) {
      scenario.cancelUntilConfirmed(ref, number % 3, 6);
    }
    cluster.advance(POLLING_S + 4);
    cluster.time.after(0.5, () -> cluster.completeTasks(ref));
    if (number % 4 == 2) {
      cluster.time.after(
          0.4 + cluster.faults.random.nextDouble(0.3),
          () -> scenario.cancelUntilConfirmed(ref, number % 3, 4));
    }
    pollAtRandom(ref);
    cluster.time.after(1, () -> pollAtRandom(ref));
    cluster.advance(POLLING_S + 3);
  }

  /** Another node reads the end in the store while the leader's own commit of it is unanswered. */
  @Test
  void leaderDoesNotDenyAnEndThatAnotherNodeHasRead() {
    ControllerNode leader = cluster.awaitLeader(3);
    ControllerNode isolated = cluster.otherNode(leader);
    scenario.answers.submit(leader.index, "j-1", "array", 2);
    cluster.advance(12);
    isolated.peersUnreachable = true;
    cluster.advance(4);
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.completeTasks("j-1");
    String phaseElsewhere = "";
    for (int i = 0; i < 40 && !phaseElsewhere.equals("done"); i++) {
      phaseElsewhere = cluster.phase(isolated.index, "j-1");
      assertThat(cluster.phase(leader.index, "j-1")).isIn("running", "done", "status 503");
      cluster.advance(0.25);
    }
    assertThat(phaseElsewhere).isEqualTo("done");
    for (int i = 0; i < 8; i++) {
      assertThat(cluster.phase(leader.index, "j-1")).isIn("done", "status 503");
      cluster.advance(0.25);
    }
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    scenario.verifyRecovery();
  }

  /**
   * Marks of done tasks are written in their own time; a count that was reported to users is not
   * reduced by the next leader or the store.
   */
  @Test
  void countOfDoneTasksDoesNotFallAcrossFailover() {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(leader.index, "j-1", "array", 4);
    cluster.advance(12);
    cluster.runningTasks("j-1").get("j-1/0").exitTask("j-1/0", "done");
    pollRepeatedly(leader, 12);
    leader.kill();
    // Their heartbeats alone would inform the next leader.
    cluster.workers.values().forEach(worker -> worker.outboundPartitioned = true);
    pollRepeatedly(cluster.otherNode(leader), 40);
    scenario.verifyRecovery();
  }

  private void pollRepeatedly(ControllerNode node, int times) {
    for (int i = 0; i < times; i++) {
      cluster.poll(node.index, "j-1");
      cluster.advance(0.25);
    }
  }

  /** Another node reads more marks of done tasks in the store than the leader knows to be there. */
  @Test
  void leaderDoesNotDenyACountThatAnotherNodeHasRead() {
    ControllerNode leader = cluster.awaitLeader(3);
    ControllerNode isolated = cluster.otherNode(leader);
    scenario.answers.submit(leader.index, "j-1", "array", 4);
    cluster.advance(12);
    isolated.peersUnreachable = true;
    cluster.advance(4);
    cluster.faults.commitDelivery = Delivery.RESPONSE_LOST;
    cluster.runningTasks("j-1").get("j-1/0").exitTask("j-1/0", "done");
    int maxCount = 0;
    for (int i = 0; i < 60; i++) {
      HttpResponse elsewhere = cluster.poll(isolated.index, "j-1");
      if (elsewhere.status() == 200) {
        int count = Json.parseObject(elsewhere.body()).path("done").asInt();
        maxCount = Math.max(maxCount, count);
      }
      cluster.poll(leader.index, "j-1");
      cluster.advance(0.25);
    }
    assertThat(maxCount).isEqualTo(1);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    scenario.verifyRecovery();
  }

  /** The new leader has no heartbeat of the machines yet. */
  @Test
  void nextLeaderDoesNotReportARunningJobAsQueued() {
    cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-1", "standing", 4);
    cluster.advance(12);
    assertThat(cluster.phase(0, "j-1")).isEqualTo("running");
    cluster.workers.values().forEach(worker -> worker.outboundPartitioned = true);
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
   * The poll finds nothing yet, and its response comes when the job has just been accepted by the
   * same node.
   */
  @Test
  void pollThatOvertakesItsSubmissionIsNoSignOfDataLoss() {
    ControllerNode leader = cluster.awaitLeader(3);
    ControllerNode isolated = cluster.otherNode(leader);
    isolated.peersUnreachable = true;
    cluster.advance(4);
    for (int i = 0; i < 5; i++) {
      cluster.pollAsync(isolated.index, "j-" + i);
      cluster.submitAsync(isolated.index, job("j-" + i, "array", 1));
      scenario.answers.accepted.add("j-" + i);
      cluster.advance(1);
      ObjectNode overview = Json.parseObject(cluster.await(isolated.controller.overview()).body());
      assertThat(overview.get("losses").asInt()).isZero();
    }
    scenario.verifyRecovery();
  }

  /**
   * The first submission is under way at a node that then ends; it is repeated there and elsewhere.
   */
  @ParameterizedTest
  @CsvSource({"RESPONSE_LOST", "DELAYED", "LOST"})
  void submissionIsRepeatedWhileTheFirstIsUnderWay(Delivery commitDelivery) {
    ControllerNode leader = cluster.awaitLeader(3);
    ControllerNode first = cluster.otherNode(leader);
    String json = job("j-1", "array", 2);
    cluster.faults.commitDeliveryFilter = "job/";
    cluster.faults.commitDelivery = commitDelivery;
    cluster.submitAsync(first.index, json);
    cluster.advance(0.1);
    cluster.submitAsync(first.index, json);
    scenario.pollAllNodes("j-1", POLLING_S, 0.01);
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
    scenario.pollAllNodes("j-1", POLLING_S, 0.01);
    scenario.answers.submit(first.index, "j-1", "array", 2);
    assertThat(cluster.runningTasks("j-1")).hasSize(2);
    scenario.verifyRecovery();
  }
}
