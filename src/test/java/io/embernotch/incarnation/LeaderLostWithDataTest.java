package io.embernotch.incarnation;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The leader's process ends when the store loses data, and two other controllers keep running. They
 * know all answers that users were given, so no answer is contradicted or withdrawn.
 */
class LeaderLostWithDataTest {
  private static final String CANCELLED = "j-1";
  private static final String DONE = "j-2";
  private static final String SERVICE = "j-3";
  private static final String ACCEPTED_BY_LEADER = "j-4";
  private static final String ACCEPTED_BY_FOLLOWER = "j-5";

  /** Seconds within which an answer becomes known to all controllers. */
  private static final double KNOWN_TO_ALL_S = 30;

  private final DataLossScenario scenario = new DataLossScenario();
  private final ControllerNode leader = scenario.leader;
  private final ControllerNode first = scenario.cluster.otherNode(leader);
  private final ControllerNode second = scenario.third(leader, first);
  private Snapshot before;

  @BeforeEach
  void startJobs() {
    scenario.accept(leader, CANCELLED, "array", 2);
    scenario.accept(first, DONE, "array", 2);
    scenario.accept(second, SERVICE, "standing", 2);
    scenario.awaitTasksStarted();
    before = scenario.snapshotBeforeAnotherWrite();
    scenario.cluster.advance(2);
  }

  /** Users are told of two accepted jobs, one of them accepted by the leader, and of two ends. */
  private void giveAnswers() {
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.accept(second, ACCEPTED_BY_FOLLOWER, "array", 1);
    scenario.cancel(first, CANCELLED);
    scenario.complete(second, DONE);
  }

  private void killLeaderAndRollBackStore() {
    leader.kill();
    scenario.cluster.advance(0.2);
    scenario.cluster.store.restore(before, false);
  }

  /** Guards against answers that both survivors have given and then contradict. */
  @Test
  void answersOfTheSurvivorsRemainValid() {
    giveAnswers();
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    for (ControllerNode survivor : new ControllerNode[] {first, second}) {
      scenario.expectPhase(survivor, CANCELLED, "cancelled");
      scenario.expectPhase(survivor, DONE, "done");
      scenario.expectPhase(survivor, ACCEPTED_BY_LEADER, "running");
    }
    killLeaderAndRollBackStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against the loss of answers that only the killed leader has given. */
  @Test
  void answersOfTheKilledLeaderRemainValid() {
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.cancel(leader, CANCELLED);
    scenario.complete(leader, DONE);
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    killLeaderAndRollBackStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a leader that detects the loss and ends at any step of its restore. */
  @ParameterizedTest
  @ValueSource(doubles = {0.01, 0.05, 0.1, 0.35, 0.4, 0.5, 0.7, 1, 1.3})
  void answersRemainValidIfTheLeaderEndsAfterTheLoss(double secondsAfter) {
    giveAnswers();
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    scenario.cluster.store.restore(before, true);
    scenario.cluster.time.advance(secondsAfter);
    leader.kill();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against the loss of everything in the store, its incarnation included. */
  @Test
  void answersRemainValidIfTheStoreLosesEverything() {
    giveAnswers();
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    leader.kill();
    scenario.cluster.advance(0.2);
    scenario.cluster.store.wipe();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a cancellation that the leader reports before another controller knows it. */
  @Test
  void cancellationReportedJustBeforeTheLeaderEndsRemainsValid() {
    scenario.cancel(leader, CANCELLED);
    scenario.cluster.time.advance(0.005);
    leader.kill();
    scenario.cluster.store.restore(before, true);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a completion that the leader reports before another controller knows it. */
  @Test
  void completionReportedJustBeforeTheLeaderEndsRemainsValid() {
    scenario.cluster.completeTasks(DONE);
    for (int i = 0; i < 500 && !scenario.cluster.phase(leader.index, DONE).equals("done"); i++) {
      scenario.cluster.time.advance(0.01);
    }
    scenario.expectPhase(leader, DONE, "done");
    scenario.recordDone(DONE);
    leader.kill();
    scenario.cluster.store.restore(before, true);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a submission that the leader accepts before another controller knows it. */
  @Test
  void submissionAcceptedJustBeforeTheLeaderEndsRemainsKnown() {
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.cluster.time.advance(0.005);
    leader.kill();
    scenario.cluster.store.restore(before, true);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against survivors that know only what the store held at their start. */
  @Test
  void answersRemainValidIfBothSurvivorsWereRestarted() {
    giveAnswers();
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    scenario.restart(first);
    scenario.restart(second);
    killLeaderAndRollBackStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a survivor that missed answers while the other controllers were unreachable. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void answersRemainValidIfASurvivorWasIsolatedMeanwhile(boolean isolatedUntilAfterTheLoss) {
    first.peersUnreachable = true;
    scenario.cluster.advance(5);
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.cancel(leader, CANCELLED);
    scenario.complete(leader, DONE);
    scenario.cluster.advance(5);
    if (!isolatedUntilAfterTheLoss) {
      first.peersUnreachable = false;
      scenario.cluster.advance(5);
    }
    killLeaderAndRollBackStore();
    scenario.cluster.advance(25);
    first.peersUnreachable = false;
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a survivor that begins an incarnation without what the other survivor knows. */
  @Test
  void answersKnownOnlyToAnIsolatedSurvivorRemainValid() {
    giveAnswers();
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    scenario.restart(first);
    scenario.isolate(second);
    killLeaderAndRollBackStore();
    scenario.cluster.advance(25);
    scenario.reconnect(second);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a restore by a survivor that missed what the other survivor knows. */
  @ParameterizedTest
  @ValueSource(doubles = {-0.5, 0.001, 0.3, 3})
  void answersThatOneSurvivorMissedAreRestoredFromTheOther(double reconnectedAfterTheLossS) {
    scenario.isolate(first);
    scenario.cluster.advance(5);
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.accept(second, ACCEPTED_BY_FOLLOWER, "array", 1);
    scenario.cancel(second, CANCELLED);
    scenario.complete(second, DONE);
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    if (reconnectedAfterTheLossS < 0) {
      scenario.reconnect(first);
      scenario.cluster.time.advance(-reconnectedAfterTheLossS);
    }
    killLeaderAndRollBackStore();
    if (reconnectedAfterTheLossS > 0) {
      scenario.cluster.time.advance(reconnectedAfterTheLossS);
      scenario.reconnect(first);
    }
    scenario.verifyAllAnswersValid();
  }

  /** Guards against the state of a next leader that never read the store's contents. */
  @Test
  void answersRemainValidIfTheNextLeaderHasNotReadTheStore() {
    giveAnswers();
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    leader.kill();
    scenario.cluster.store.listsUnanswered = true;
    scenario.cluster.advance(5);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.store.listsUnanswered = false;
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a next leader that ends too, before it has read the store. */
  @Test
  void answersRemainValidIfTheNextLeaderEndsToo() {
    giveAnswers();
    scenario.cluster.advance(KNOWN_TO_ALL_S);
    leader.kill();
    scenario.cluster.store.listsUnanswered = true;
    scenario.cluster.advance(5);
    ControllerNode next = scenario.cluster.leader();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.store.listsUnanswered = false;
    next.kill();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a submission that only the killed controller knew. */
  @Test
  void submissionAcceptedJustBeforeAFollowerEndsRemainsKnown() {
    scenario.accept(second, ACCEPTED_BY_FOLLOWER, "array", 1);
    scenario.cluster.time.advance(0.005);
    second.kill();
    scenario.cluster.store.restore(before, true);
    scenario.verifyAllAnswersValid();
  }
}
