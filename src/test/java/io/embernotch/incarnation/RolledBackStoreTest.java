package io.embernotch.incarnation;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/**
 * Guards against a controller that reports a job as running after users were told that it is done.
 * The store is rolled back to before the job's end. A controller that reaches no other controller
 * and has seen no later revision reads the job there. Only an absent submission is verified by a
 * comparison with the store incarnation, and the rolled-back store still holds the same one.
 */
class RolledBackStoreTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3);

  @Test
  void isolatedControllerDoesNotReportPhasesFromARolledBackStore() {
    ControllerNode leader = cluster.awaitLeader(4);
    ControllerNode isolated = cluster.otherNode(leader);
    cluster.submit(leader.index, job("j-1", "array", 1));
    cluster.advance(12);
    isolated.peersUnreachable = true;
    cluster.advance(5);
    FakeStore.Snapshot before = cluster.store.snapshot();
    cluster.completeTasks("j-1");
    cluster.advance(2);
    assertThat(cluster.phase(leader.index, "j-1")).isEqualTo("done");
    cluster.store.restore(before, true);
    assertThat(cluster.phase(isolated.index, "j-1")).isIn("done", "status 503");
  }
}
