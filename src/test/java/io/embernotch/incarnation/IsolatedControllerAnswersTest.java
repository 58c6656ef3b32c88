package io.embernotch.incarnation;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A controller that reaches the store but receives no heartbeats from the leader would not learn of
 * a data loss either. It reports ends of jobs, which are final. It gives any other answer only
 * after the leader's next heartbeat in the store has proven that nothing was lost.
 */
class IsolatedControllerAnswersTest {
  private static final double RECONNECTED_WITHIN_S = 10;

  private final SimulatedCluster cluster = new SimulatedCluster(3);
  private ControllerNode leader;
  private ControllerNode follower;

  @BeforeEach
  void startJob() {
    leader = cluster.awaitLeader(4);
    follower = cluster.otherNode(leader);
    cluster.submit(leader.index, job("j-1", "array", 1));
    cluster.advance(40);
  }

  private void isolate(ControllerNode node) {
    node.peersUnreachable = true;
    cluster.advance(12);
  }

  /** Guards against "never accepted" for a job that another controller answered with 201. */
  @Test
  void jobMissingFromARolledBackStoreIsNotReportedAsNeverAccepted() {
    isolate(follower);
    FakeStore.Snapshot before = cluster.store.snapshot();
    assertThat(cluster.submit(leader.index, job("j-2", "array", 1)).status()).isEqualTo(201);
    cluster.store.restore(before, true);
    assertThat(cluster.phase(follower.index, "j-2")).isEqualTo("status 503");
    assertThat(cluster.submit(follower.index, dependentJob("j-3", 1, "j-2")).status())
        .isEqualTo(503);
  }

  /**
   * Guards against two controllers that reach each other but not the leader that reported the end.
   */
  @Test
  void twoControllersWithoutTheLeaderDoNotReportOutdatedPhases() {
    leader.peersUnreachable = true;
    cluster.advance(12);
    FakeStore.Snapshot before = cluster.store.snapshot();
    cluster.completeTasks("j-1");
    cluster.advance(2);
    assertThat(cluster.phase(leader.index, "j-1")).isEqualTo("done");
    cluster.store.restore(before, true);
    for (ControllerNode node : cluster.nodes) {
      assertThat(cluster.phase(node.index, "j-1")).isIn("done", "status 503");
    }
  }

  /** Guards against a controller that answers 503 although the store holds the job's end. */
  @Test
  void isolatedControllerReportsEnds() {
    isolate(follower);
    cluster.completeTasks("j-1");
    cluster.advance(2);
    assertThat(cluster.phase(follower.index, "j-1")).isEqualTo("done");
  }

  /** Guards against a controller that answers 503 for as long as it reaches no other controller. */
  @Test
  void allControllersAnswerDuringAndAfterAPartition() {
    cluster.nodes.forEach(node -> node.peersUnreachable = true);
    for (int second = 0; second < 60; second++) {
      cluster.advance(1);
      for (ControllerNode node : cluster.nodes) {
        assertThat(cluster.phase(node.index, "j-1")).isEqualTo("running");
      }
    }
    cluster.nodes.forEach(node -> node.peersUnreachable = false);
    cluster.advance(RECONNECTED_WITHIN_S);
    for (ControllerNode node : cluster.nodes) {
      assertThat(cluster.phase(node.index, "j-1")).isEqualTo("running");
    }
  }

  /** Guards against a rollback that goes undetected because the leader and others write again. */
  @Test
  void laterWritesDoNotHideADataLoss() {
    isolate(follower);
    FakeStore.Snapshot before = cluster.store.snapshot();
    cluster.completeTasks("j-1");
    cluster.advance(2);
    assertThat(cluster.phase(leader.index, "j-1")).isEqualTo("done");
    cluster.store.restore(before, true);
    for (int i = 0; i < 20; i++) {
      assertThat(cluster.phase(follower.index, "j-1")).isIn("done", "status 503");
      cluster.submit(follower.index, job("j-" + (20 + i), "array", 1));
      cluster.advance(0.1);
    }
  }

  /** Guards against 503 while there is no leader and the other controllers reach each other. */
  @Test
  void connectedControllersAnswerWithoutALeader() {
    leader.kill();
    int answered = 0;
    for (int second = 0; second < 30; second++) {
      cluster.advance(1);
      answered += cluster.phase(follower.index, "j-1").equals("running") ? 1 : 0;
    }
    assertThat(answered).isGreaterThan(20);
  }
}
