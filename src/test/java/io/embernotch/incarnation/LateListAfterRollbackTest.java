package io.embernotch.incarnation;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A process that is started while no other controller runs lists the store's contents. The store is
 * rolled back before the answer arrives, and the process detects that.
 */
class LateListAfterRollbackTest {
  private static final String KEPT = "j-1";
  private static final String LOST = "j-2";

  /** Seconds after which the leader's lease has ended and its key is deleted. */
  private static final double LEASE_ENDED_S = 5;

  private final DataLossScenario scenario = new DataLossScenario();
  private final ControllerNode started = scenario.cluster.otherNode(scenario.leader);

  /** Guards against a late list that is dropped although no other controller knows its contents. */
  @ParameterizedTest
  @ValueSource(doubles = {0.6, 0.8, 1})
  void lateListOfLostContentsIsRestored(double delayS) {
    scenario.accept(scenario.leader, KEPT, "array", 2);
    scenario.awaitTasksStarted();
    killAllAndAwaitLeaseEnd();
    Snapshot before = scenario.snapshotBeforeAnotherWrite();
    scenario.cluster.nodes.forEach(ControllerNode::start);
    scenario.accept(scenario.cluster.awaitLeader(10), LOST, "array", 2);
    scenario.awaitTasksStarted();
    killAllAndAwaitLeaseEnd();
    started.storeListDelayS = delayS;
    started.start();
    scenario.cluster.time.advance(0.1);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(2 * delayS);
    started.storeListDelayS = 0;
    scenario.verifyAllAnswersValid();
  }

  private void killAllAndAwaitLeaseEnd() {
    scenario.cluster.nodes.forEach(ControllerNode::kill);
    scenario.cluster.advance(LEASE_ENDED_S);
  }
}
