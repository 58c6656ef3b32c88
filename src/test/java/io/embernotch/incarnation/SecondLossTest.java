package io.embernotch.incarnation;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The store is rolled back, and during the restore or soon after it its contents change again, to a
 * newer or an older state. All answers from before both changes must remain valid.
 */
class SecondLossTest {
  private static final String CANCELLED = "j-1";
  private static final String DONE = "j-2";
  private static final String ACCEPTED = "j-3";

  private final DataLossScenario scenario = new DataLossScenario();
  private final ControllerNode leader = scenario.leader;
  private final ControllerNode first = scenario.cluster.otherNode(leader);
  private final ControllerNode second = scenario.third(leader, first);
  private Snapshot older;
  private Snapshot newer;

  @BeforeEach
  void giveAnswers() {
    scenario.accept(leader, CANCELLED, "array", 2);
    scenario.accept(first, DONE, "array", 2);
    scenario.awaitTasksStarted();
    older = scenario.snapshotBeforeAnotherWrite();
    scenario.cluster.advance(2);
    scenario.accept(leader, ACCEPTED, "array", 1);
    scenario.cancel(leader, CANCELLED);
    scenario.complete(leader, DONE);
    scenario.cluster.advance(10);
    newer = scenario.snapshotBeforeAnotherWrite();
  }

  /** Guards against newer contents that reappear during a restore without the former leader. */
  @ParameterizedTest
  @ValueSource(doubles = {0.3, 3, 9.9, 10.01, 10.02, 10.05, 10.1, 10.3, 11, 12, 14, 16})
  void newerContentsThatReappearWithoutTheLeaderAreMerged(double secondsBetween) {
    leader.kill();
    scenario.cluster.store.restore(older, false);
    scenario.expectPhase(first, "j-9", "status 503");
    scenario.cluster.advance(secondsBetween);
    scenario.cluster.store.restore(newer, false);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a second data loss during the leader's restore. */
  @ParameterizedTest
  @ValueSource(doubles = {0.05, 0.1, 0.3, 0.35, 0.4, 0.5, 0.7, 1, 1.05, 1.1, 1.5, 3})
  void newerContentsThatReappearDuringTheLeadersRestoreAreMerged(double secondsBetween) {
    scenario.cluster.store.restore(older, true);
    scenario.cluster.time.advance(secondsBetween);
    scenario.cluster.store.restore(newer, false);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a leader that ends after the second of two data losses. */
  @ParameterizedTest
  @ValueSource(doubles = {0.05, 0.5, 1, 1.5, 3})
  void answersRemainValidIfTheLeaderEndsAfterTheSecondLoss(double secondsBetween) {
    scenario.cluster.store.restore(newer, true);
    scenario.cluster.time.advance(secondsBetween);
    scenario.cluster.store.restore(older, false);
    scenario.cluster.time.advance(0.2);
    leader.kill();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a survivor that ends at any step of its restore. */
  @ParameterizedTest
  @ValueSource(doubles = {0.3, 1, 3, 9.9, 10.01, 10.03, 10.1, 10.5, 11, 12, 14})
  void answersRemainValidIfOneSurvivorEndsDuringTheRestore(double secondsAfter) {
    leader.kill();
    scenario.cluster.store.restore(older, false);
    scenario.expectPhase(second, "j-9", "status 503");
    scenario.cluster.advance(secondsAfter);
    ControllerNode restoring = scenario.cluster.leader();
    (restoring == null ? first : restoring).kill();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against answers that survive the first loss of data and leader but not the second. */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 5, 30})
  void answersRemainValidIfTheNextLeaderIsLostWithTheData(double secondsAfterTheRestore) {
    leader.kill();
    scenario.cluster.store.restore(older, false);
    scenario.cluster.advance(2);
    leader.start();
    for (int i = 0; i < 120 && scenario.cluster.leader() == null; i++) {
      scenario.cluster.advance(0.25);
    }
    ControllerNode next = scenario.cluster.leader();
    scenario.cluster.advance(secondsAfterTheRestore);
    next.kill();
    scenario.cluster.store.restore(older, false);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a rollback to an earlier incarnation after the restore is complete. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void answersRemainValidAfterARollbackToAnEarlierIncarnation(boolean leaderEnds) {
    scenario.cluster.store.wipe();
    scenario.cluster.advance(10);
    scenario.accept(second, "j-4", "array", 1);
    scenario.cluster.advance(15);
    scenario.cluster.store.restore(newer, false);
    if (leaderEnds) {
      scenario.cluster.leader().kill();
    }
    scenario.verifyAllAnswersValid();
  }
}
