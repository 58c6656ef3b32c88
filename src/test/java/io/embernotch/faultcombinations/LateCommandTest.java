package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.shapeOf;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A command of a leader that has since ended or been deposed arrives after the new leader's. */
class LateCommandTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  /** How the former leader lost its leadership. */
  private enum LeaderFault {
    ENDED,
    DEPOSED
  }

  /**
   * Starts of the former leader are delayed; its job is cancelled or goes on under the next one.
   */
  @ParameterizedTest
  @CsvSource({
    "ENDED,1,false",
    "ENDED,6,false",
    "ENDED,16,false",
    "ENDED,45,false",
    "ENDED,6,true",
    "ENDED,16,true",
    "DEPOSED,6,false",
    "DEPOSED,16,false",
    "DEPOSED,45,false",
    "DEPOSED,6,true",
    "DEPOSED,16,true"
  })
  void startsOfAFormerLeaderArriveAfterThoseOfTheNext(
      LeaderFault fault, double delayS, boolean cancelled) {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-0", "standing", 8);
    cluster.advance(12);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    scenario.answers.submit(leader.index, "j-1", "array", 6);
    scenario.answers.submit(leader.index, "j-2", "group", 4);
    cluster.advance(0.5);
    assertThat(cluster.delayedCount()).isPositive();
    if (fault == LeaderFault.ENDED) {
      leader.kill();
    } else {
      leader.storeUnavailable = true;
      leader.peersUnreachable = true;
    }
    cluster.advance(0.2);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    if (cancelled) {
      scenario.cancelUntilConfirmed("j-1", 0, delayS + 10);
    }
    cluster.advance(delayS);
    cluster.deliverDelayed();
    cluster.advance(10);
    leader.storeUnavailable = false;
    leader.peersUnreachable = false;
    if (leader.down) {
      leader.start();
    }
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(cancelled ? 0 : 6);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
  }

  /**
   * The worker reaches no controller, so that it has seen no newer fencing token when the former
   * leader's start arrives.
   */
  @ParameterizedTest
  @CsvSource({"5,false", "14,false", "26,false", "5,true", "14,true", "26,true"})
  void delayedStartReachesAWorkerWithoutANewerToken(double delayS, boolean cancelled) {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-0", "standing", 2);
    cluster.advance(12);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    scenario.answers.submit(leader.index, "j-1", "array", 6);
    cluster.advance(0.5);
    assertThat(cluster.delayedCount()).isPositive();
    List<FakeWorker> machines = List.copyOf(cluster.workers.values());
    machines.forEach(worker -> worker.outboundPartitioned = true);
    leader.kill();
    cluster.faults.commandDelivery = Delivery.LOST;
    cluster.cloud.down = true;
    if (cancelled) {
      scenario.cancelUntilConfirmed("j-1", 0, delayS + 60);
    }
    cluster.advance(delayS);
    cluster.deliverDelayed();
    cluster.advance(2);
    machines.forEach(worker -> worker.outboundPartitioned = false);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.cloud.down = false;
    cluster.advance(40);
    leader.start();
    cluster.advance(30);
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(cancelled ? 0 : 6);
  }

  /**
   * A share of all commands is delayed by 2 to 16 s, while leaders change and jobs are cancelled.
   */
  @ParameterizedTest
  @CsvSource({"1,0.3", "2,0.3", "3,0.7", "4,0.7"})
  void commandsAreDelayedWhileLeadersChange(long seed, double share) {
    cluster.faults.random = new SplittableRandom(seed);
    cluster.awaitLeader(3);
    cluster.faults.delayedCommandShare = share;
    for (int i = 0; i < 8; i++) {
      scenario.answers.submit(i % 3, "j-" + i, shapeOf(i), 4);
      cluster.advance(i == 0 ? 8 : 2);
      if (i % 2 == 1) {
        scenario.cancelUntilConfirmed("j-" + i, i % 3, 30);
      }
      ControllerNode leader = cluster.leader();
      if (leader != null) {
        cluster.restartAfter(leader, i % 3 == 0 ? 0.2 : 5);
      }
      List<FakeWorker> machines = List.copyOf(cluster.workers.values());
      if (i % 3 == 2 && !machines.isEmpty()) {
        FakeWorker hung = machines.get(i % machines.size());
        hung.hung = true;
        cluster.time.after(9, hung::resume);
      }
      cluster.advance(9);
    }
    scenario.verifyRecovery();
  }
}
