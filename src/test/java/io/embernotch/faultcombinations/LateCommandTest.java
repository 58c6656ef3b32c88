package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A command of a leader that has since ended or been deposed arrives after the new leader's. */
class LateCommandTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster world = scenario.world;

  /**
   * Starts of the former leader are held up; its job is cancelled or goes on under the next one.
   */
  @ParameterizedTest
  @CsvSource({
    "ends,1,false",
    "ends,6,false",
    "ends,16,false",
    "ends,45,false",
    "ends,6,true",
    "ends,16,true",
    "deposed,6,false",
    "deposed,16,false",
    "deposed,45,false",
    "deposed,6,true",
    "deposed,16,true"
  })
  void startsOfAFormerLeaderArriveAfterTheNextOnes(String how, double heldS, boolean cancelled) {
    Node leader = world.settle(3);
    scenario.told.submit(0, "j-0", "standing", 8);
    world.pass(12);
    world.directFate = Fate.HELD;
    scenario.told.submit(leader.index, "j-1", "array", 6);
    scenario.told.submit(leader.index, "j-2", "group", 4);
    world.pass(0.5);
    assertThat(world.heldCount()).isPositive();
    if (how.equals("ends")) {
      leader.kill();
    } else {
      leader.noState = leader.noPeers = true;
    }
    world.pass(0.2);
    world.directFate = Fate.ARRIVES;
    if (cancelled) {
      scenario.cancelUntilTold("j-1", 0, heldS + 10);
    }
    world.pass(heldS);
    world.releaseHeld();
    world.pass(10);
    leader.noState = leader.noPeers = false;
    if (leader.down) {
      leader.start();
    }
    scenario.allIsWell();
    assertThat(world.running("j-1")).hasSize(cancelled ? 0 : 6);
    assertThat(world.running("j-2")).hasSize(4);
  }

  /**
   * The worker reaches nobody, so that it has seen no newer token when the former leader's start
   * arrives.
   */
  @ParameterizedTest
  @CsvSource({"5,false", "14,false", "26,false", "5,true", "14,true", "26,true"})
  void aStartReachesAWorkerThatHasHeardNothingSince(double heldS, boolean cancelled) {
    Node leader = world.settle(3);
    scenario.told.submit(0, "j-0", "standing", 2);
    world.pass(12);
    world.directFate = Fate.HELD;
    scenario.told.submit(leader.index, "j-1", "array", 6);
    world.pass(0.5);
    assertThat(world.heldCount()).isPositive();
    List<FakeWorker> there = List.copyOf(world.workers.values());
    there.forEach(w -> w.mute = true);
    leader.kill();
    world.directFate = Fate.LOST;
    world.cloud.down = true;
    if (cancelled) {
      scenario.cancelUntilTold("j-1", 0, heldS + 60);
    }
    world.pass(heldS);
    world.releaseHeld();
    world.pass(2);
    there.forEach(w -> w.mute = false);
    world.directFate = Fate.ARRIVES;
    world.cloud.down = false;
    world.pass(40);
    leader.start();
    world.pass(30);
    scenario.allIsWell();
    assertThat(world.running("j-1")).hasSize(cancelled ? 0 : 6);
  }

  /**
   * A share of all commands is held up for 2 to 16 s, while leaders change and jobs are cancelled.
   */
  @ParameterizedTest
  @CsvSource({"1,0.3", "2,0.3", "3,0.7", "4,0.7"})
  void commandsAreHeldUpWhileLeadersChange(long seed, double share) {
    world.random = new java.util.SplittableRandom(seed);
    world.settle(3);
    world.lateCommands = share;
    for (int i = 0; i < 8; i++) {
      scenario.told.submit(i % 3, "j-" + i, List.of("array", "group", "standing").get(i % 3), 4);
      world.pass(i == 0 ? 8 : 2);
      if (i % 2 == 1) {
        scenario.cancelUntilTold("j-" + i, i % 3, 30);
      }
      Node leader = world.leader();
      if (leader != null) {
        leader.kill();
        world.time.after(i % 3 == 0 ? 0.2 : 5, leader::start);
      }
      List<FakeWorker> machines = List.copyOf(world.workers.values());
      if (i % 3 == 2 && !machines.isEmpty()) {
        FakeWorker hung = machines.get(i % machines.size());
        hung.hung = true;
        world.time.after(9, hung::goOn);
      }
      world.pass(9);
    }
    scenario.allIsWell();
  }
}
