package io.embernotch.incarnation;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A process that is started after the store was rolled back has no means to detect that. It must
 * not begin an incarnation with these contents before the controllers that were running during the
 * rollback have detected it.
 */
class StartAfterRollbackTest {
  private static final String CANCELLED = "j-1";
  private static final String DONE = "j-2";
  private static final String ACCEPTED = "j-3";

  /** Seconds without user requests, so that no survivor reads the store to answer one. */
  private static final double WITHOUT_REQUESTS_S = 6;

  private final DataLossScenario scenario = new DataLossScenario();
  private ControllerNode leader;
  private ControllerNode first;
  private ControllerNode second;

  /** Contents without a leader key. */
  private Snapshot withoutLeader;

  @BeforeEach
  void giveAnswersAfterASnapshotWithoutLeader() {
    scenario.accept(scenario.leader, CANCELLED, "array", 2);
    scenario.accept(scenario.leader, DONE, "array", 2);
    scenario.awaitTasksStarted();
    scenario.cluster.nodes.forEach(node -> node.storeUnavailable = true);
    scenario.cluster.advance(5);
    withoutLeader = scenario.cluster.store.snapshot();
    scenario.cluster.nodes.forEach(node -> node.storeUnavailable = false);
    leader = scenario.cluster.awaitLeader(10);
    first = scenario.cluster.otherNode(leader);
    second = scenario.third(leader, first);
    scenario.accept(first, ACCEPTED, "array", 1);
    scenario.cancel(second, CANCELLED);
    scenario.complete(first, DONE);
    scenario.expectPhase(second, DONE, "done");
    scenario.expectPhase(first, CANCELLED, "cancelled");
    scenario.cluster.advance(20);
  }

  /**
   * Guards against a successor incarnation that begins with the contents of a rolled-back store.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.001, 0.1, 0.5, 1, 2.5})
  void restartedFormerLeaderDoesNotReplaceWhatTheOthersKnow(double startedAfterS) {
    leader.kill();
    scenario.cluster.store.restore(withoutLeader, false);
    scenario.cluster.time.advance(startedAfterS);
    leader.start();
    scenario.cluster.advance(WITHOUT_REQUESTS_S);
    scenario.verifyAllAnswersValid();
  }

  /**
   * Guards against a leader of a rolled-back store that learns of the data loss only afterwards.
   */
  @Test
  void stateOfAProcessThatLedBeforeItReachedTheOthersIsNotRestored() {
    leader.kill();
    scenario.cluster.store.restore(withoutLeader, false);
    leader.start();
    leader.peersUnreachable = true;
    scenario.cluster.advance(2);
    leader.peersUnreachable = false;
    scenario.verifyAllAnswersValid();
  }

  /**
   * Guards against a process that learns of an epoch that the contents have not reached, and begins
   * an incarnation above that epoch with these contents.
   */
  @Test
  void processThatLearnsOfAHigherEpochDoesNotBeginAnIncarnationAboveIt() {
    leader.kill();
    scenario.cluster.store.restore(withoutLeader, false);
    leader.storeUnavailable = true;
    leader.start();
    scenario.cluster.advance(1.5);
    leader.storeUnavailable = false;
    scenario.cluster.advance(WITHOUT_REQUESTS_S);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against the same where only one controller is left that knows the lost contents. */
  @Test
  void oneSurvivorRestoresTheLostContents() {
    second.kill();
    scenario.cluster.advance(10);
    leader.kill();
    scenario.cluster.store.restore(withoutLeader, false);
    second.start();
    scenario.cluster.advance(WITHOUT_REQUESTS_S);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a process that claims leadership before the live leader detects the loss. */
  @Test
  void stateOfAProcessThatClaimsBeforeTheLeaderDetectsTheLossIsNotRestored() {
    second.kill();
    scenario.cluster.advance(10);
    scenario.cluster.store.restore(withoutLeader, false);
    second.start();
    scenario.cluster.advance(WITHOUT_REQUESTS_S);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a process that waits and claims leadership once the survivors restore. */
  @Test
  void processStartedDuringTheRestoreAdoptsTheNewIncarnation() {
    leader.kill();
    scenario.cluster.store.restore(withoutLeader, false);
    scenario.expectPhase(first, ACCEPTED, "status 503");
    scenario.cluster.advance(5);
    leader.start();
    scenario.verifyAllAnswersValid();
  }

  /**
   * Guards against a process that waits for a fixed time after its start, while a second data loss
   * makes the only survivor start its own wait again.
   */
  @ParameterizedTest
  @ValueSource(doubles = {6, 9, 12, 14})
  void noFirstIncarnationBeginsWhileASurvivorRestartsItsWait(double secondsBetweenLosses) {
    leader.kill();
    second.kill();
    scenario.cluster.store.wipe();
    scenario.expectPhase(first, ACCEPTED, "status 503");
    second.storeUnavailable = true;
    second.start();
    // A write between the losses lets the survivor detect the second one.
    scenario.cluster.store.put("mark", "{}");
    scenario.cluster.advance(secondsBetweenLosses);
    scenario.cluster.store.wipe();
    scenario.cluster.advance(1);
    second.storeUnavailable = false;
    scenario.verifyAllAnswersValid();
  }
}
