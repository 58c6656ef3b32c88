package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.shapeOf;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** New machines are up within two seconds and get work at once while writes lag, and a failover. */
class FastBootTest {
  private static final double FAST_BOOT_S = 1.2;

  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  @ParameterizedTest
  @CsvSource({"1,0.3,2", "2,0.3,4", "3,0.6,2", "4,0.6,4", "5,0.6,7"})
  void newMachinesGetTasksWhileCommitsLagAndTheLeaderEnds(
      long seed, double delayedCommitShare, double endsAfterS) {
    cluster.faults.random = new SplittableRandom(seed);
    ControllerNode leader = cluster.awaitLeader(3);
    cluster.cloud.bootS = FAST_BOOT_S;
    cluster.faults.delayedCommitShare = delayedCommitShare;
    for (int i = 0; i < 4; i++) {
      scenario.answers.submit(i % 3, "j-" + i, shapeOf(i), 4);
    }
    cluster.time.after(endsAfterS, leader::kill);
    cluster.time.after(endsAfterS + 4, leader::start);
    cluster.advance(endsAfterS);
    // The list lags: the next leader does not find them there.
    cluster.cloud.unlisted.addAll(cluster.workers.keySet());
    cluster.advance(8);
    cluster.cloud.unlisted.clear();
    // One is back under its name, with its epoch or counting anew.
    cluster.workers.values().stream()
        .limit(2)
        .forEach(worker -> worker.restart(worker.name.endsWith("1")));
    cluster.advance(4);
    scenario.answers.submit(0, "j-4", "array", 4);
    cluster.advance(20);
    scenario.verifyRecovery();
  }

  /**
   * The start's commit is never known, and never made: a command that had left all the same would
   * run where no controller knows of it, since the machine sends no heartbeat when the next leader
   * begins.
   */
  @Test
  void startIsNotSentBeforeItsCommit() {
    ControllerNode leader = cluster.awaitLeader(3);
    cluster.cloud.bootS = FAST_BOOT_S;
    scenario.answers.submit(0, "j-0", "standing", 1);
    cluster.advance(12);
    cluster.faults.commitDelivery = Delivery.LOST;
    scenario.answers.submit(leader.index, "j-1", "array", 4);
    cluster.advance(3);
    List<FakeWorker> machines = List.copyOf(cluster.workers.values());
    machines.forEach(worker -> worker.outboundPartitioned = true);
    cluster.faults.commandDelivery = Delivery.LOST;
    cluster.cloud.unlisted.addAll(cluster.workers.keySet());
    leader.kill();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.advance(12);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.advance(4);
    machines.forEach(worker -> worker.outboundPartitioned = false);
    cluster.cloud.unlisted.clear();
    leader.start();
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(4);
  }
}
