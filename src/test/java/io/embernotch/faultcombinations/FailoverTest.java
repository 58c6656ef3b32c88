package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.shapeOf;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Jobs are cancelled in the seconds of a failover, by users who go from node to node. */
class FailoverTest {
  /** Cancellations from so long before the leader's fault to so long after it. */
  private static final double RANGE_S = 5;

  private static final double STEP_S = 0.5;

  /** What ends the leadership of the former leader. */
  private enum LeaderFault {
    ENDS,
    RETURNS_AT_ONCE,
    REFUSED_BY_STORE,
    ISOLATED
  }

  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;

  private void begin(LeaderFault fault, ControllerNode leader) {
    switch (fault) {
      case ENDS -> cluster.restartAfter(leader, 7);
      case RETURNS_AT_ONCE -> cluster.restartAfter(leader, 0.2);
      case REFUSED_BY_STORE -> {
        leader.storeUnavailable = true;
        cluster.time.after(9, () -> leader.storeUnavailable = false);
      }
      case ISOLATED -> {
        leader.storeUnavailable = true;
        leader.peersUnreachable = true;
        cluster.time.after(
            9,
            () -> {
              leader.storeUnavailable = false;
              leader.peersUnreachable = false;
            });
      }
      default -> throw new IllegalArgumentException(fault.name());
    }
  }

  /** One failover for each moment at which a cancellation may be asked for. */
  @ParameterizedTest
  @EnumSource(LeaderFault.class)
  void cancellationsAroundAFailover(LeaderFault fault) {
    cluster.awaitLeader(3);
    int jobs = 0;
    for (double at = -RANGE_S; at <= RANGE_S; at += STEP_S) {
      cancelDuringFailover(fault, jobs++, RANGE_S + at);
    }
    cluster.advance(scenario.cancelS());
    for (int i = 0; i < jobs; i++) {
      String ref = "j-" + i;
      cluster.cancelAsync(i % 3, ref);
      cluster.advance(0.2);
      assertThat(cluster.phase((i + 1) % 3, ref)).as(ref).isEqualTo("cancelled");
      assertThat(cluster.runningTasks(ref)).isEmpty();
    }
    scenario.verifyRecovery();
  }

  /** Two jobs are cancelled after {@code cancelAtS}: one that runs, one that is just started. */
  private void cancelDuringFailover(LeaderFault fault, int number, double cancelAtS) {
    String ref = "j-" + number;
    int next = number + 1;
    String fresh = "j-" + (100 + next);
    scenario.answers.submit(next % 3, ref, shapeOf(next), 4);
    cluster.advance(number == 0 ? 12 : 3);
    ControllerNode leader = cluster.awaitLeader(10);
    int node = next % 3;
    cluster.time.after(RANGE_S, () -> begin(fault, leader));
    cluster.time.after(cancelAtS, () -> scenario.cancelUntilConfirmed(ref, node, 12));
    cluster.time.after(
        Math.max(0, cancelAtS - 0.2), () -> cluster.submitAsync(node, job(fresh, "array", 3)));
    cluster.time.after(cancelAtS, () -> scenario.cancelUntilConfirmed(fresh, (node + 1) % 3, 12));
    scenario.pollAllNodes(ref, 2 * RANGE_S + 4, 0.25);
    cluster.advance(2 * RANGE_S + 8);
  }

  /**
   * The former leader has decided, and ended before any user got the confirmation; the next one
   * reads it from the store.
   */
  @ParameterizedTest
  @CsvSource({"0.001", "0.003", "0.005", "0.01", "0.05"})
  void decisionOfALeaderThatEndedBeforeConfirmingIt(double endsAfterS) {
    ControllerNode leader = cluster.awaitLeader(3);
    scenario.answers.submit(0, "j-1", "array", 8);
    cluster.advance(12);
    // Neither the stops nor the responses to heartbeats reach them any more.
    cluster.workers.values().forEach(worker -> worker.outboundPartitioned = true);
    cluster.faults.commandDelivery = Delivery.LOST;
    cluster.cancelAsync(leader.index, "j-1");
    cluster.advance(endsAfterS);
    leader.kill();
    cluster.advance(6);
    cluster.workers.values().forEach(worker -> worker.outboundPartitioned = false);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    scenario.cancelUntilConfirmed("j-1", 0, 10);
    cluster.advance(20);
    leader.start();
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    scenario.verifyRecovery();
    assertThat(cluster.phase(0, "j-1")).isEqualTo("cancelled");
  }
}
