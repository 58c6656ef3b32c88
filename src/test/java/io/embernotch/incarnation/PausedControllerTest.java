package io.embernotch.incarnation;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A controller that has given answers that no other controller knows is paused when the store loses
 * data, and resumes after others have begun an incarnation. Its answers must remain valid.
 */
class PausedControllerTest {
  private static final String CANCELLED = "j-1";
  private static final String DONE = "j-2";
  private static final String ACCEPTED = "j-3";

  private final DataLossScenario scenario = new DataLossScenario();
  private final ControllerNode leader = scenario.leader;
  private final ControllerNode first = scenario.cluster.otherNode(leader);
  private final ControllerNode second = scenario.third(leader, first);
  private Snapshot before;

  @BeforeEach
  void startJobs() {
    scenario.accept(leader, CANCELLED, "array", 2);
    scenario.accept(first, DONE, "array", 2);
    scenario.awaitTasksStarted();
    before = scenario.snapshotBeforeAnotherWrite();
    scenario.cluster.advance(2);
  }

  private void pause(ControllerNode node) {
    scenario.isolate(node);
    node.storeUnresponsive = true;
    node.workersUnreachable = true;
  }

  private void resume(ControllerNode node) {
    scenario.reconnect(node);
    node.storeUnresponsive = false;
    node.workersUnreachable = false;
  }

  private void giveAnswersByTheLeader() {
    scenario.accept(leader, ACCEPTED, "array", 1);
    scenario.cancel(leader, CANCELLED);
    scenario.complete(leader, DONE);
  }

  /** Guards against answers of a leader that the others could only learn from the store. */
  @ParameterizedTest
  @ValueSource(doubles = {0.001, 10})
  void answersOfALeaderIsolatedFromItsPeersRemainValid(double answeredBeforeS) {
    leader.peersUnreachable = true;
    scenario.cluster.advance(5);
    giveAnswersByTheLeader();
    scenario.cluster.time.advance(answeredBeforeS);
    pause(leader);
    scenario.cluster.store.restore(before, false);
    scenario.advanceWithPolls(30);
    resume(leader);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a leader that adopts an incarnation without what it alone knows. */
  @Test
  void whatAPausedLeaderKnowsIsMergedWhereTheOthersWereStartedAfterTheLoss() {
    giveAnswersByTheLeader();
    scenario.cluster.advance(10);
    pause(leader);
    first.kill();
    second.kill();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    first.start();
    second.start();
    scenario.cluster.advance(30);
    resume(leader);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a follower that adopts an incarnation without what it alone knows. */
  @Test
  void whatAPausedFollowerKnowsIsMergedWhereTheOthersWereStartedAfterTheLoss() {
    giveAnswersByTheLeader();
    scenario.expectPhase(first, CANCELLED, "cancelled");
    scenario.expectPhase(first, DONE, "done");
    scenario.cluster.advance(10);
    pause(first);
    leader.kill();
    second.kill();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    leader.start();
    second.start();
    scenario.cluster.advance(30);
    resume(first);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a second restore by a leader that resumes after the others have restored. */
  @Test
  void resumedLeaderAdoptsTheOthersIncarnation() {
    giveAnswersByTheLeader();
    scenario.cluster.advance(10);
    pause(leader);
    scenario.cluster.advance(0.5);
    scenario.cluster.store.restore(before, false);
    scenario.advanceWithPolls(30);
    scenario.accept(second, "j-4", "array", 1);
    scenario.cluster.advance(5);
    resume(leader);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against two concurrent restores, of which the leader's is the slower one. */
  @ParameterizedTest
  @ValueSource(doubles = {9.8, 10, 10.02, 10.05, 10.2, 10.6, 11, 12, 13})
  void leaderResumedDuringTheOthersRestoreWithdrawsNoAnswer(double pausedForS) {
    giveAnswersByTheLeader();
    scenario.cluster.advance(10);
    pause(leader);
    scenario.cluster.store.restore(before, false);
    scenario.expectPhase(first, "j-9", "status 503");
    scenario.cluster.advance(pausedForS);
    resume(leader);
    scenario.verifyAllAnswersValid();
  }

  /** The first controller learns of a data loss, and is paused before it learns of the restore. */
  private void pauseOnceTheLossIsKnown() {
    first.storeUnavailable = true;
    scenario.cluster.store.restore(before, true);
    for (int i = 0; i < 200 && lossCount(first) == 0; i++) {
      scenario.cluster.time.advance(0.005);
    }
    assertThat(lossCount(first)).isEqualTo(1);
    pause(first);
    scenario.cluster.advance(5);
  }

  private int lossCount(ControllerNode node) {
    return Json.parseObject(scenario.cluster.await(node.controller.overview()).body())
        .get("losses")
        .asInt();
  }

  /**
   * Guards against a controller that knows of one data loss, misses the incarnation that others
   * begin after it, and restores its outdated state after the next loss.
   */
  @ParameterizedTest
  @ValueSource(doubles = {1, 4, 6, 12, 30})
  void controllerThatMissedAnIncarnationDoesNotRestoreOutdatedState(double betweenLossesS) {
    pauseOnceTheLossIsKnown();
    giveAnswersByTheLeader();
    scenario.expectPhase(second, CANCELLED, "cancelled");
    scenario.cluster.advance(betweenLossesS);
    leader.kill();
    scenario.cluster.store.wipe();
    resume(first);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against the same where the other controller detects the next loss first. */
  @ParameterizedTest
  @ValueSource(doubles = {0.05, 0.3, 3, 8})
  void controllerThatMissedAnIncarnationAndResumesLaterDoesNotRestoreOutdatedState(
      double resumedAfterS) {
    pauseOnceTheLossIsKnown();
    giveAnswersByTheLeader();
    scenario.cluster.advance(12);
    leader.kill();
    scenario.cluster.store.wipe();
    scenario.expectPhase(second, ACCEPTED, "status 503");
    scenario.cluster.time.advance(resumedAfterS);
    resume(first);
    scenario.verifyAllAnswersValid();
  }
}
