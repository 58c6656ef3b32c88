package io.embernotch.incarnation;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import io.embernotch.testkit.SimulatedCluster;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * All controllers end, and the store is rolled back to a state without a leader before any of them
 * is started again. Only the workers can provide evidence of that rollback.
 */
class RollbackWhileAllDownTest {
  private static final String KEPT = "j-1";
  private static final String LOST = "j-2";
  private static final String NEVER_ACCEPTED = "j-3";

  /** Seconds after which the leader's lease has ended and its key is deleted. */
  private static final double LEASE_ENDED_S = 5;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 10);

  private void acceptAndRun(String ref) {
    assertThat(cluster.submit(cluster.leader().index, job(ref, "array", 2)).status())
        .isEqualTo(201);
    cluster.advance(15);
    assertThat(cluster.runningTasks(ref)).hasSize(2);
  }

  private void killAllAndAwaitLeaseEnd() {
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(LEASE_ENDED_S);
  }

  private void startAll() {
    cluster.nodes.forEach(ControllerNode::start);
  }

  private void rollBackStoreWhileAllAreDown() {
    rollBackStoreWhileAllAreDown(0);
  }

  /** {@code failovers}: number of further terms, each with a higher epoch, that are lost too. */
  private void rollBackStoreWhileAllAreDown(int failovers) {
    cluster.awaitLeader(4);
    acceptAndRun(KEPT);
    killAllAndAwaitLeaseEnd();
    Snapshot before = cluster.store.snapshot();
    startAll();
    cluster.awaitLeader(10);
    acceptAndRun(LOST);
    for (int failover = 0; failover < failovers; failover++) {
      cluster.restartAfter(cluster.leader(), 1);
      cluster.awaitLeader(10);
    }
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.store.restore(before, false);
    cluster.advance(0.5);
  }

  /**
   * Guards against "never accepted" before any worker that could prove the opposite has reported.
   * An unresponsive machine is scaled in after 7 s, and its evidence is lost with it.
   */
  @ParameterizedTest
  @ValueSource(doubles = {2, 4, 6})
  void noJobIsReportedAsNeverAcceptedBeforeTheWorkersReport(double partitionedForS) {
    rollBackStoreWhileAllAreDown();
    cluster.workers.values().forEach(worker -> worker.partitioned = true);
    startAll();
    Set<String> answers = answersFor(partitionedForS);
    cluster.workers.values().forEach(worker -> worker.partitioned = false);
    answers.addAll(answersFor(60));
    assertThat(answers).doesNotContain("status 404", "refused with 422");
    assertThat(cluster.phase(cluster.leader().index, KEPT)).isEqualTo("running");
  }

  /** All answers about the lost job, and to submissions of jobs that depend on it. */
  private Set<String> answersFor(double seconds) {
    Set<String> answers = new TreeSet<>();
    for (int second = 0; second < seconds; second++) {
      cluster.advance(1);
      for (ControllerNode node : cluster.nodes) {
        answers.add(cluster.phase(node.index, LOST));
        String dependent = dependentJob("j-" + (100 + node.index), 1, LOST);
        answers.add("refused with " + cluster.submit(node.index, dependent).status());
      }
    }
    return answers;
  }

  /**
   * Guards against a data loss that fencing tokens do not reveal, since the next term's epoch is
   * above the lost one's.
   *
   * @param changes writes to the store after the rollback, each of which raises the next epoch
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 20})
  void taskOfAMissingJobRevealsTheDataLoss(int changes) {
    rollBackStoreWhileAllAreDown();
    for (int change = 0; change < changes; change++) {
      cluster.store.put("mark", "{}");
    }
    startAll();
    assertThat(answersFor(60)).doesNotContain("status 404", "refused with 422");
  }

  /**
   * Guards against a lost term with a higher epoch, which merely makes the next leader step down.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3})
  void taskRevealsTheLossOfTermsAboveTheNextOne(int failovers) {
    rollBackStoreWhileAllAreDown(failovers);
    startAll();
    assertThat(answersFor(60)).doesNotContain("status 404", "refused with 422");
  }

  /** Guards against a cluster that answers 503 for a job that was never accepted for too long. */
  @Test
  void jobIsReportedAsNeverAcceptedOnceTheWorkersHaveReported() {
    cluster.awaitLeader(4);
    acceptAndRun(KEPT);
    killAllAndAwaitLeaseEnd();
    startAll();
    ControllerNode leader = cluster.awaitLeader(10);
    cluster.advance(8);
    assertThat(cluster.phase(leader.index, NEVER_ACCEPTED)).isEqualTo("status 404");
    assertThat(cluster.violations()).isEmpty();
  }
}
