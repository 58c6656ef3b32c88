package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Node;
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
  private final SimulatedCluster world = scenario.world;

  private void handOver(String how, Node leader) {
    switch (how) {
      case "ends" -> {
        leader.kill();
        world.time.after(7, leader::start);
      }
      case "returns at once" -> {
        leader.kill();
        world.time.after(0.2, leader::start);
      }
      case "refused" -> {
        leader.noState = true;
        world.time.after(9, () -> leader.noState = false);
      }
      default -> {
        leader.noState = leader.noPeers = true;
        world.time.after(9, () -> leader.noState = leader.noPeers = false);
      }
    }
  }

  /** One hand-over for each moment, from 5 s before the former leader lets go to 5 s after. */
  @ParameterizedTest
  @CsvSource({"ends", "returns at once", "refused", "alone"})
  void aCancellationAroundAHandOver(String how) {
    world.settle(3);
    int i = 0;
    for (double at = FROM_S; at <= TO_S; at += STEP_S) {
      String ref = "j-" + i++;
      String fresh = "j-" + (100 + i);
      scenario.told.submit(i % 3, ref, List.of("array", "group", "standing").get(i % 3), 4);
      world.pass(i == 1 ? 12 : 3);
      Node leader = world.settle(10);
      int asked = i % 3;
      world.time.after(-FROM_S, () -> handOver(how, leader));
      world.time.after(-FROM_S + at, () -> scenario.cancelUntilTold(ref, asked, 12));
      // One that is just being started meets it too.
      world.time.after(
          Math.max(0, -FROM_S + at - 0.2),
          () -> world.askSubmit(asked, SimulatedCluster.job(fresh, "array", 3)));
      world.time.after(-FROM_S + at, () -> scenario.cancelUntilTold(fresh, (asked + 1) % 3, 12));
      scenario.lookAround(ref, 2 * TO_S + 4, 0.25);
      world.pass(-FROM_S + TO_S + 8);
    }
    world.pass(scenario.cancelS());
    for (int j = 0; j < i; j++) {
      world.askCancel(j % 3, "j-" + j);
      world.pass(0.2);
      assertThat(world.phase((j + 1) % 3, "j-" + j)).as("j-" + j).isEqualTo("cancelled");
      assertThat(world.running("j-" + j)).isEmpty();
    }
    scenario.allIsWell();
  }

  /**
   * The former leader has decided, and ended before anybody was told; the next one knows it from
   * the store.
   */
  @ParameterizedTest
  @CsvSource({"0.001", "0.003", "0.005", "0.01", "0.05"})
  void aDecisionThatItsLeaderDidNotLiveToTell(double afterS) {
    Node leader = world.settle(3);
    scenario.told.submit(0, "j-1", "array", 8);
    world.pass(12);
    // Neither the stops nor the answers to heartbeats reach them any more.
    world.workers.values().forEach(w -> w.mute = true);
    world.directFate = SimulatedCluster.Fate.LOST;
    world.askCancel(leader.index, "j-1");
    world.pass(afterS);
    leader.kill();
    world.pass(6);
    world.workers.values().forEach(w -> w.mute = false);
    world.directFate = SimulatedCluster.Fate.ARRIVES;
    scenario.cancelUntilTold("j-1", 0, 10);
    world.pass(20);
    leader.start();
    assertThat(world.running("j-1")).isEmpty();
    scenario.allIsWell();
    assertThat(world.phase(0, "j-1")).isEqualTo("cancelled");
  }
}
