package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.shapeOf;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A store that is slow, refuses requests or carries them out late, together with other faults. */
class StoreFaultsTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;
  private final RecordedAnswers answers = scenario.answers;

  @ParameterizedTest
  @CsvSource({"0.4", "1.4", "2.5"})
  void slowStoreWhileUsersCancelAndPoll(double latencyS) {
    ControllerNode leader = cluster.awaitLeader(3);
    for (int i = 0; i < 6; i++) {
      answers.submit(i % 3, "j-" + i, i % 2 == 0 ? "array" : "standing", 3);
    }
    cluster.advance(12);
    cluster.faults.storeLatencyS = latencyS;
    for (int s = 0; s < 80; s++) {
      cluster.cancelAsync(s % 3, "j-" + s % 4);
      answers.poll((s + 1) % 3, "j-" + s % 6);
      if (s == 40) {
        leader.kill();
      }
      cluster.advance(0.5);
    }
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-5")).hasSize(3);
  }

  /** The store refuses the leader alone, and a second later everybody. */
  @ParameterizedTest
  @CsvSource({
    "-0.3,false",
    "0,false",
    "0.05,false",
    "0.5,false",
    "-0.3,true",
    "0,true",
    "0.05,true",
    "0.5,true"
  })
  void cancellationsAsTheLeaderIsRefusedAndAnOutageFollows(
      double cancelledAfterS, boolean leaderEnds) {
    ControllerNode leader = cluster.awaitLeader(3);
    for (int i = 0; i < 6; i++) {
      answers.submit(0, "j-" + i, shapeOf(i), 4);
    }
    cluster.advance(12);
    double refusedAt = cluster.time.now() + 1;
    cluster.time.after(1, () -> leader.storeUnavailable = true);
    cluster.time.after(2, () -> cluster.store.outage = true);
    for (int i = 0; i < 4; i++) {
      String ref = "j-" + i;
      int node = i % 3;
      cluster.time.after(1 + cancelledAfterS, () -> cluster.cancelAsync(node, ref));
    }
    cluster.time.after(15, () -> leader.storeUnavailable = false);
    if (leaderEnds) {
      // What it has confirmed must not have been known to it alone.
      cluster.time.after(8, leader::kill);
      cluster.time.after(40, leader::start);
    }
    cluster.advance(1.25 * scenario.cancelS());
    assertThat(cluster.time.now()).isGreaterThan(refusedAt + scenario.cancelS());
    cluster.store.endOutage();
    for (int s = 0; s < 20; s++) {
      cluster.cancelAsync(s % 3, "j-" + s % 4);
      cluster.advance(1);
    }
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-5")).hasSize(4);
  }

  @ParameterizedTest
  @CsvSource({"0.3,1", "0.3,2", "0.6,3", "0.6,4"})
  void transactionsCarriedOutAfterNewerOnesOfTheSameController(double share, int seed) {
    cluster.faults.random = new SplittableRandom(seed);
    cluster.awaitLeader(3);
    cluster.faults.delayedCommitShare = share;
    for (int s = 0; s < 120; s++) {
      submitCancelAndComplete(s);
      if (s == 50) {
        ControllerNode leader = cluster.leader();
        if (leader != null) {
          cluster.restartAfter(leader, 0.2);
        }
      }
      if (s == 80) {
        cluster.store.outage = true;
      }
      if (s == 90) {
        cluster.store.endOutage();
      }
      for (String ref : answers.accepted) {
        answers.poll(s % 3, ref);
      }
      cluster.advance(1);
    }
    cluster.faults.delayedCommitShare = 0;
    cluster.advance(15);
    scenario.verifyRecovery();
  }

  /** A job every six seconds; now and then one is cancelled, and one completes. */
  private void submitCancelAndComplete(int second) {
    if (second % 6 == 0) {
      answers.submit(second % 3, "j-" + second, shapeOf(second / 6), 3);
    }
    if (second % 7 == 3) {
      cluster.cancelAsync(second % 3, "j-" + (second / 12 * 6));
    }
    if (second % 5 == 2) {
      cluster.completeTasks("j-" + (second / 10 * 6));
    }
  }
}
