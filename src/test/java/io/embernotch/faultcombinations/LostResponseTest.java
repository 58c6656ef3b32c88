package io.embernotch.faultcombinations;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
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
  private final SimulatedCluster world = scenario.world;

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
      world.commitsWith = kind;
      world.commitFate = Fate.ANSWER_LOST;
      world.pass(4);
      world.commitFate = Fate.ARRIVES;
    }
    Node leader = world.settle(12);
    scenario.told.submit(0, "j-1", "array", 3);
    scenario.told.submit(1, "j-2", "standing", 3);
    scenario.told.submit(2, "j-3", "group", 3);
    world.pass(12);
    world.commitsWith = kind;
    world.commitFate = Fate.ANSWER_LOST;
    world.lostReads = readsLost;
    world.askSubmit(0, job("j-4", "array", 3));
    world.askSubmit(1, job("j-4", "array", 3));
    world.askSubmit(
        2, job("j-5", "standing", 3).replace("\"rank\":\"standard\"", "\"rank\":\"production\""));
    scenario.cancelUntilTold("j-2", 1, 6);
    world.time.after(0.5, () -> world.finish("j-1"));
    for (String ref : List.of("j-1", "j-2", "j-3", "j-4", "j-5")) {
      scenario.lookAround(ref, 7, 0.05);
    }
    if (leaderEnds) {
      world.time.after(2, leader::kill);
      world.time.after(4, leader::start);
    }
    world.pass(8);
    world.commitFate = Fate.ARRIVES;
    world.lostReads = 0;
    world.pass(8);
    scenario.told.submit(0, "j-4", "array", 3);
    scenario.told.submit(1, "j-5", "standing", 3);
    scenario.cancelUntilTold("j-2", 0, 3);
    world.pass(20);
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
        (ref, end) -> assertThat(world.phase(ref.charAt(2) % 3, ref)).as(ref).isEqualTo(end));
    scenario.allIsWell();
  }

  /** The leader does not know that its start is in the store; whoever follows it does. */
  @Test
  void aStartWhoseCommitIsNotKnownLeavesNoController() {
    Node leader = world.settle(3);
    world.boot("g8", "z1", true);
    world.pass(10);
    world.commitFate = Fate.ANSWER_LOST;
    world.lostReads = 1;
    scenario.told.submit(leader.index, "j-1", "array", 4);
    world.pass(2);
    assertThat(world.state.value("run/j-1")).isNotNull();
    assertThat(world.running("j-1")).isEmpty();
    leader.kill();
    world.commitFate = Fate.ARRIVES;
    world.lostReads = 0;
    world.pass(15);
    assertThat(world.running("j-1")).hasSize(4);
    leader.start();
    scenario.allIsWell();
  }

  /**
   * Its claim is in the store, and neither that nor the key can be read back: it must not act, nor
   * block the others.
   */
  @ParameterizedTest
  @CsvSource({"1", "4"})
  void aClaimThatIsNotKnownToBeMade(int forS) {
    Node leader = world.settle(3);
    scenario.told.submit(0, "j-1", "standing", 6);
    world.pass(12);
    Map<String, ?> before = world.running("j-1");
    world.commitsWith = "steward";
    world.commitFate = Fate.ANSWER_LOST;
    world.lostReads = 1;
    leader.kill();
    world.pass(3 + forS);
    world.commitFate = Fate.ARRIVES;
    world.lostReads = 0;
    world.settle(12);
    leader.start();
    scenario.allIsWell();
    assertThat(world.running("j-1")).isEqualTo(before);
  }
}
