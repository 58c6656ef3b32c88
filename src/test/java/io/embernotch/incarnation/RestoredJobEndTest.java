package io.embernotch.incarnation;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.api.Test;

/**
 * A job ends, and the store is rolled back before the end is written to it. The base snapshot of
 * the next incarnation holds that end.
 */
class RestoredJobEndTest {
  private static final String DEPENDENCY = "j-1";
  private static final String DEPENDENT = "j-2";

  private final DataLossScenario scenario = new DataLossScenario();

  /** Guards against a dependent job that never starts, since only the base snapshot has the end. */
  @Test
  void dependentJobStartsIfOnlyTheBaseSnapshotHoldsTheEndOfItsDependency() {
    scenario.accept(scenario.leader, DEPENDENCY, "array", 1);
    scenario.awaitTasksStarted();
    scenario.accept(scenario.leader, DEPENDENT, dependentJob(DEPENDENT, 1, DEPENDENCY));
    scenario.cluster.advance(1);
    Snapshot before = scenario.snapshotBeforeAnotherWrite();
    scenario.cluster.faults.commitDelivery = Delivery.LOST;
    scenario.cluster.faults.commitDeliveryFilter = "run/" + DEPENDENCY;
    scenario.cluster.completeTasks(DEPENDENCY);
    scenario.cluster.advance(2);
    assertThat(scenario.cluster.store.finalPhase(DEPENDENCY)).isNull();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(40);
    assertThat(scenario.cluster.store.finalPhase(DEPENDENCY)).isNull();
    assertThat(scenario.cluster.runningTasks(DEPENDENT)).hasSize(1);
    assertThat(scenario.cluster.violations()).isEmpty();
  }
}
