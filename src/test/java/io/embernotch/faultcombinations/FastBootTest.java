package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * New machines are up within two seconds and get work at once while writes lag, and the leader
 * ends.
 */
class FastBootTest {
  private static final double FAST_S = 1.2;

  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster world = scenario.world;

  @ParameterizedTest
  @CsvSource({"1,0.3,2", "2,0.3,4", "3,0.6,2", "4,0.6,4", "5,0.6,7"})
  void newMachinesGetWorkWhileWritesLagAndTheLeaderEnds(long seed, double late, double endsAfterS) {
    world.random = new java.util.SplittableRandom(seed);
    Node leader = world.settle(3);
    world.cloud.bootS = FAST_S;
    world.lateWrites = late;
    for (int i = 0; i < 4; i++) {
      scenario.told.submit(i % 3, "j-" + i, List.of("array", "group", "standing").get(i % 3), 4);
    }
    world.time.after(endsAfterS, leader::kill);
    world.time.after(endsAfterS + 4, leader::start);
    world.pass(endsAfterS);
    // The list lags: the next leader does not find them there.
    world.cloud.unlisted.addAll(world.workers.keySet());
    world.pass(8);
    world.cloud.unlisted.clear();
    // One is back under its name, with its session or counting anew.
    world.workers.values().stream().limit(2).forEach(w -> w.back(w.name.endsWith("1")));
    world.pass(4);
    scenario.told.submit(0, "j-4", "array", 4);
    world.pass(20);
    scenario.allIsWell();
  }

  /**
   * The start's commit is never known, and never made: a command that had left all the same would
   * run where nobody knows of it, since the machine is silent when the next leader begins.
   */
  @Test
  void aStartThatWasNotCommittedHasNotLeft() {
    Node leader = world.settle(3);
    world.cloud.bootS = FAST_S;
    scenario.told.submit(0, "j-0", "standing", 1);
    world.pass(12);
    world.commitFate = Fate.LOST;
    scenario.told.submit(leader.index, "j-1", "array", 4);
    world.pass(3);
    List<FakeWorker> there = List.copyOf(world.workers.values());
    there.forEach(w -> w.mute = true);
    world.directFate = Fate.LOST;
    world.cloud.unlisted.addAll(world.workers.keySet());
    leader.kill();
    world.commitFate = Fate.ARRIVES;
    world.pass(12);
    world.directFate = Fate.ARRIVES;
    world.pass(4);
    there.forEach(w -> w.mute = false);
    world.cloud.unlisted.clear();
    leader.start();
    scenario.allIsWell();
    assertThat(world.running("j-1")).hasSize(4);
  }
}
