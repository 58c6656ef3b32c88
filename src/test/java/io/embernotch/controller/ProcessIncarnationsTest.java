package io.embernotch.controller;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.election.LeaderObserver;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Processes and machines that are back within a fraction of a second, and what was said before and
 * arrives after.
 */
class ProcessIncarnationsTest {
  private static final double SOON_S = 0.2;

  private final SimulatedCluster world = new SimulatedCluster(3, 10);

  /** A service with eight replicas, and where they run. */
  private Map<String, FakeWorker> service() {
    Node n = world.settle(2);
    assertThat(world.submit(n.index, job("j-1", "standing", 8)).status()).isEqualTo(201);
    world.pass(15);
    assertThat(world.running("j-1")).hasSize(8);
    return world.running("j-1");
  }

  private void back(Node n) {
    n.kill();
    world.pass(SOON_S);
    n.start();
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(world.broken()).isEmpty();
  }

  @Test
  void aLeaderThatIsBackTwiceWithinItsLeaseCostsNothingThatRuns() {
    Map<String, FakeWorker> before = service();
    Node leader = world.leader();
    back(leader);
    world.pass(0.5);
    back(leader);
    // Its own key of a former incarnation is no right to act, nor one to wait for.
    world.settle(2);
    world.pass(60);
    assertThat(world.running("j-1")).isEqualTo(before);
  }

  @Test
  void allThreeAtOnceInMidElectionCostNothingThatRuns() {
    Map<String, FakeWorker> before = service();
    world.leader().kill();
    // The key is about to go, and the others to claim it.
    for (int i = 0; i < 12; i++) {
      world.pass(0.3);
      world.nodes.forEach(Node::kill);
      world.pass(SOON_S / 4);
      world.nodes.forEach(Node::start);
    }
    world.settle(6);
    world.pass(60);
    assertThat(world.running("j-1")).isEqualTo(before);
  }

  @Test
  void framesOfFormerLivesThatArriveSecondsAndMinutesLateChangeNothing() {
    Map<String, FakeWorker> before = service();
    for (double lateS : new double[] {1, 10, 70}) {
      world.holdFrames = true;
      world.pass(1);
      Node leader = world.leader();
      back(leader);
      back(world.other(leader));
      world.holdFrames = false;
      world.pass(lateS);
      world.releaseHeld();
      world.settle(8);
      assertThat(world.running("j-1")).isEqualTo(before);
    }
  }

  /**
   * A beat that a former leader had sent made it the leader once more, for whoever had seen its key
   * gone.
   */
  @Test
  void aBeatOfATermThatIsOverIsNotBelieved() {
    LeaderObserver leaderObserver = new LeaderObserver();
    assertThat(leaderObserver.observeClaim("c1", 7)).isTrue();
    leaderObserver.update(null, 0);
    assertThat(leaderObserver.observeClaim("c1", 7)).isFalse();
    assertThat(leaderObserver.node()).isNull();
    assertThat(leaderObserver.observeClaim("c2", 9)).isTrue();
    leaderObserver.update("c2", 9);
    assertThat(leaderObserver.observeClaim("c1", 8)).isFalse();
  }

  /** Once a worker had been let forget an attempt, a repeated start ran it once more. */
  @Test
  void repeatedCommandsStartNothingThatWasForgotten() {
    Node n = world.settle(2);
    world.submit(n.index, job("j-2", "array", 3));
    world.pass(15);
    world.finish("j-2");
    world.pass(8);
    assertThat(world.workers.values().stream().mapToInt(w -> w.reaped.size()).sum()).isEqualTo(3);
    world.repeatAll();
    assertThat(world.running("j-2")).isEmpty();
  }

  @Test
  void aMachineThatIsBackWithoutItsTasksGetsThemOnlyOnceNoCopyOfTheirStartsCounts() {
    FakeWorker w = service().get("j-1/0");
    w.back(false);
    world.pass(1.1);
    world.repeatAll();
    world.pass(8);
    world.repeatAll();
    world.pass(8);
    assertThat(world.running("j-1")).hasSize(8);
  }

  /**
   * All that a machine said was taken for late once it counted anew, and what it had held stayed
   * down for good.
   */
  @Test
  void aMachineThatCountsAnewIsBelievedOnceItAnswers() {
    Map<String, FakeWorker> before = service();
    FakeWorker w = before.get("j-1/0");
    world.pass(30);
    w.back(true);
    world.pass(12);
    assertThat(world.running("j-1")).hasSize(8);
    world.repeatAll();
    world.pass(12);
    assertThat(world.running("j-1")).hasSize(8);
    assertThat(world.cloud.deleted).doesNotContain(w.name);
  }
}
