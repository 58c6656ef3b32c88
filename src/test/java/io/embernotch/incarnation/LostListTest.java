package io.embernotch.incarnation;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A process that is started when nobody else is up asks the store for what it holds; the store is
 * put back, which the process notices, before the answer arrives.
 */
class LostListTest {
  private static final String KEPT = "j-1";
  private static final String LOST = "j-2";

  /** Seconds by which the leader's key has gone with its lease. */
  private static final double LEASE_ENDED_S = 5;

  private final LossScenario scenario = new LossScenario();
  private final ControllerNode started = scenario.cluster.otherNode(scenario.leader);

  /** Guards against a list that is dropped though nobody else knows what it tells. */
  @ParameterizedTest
  @ValueSource(doubles = {0.6, 0.8, 1})
  void whatTheStoreToldOfLostContentsHoldsThoughItArrivesLate(double delayS) {
    scenario.accept(scenario.leader, KEPT, "array", 2);
    scenario.letTasksStart();
    allEnd();
    Snapshot before = scenario.rememberContents();
    scenario.cluster.nodes.forEach(ControllerNode::start);
    scenario.accept(scenario.cluster.awaitLeader(10), LOST, "array", 2);
    scenario.letTasksStart();
    allEnd();
    started.storeListDelayS = delayS;
    started.start();
    scenario.cluster.time.advance(0.1);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(2 * delayS);
    started.storeListDelayS = 0;
    scenario.verifyAllToldHolds();
  }

  private void allEnd() {
    scenario.cluster.nodes.forEach(ControllerNode::kill);
    scenario.cluster.advance(LEASE_ENDED_S);
  }
}
