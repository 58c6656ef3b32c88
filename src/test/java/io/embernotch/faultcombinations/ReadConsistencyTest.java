package io.embernotch.faultcombinations;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
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
  private final SimulatedCluster world = scenario.world;

  private void look(String ref) {
    for (double at = 0; at < LOOKS_S; at += world.random.nextDouble(MOST_APART_S)) {
      int node = world.random.nextInt(3);
      world.time.after(at, () -> world.askPoll(node, ref));
    }
  }

  private void later(double mostS, Runnable what) {
    world.time.after(world.random.nextDouble(mostS), what);
  }

  private void trouble(String kind, Node leader) {
    switch (kind) {
      case "leader ends" ->
          later(
              LOOKS_S,
              () -> {
                leader.kill();
                world.time.after(3, leader::start);
              });
      case "leader refused" -> later(LOOKS_S, () -> leader.noState = true);
      case "leader alone" -> later(LOOKS_S, () -> leader.noState = leader.noPeers = true);
      case "follower alone" -> world.other(leader).noPeers = true;
      case "slow store" -> world.stateSlowS = 0.2;
      case "answers lost" -> world.lostAnswers = 0.3;
      case "late writes" -> world.lateWrites = 0.3;
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
    world.settle(3);
    world.userDelayS = 0.05;
    for (int i = 0; i < 10; i++) {
      Node leader = world.settle(8);
      trouble(kind, leader);
      String ref = "j-" + i;
      String json = job(ref, List.of("array", "group", "standing").get(i % 3), 1 + i % 3);
      scenario.told.accepted.add(ref);
      for (int repeat = 0; repeat < 4; repeat++) {
        int node = (i + repeat) % 3;
        world.time.after(0.02 * repeat, () -> world.askSubmit(node, json));
      }
      look(ref);
      if (i % 4 == 1) {
        scenario.cancelUntilTold(ref, i % 3, 6);
      }
      world.pass(LOOKS_S + 4);
      world.time.after(0.5, () -> world.finish(ref));
      if (i % 4 == 2) {
        world.time.after(
            0.4 + world.random.nextDouble(0.3), () -> scenario.cancelUntilTold(ref, i(ref), 4));
      }
      look(ref);
      world.time.after(1, () -> look(ref));
      world.pass(LOOKS_S + 3);
      world.nodes.forEach(n -> n.noState = n.noPeers = false);
    }
    scenario.mend();
    world.pass(5);
    // A submission whose every answer was lost is repeated by its user until one comes.
    for (int i = 0; i < 10; i++) {
      assertThat(
              world
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
    scenario.allIsWell();
  }

  private static int i(String ref) {
    return Integer.parseInt(ref.substring(2)) % 3;
  }

  /** Another node reads the end in the store while the leader's own commit of it is unanswered. */
  @Test
  void anEndThatAnotherNodeHasReadIsNotDeniedByItsLeader() {
    Node leader = world.settle(3);
    Node alone = world.other(leader);
    scenario.told.submit(leader.index, "j-1", "array", 2);
    world.pass(12);
    alone.noPeers = true;
    world.pass(4);
    world.commitFate = Fate.ANSWER_LOST;
    world.finish("j-1");
    String elsewhere = "";
    for (int i = 0; i < 40 && !elsewhere.equals("done"); i++) {
      elsewhere = world.phase(alone.index, "j-1");
      assertThat(world.phase(leader.index, "j-1")).isIn("running", "done", "status 503");
      world.pass(0.25);
    }
    assertThat(elsewhere).isEqualTo("done");
    for (int i = 0; i < 8; i++) {
      assertThat(world.phase(leader.index, "j-1")).isIn("done", "status 503");
      world.pass(0.25);
    }
    world.commitFate = Fate.ARRIVES;
    scenario.allIsWell();
  }

  /**
   * Done marks are written in their own time; what was told of them is told by the next leader and
   * by the store too.
   */
  @Test
  void aCountOfDoneTasksThatWasToldIsNotTakenBack() {
    Node leader = world.settle(3);
    scenario.told.submit(leader.index, "j-1", "array", 4);
    world.pass(12);
    world.running("j-1").get("j-1/0").exit("j-1/0", "done");
    for (int i = 0; i < 12; i++) {
      world.poll(leader.index, "j-1");
      world.pass(0.25);
    }
    leader.kill();
    // Their heartbeats alone would tell the next leader.
    world.workers.values().forEach(w -> w.mute = true);
    for (int i = 0; i < 40; i++) {
      world.poll(world.other(leader).index, "j-1");
      world.pass(0.25);
    }
    scenario.allIsWell();
  }

  /** Another node reads more done marks in the store than the leader knows to be there. */
  @Test
  void aCountThatAnotherNodeHasReadIsNotDeniedByItsLeader() {
    Node leader = world.settle(3);
    Node alone = world.other(leader);
    scenario.told.submit(leader.index, "j-1", "array", 4);
    world.pass(12);
    alone.noPeers = true;
    world.pass(4);
    world.commitFate = Fate.ANSWER_LOST;
    world.running("j-1").get("j-1/0").exit("j-1/0", "done");
    int counted = 0;
    for (int i = 0; i < 60; i++) {
      HttpResponse elsewhere = world.poll(alone.index, "j-1");
      counted =
          Math.max(
              counted,
              elsewhere.status() == 200
                  ? Json.parseObject(elsewhere.body()).path("done").asInt()
                  : 0);
      world.poll(leader.index, "j-1");
      world.pass(0.25);
    }
    assertThat(counted).isEqualTo(1);
    world.commitFate = Fate.ARRIVES;
    scenario.allIsWell();
  }

  /** A new leader that has not heard the machines yet. */
  @Test
  void aJobThatRunsIsNotToldToBeQueuedByTheNextLeader() {
    world.settle(3);
    scenario.told.submit(0, "j-1", "standing", 4);
    world.pass(12);
    assertThat(world.phase(0, "j-1")).isEqualTo("running");
    world.workers.values().forEach(w -> w.mute = true);
    world.cloud.down = true;
    world.nodes.forEach(Node::kill);
    world.pass(1);
    world.nodes.forEach(Node::start);
    for (int i = 0; i < 20; i++) {
      world.poll(i % 3, "j-1");
      world.pass(0.5);
    }
    scenario.allIsWell();
    assertThat(world.running("j-1")).hasSize(4);
  }

  /**
   * The question finds nothing yet, and its answer comes when the job has just been accepted by the
   * same node.
   */
  @Test
  void aQuestionThatOvertakesItsSubmissionIsNoSignOfALoss() {
    Node leader = world.settle(3);
    Node alone = world.other(leader);
    alone.noPeers = true;
    world.pass(4);
    for (int i = 0; i < 5; i++) {
      world.askPoll(alone.index, "j-" + i);
      world.askSubmit(alone.index, job("j-" + i, "array", 1));
      scenario.told.accepted.add("j-" + i);
      world.pass(1);
      ObjectNode overview = Json.parseObject(world.await(alone.controller.overview()).body());
      assertThat(overview.get("losses").asInt()).isZero();
    }
    scenario.allIsWell();
  }

  /**
   * The first submission is under way at a node that then ends; it is repeated there and elsewhere.
   */
  @ParameterizedTest
  @CsvSource({"ANSWER_LOST", "HELD", "LOST"})
  void aRepeatMeetsTheFirstSubmissionUnderWay(Fate fate) {
    Node leader = world.settle(3);
    Node first = world.other(leader);
    String json = job("j-1", "array", 2);
    world.commitsWith = "job/";
    world.commitFate = fate;
    world.askSubmit(first.index, json);
    world.pass(0.1);
    world.askSubmit(first.index, json);
    scenario.lookAround("j-1", LOOKS_S, 0.01);
    world.pass(0.1);
    world.commitFate = Fate.ARRIVES;
    world.time.after(0.02, first::kill);
    world.askSubmit(leader.index, json);
    world.askSubmit(3 - first.index - leader.index, json);
    world.pass(1);
    world.releaseHeld();
    world.pass(3);
    first.start();
    world.pass(3);
    scenario.lookAround("j-1", LOOKS_S, 0.01);
    scenario.told.submit(first.index, "j-1", "array", 2);
    assertThat(world.running("j-1")).hasSize(2);
    scenario.allIsWell();
  }
}
