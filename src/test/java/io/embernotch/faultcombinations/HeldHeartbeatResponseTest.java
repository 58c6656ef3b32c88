package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a task that starts twice, or after its cancellation was confirmed: the response to
 * a heartbeat, with its start, is held for less than the 4 s that the worker waits, and commands
 * that are sent directly meanwhile are answered without the task.
 */
class HeldHeartbeatResponseTest {
  private static final double RESPONSE_DELAY_S = 3.7;

  /** Two thirds of a heartbeat interval. */
  private static final double COMMAND_TIMEOUT_S = 2;

  private final FaultScenario scenario = FaultScenario.large();

  /** What becomes of the job while the response is held. */
  private enum Change {
    CANCELLED,
    SPOT_RECLAIM,
    LEADER_ENDED
  }

  @ParameterizedTest
  @CsvSource({
    "CANCELLED,array", "CANCELLED,group", "CANCELLED,standing",
    "SPOT_RECLAIM,array", "SPOT_RECLAIM,group", "SPOT_RECLAIM,standing",
    "LEADER_ENDED,array", "LEADER_ENDED,group"
  })
  void startInAHeldResponseIsNotTakenForDropped(Change change, String shape) {
    ControllerNode leader = startMachines();
    setResponseDelay(RESPONSE_DELAY_S);
    submit(shape);
    scenario.cluster.advance(1.2);
    changeAndVerify(change, leader);
  }

  /** As above, while the leader has just found that direct commands are not answered. */
  @ParameterizedTest
  @CsvSource({
    "CANCELLED,array", "CANCELLED,group", "CANCELLED,standing",
    "SPOT_RECLAIM,array", "SPOT_RECLAIM,group", "SPOT_RECLAIM,standing",
    "LEADER_ENDED,array", "LEADER_ENDED,group"
  })
  void startInAHeldResponseAfterUnansweredCommandsIsNotTakenForDropped(
      Change change, String shape) {
    ControllerNode leader = startMachines();
    scenario.cluster.faults.commandDelivery = Delivery.LOST;
    submit(shape);
    scenario.cluster.advance(COMMAND_TIMEOUT_S - 0.2);
    setResponseDelay(RESPONSE_DELAY_S);
    scenario.cluster.advance(1.2);
    scenario.cluster.faults.commandDelivery = Delivery.DELIVERED;
    changeAndVerify(change, leader);
  }

  private ControllerNode startMachines() {
    ControllerNode leader = scenario.cluster.awaitLeader(3);
    scenario.cluster.bootMachine("g8", "z1", true);
    scenario.cluster.bootMachine("g8", "z2", true);
    scenario.cluster.advance(8);
    return leader;
  }

  private void submit(String shape) {
    scenario.submitAccepted(0, "j-1", job("j-1", shape, 4));
    scenario.cluster.advance(0.3);
    scenario.submitAccepted(0, "j-2", job("j-2", shape, 4));
  }

  private void changeAndVerify(Change change, ControllerNode leader) {
    apply(change, leader);
    scenario.cluster.advance(6);
    setResponseDelay(0);
    scenario.cluster.advance(20);
    scenario.verifyRecovery();
    int running = change == Change.CANCELLED ? 0 : 4;
    assertThat(scenario.cluster.runningTasks("j-1")).hasSize(running);
    assertThat(scenario.cluster.runningTasks("j-2")).hasSize(running);
  }

  private void setResponseDelay(double seconds) {
    for (FakeWorker worker : scenario.cluster.workers.values()) {
      worker.heartbeatResponseDelayS = seconds;
    }
  }

  private void apply(Change change, ControllerNode leader) {
    switch (change) {
      case CANCELLED -> {
        scenario.cancelUntilConfirmed("j-1", leader.index, 20);
        scenario.cancelUntilConfirmed("j-2", leader.index, 20);
      }
      case SPOT_RECLAIM ->
          scenario.cluster.workers.values().iterator().next().reclaimNoticeS = 12.0;
      case LEADER_ENDED -> scenario.cluster.restartAfter(leader, 1);
    }
  }
}
