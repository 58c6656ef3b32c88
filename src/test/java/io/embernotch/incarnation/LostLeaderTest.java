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
class LostLeaderTest {
  private static final String CANCELLED = "j-1";
  private static final String DONE = "j-2";
  private static final String SERVICE = "j-3";
  private static final String ACCEPTED_BY_LEADER = "j-4";
  private static final String ACCEPTED_BY_FOLLOWER = "j-5";

  /** Seconds within which an answer becomes known to all controllers. */
  private static final double LONG_BEFORE_S = 30;

  private final LossScenario scenario = new LossScenario();
  private final ControllerNode leader = scenario.leader;
  private final ControllerNode first = scenario.cluster.otherNode(leader);
  private final ControllerNode second = scenario.third(leader, first);
  private Snapshot before;

  @BeforeEach
  void jobsRun() {
    scenario.accept(leader, CANCELLED, "array", 2);
    scenario.accept(first, DONE, "array", 2);
    scenario.accept(second, SERVICE, "standing", 2);
    scenario.letTasksStart();
    before = scenario.rememberContents();
    scenario.cluster.advance(2);
  }

  /** Users are told of two accepted jobs, one of them accepted by the leader, and of two ends. */
  private void factsAreTold() {
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.accept(second, ACCEPTED_BY_FOLLOWER, "array", 1);
    scenario.cancel(first, CANCELLED);
    scenario.complete(second, DONE);
  }

  private void leaderEndsAndStoreIsPutBack() {
    leader.kill();
    scenario.cluster.advance(0.2);
    scenario.cluster.store.restore(before, false);
  }

  /** Guards against answers that both survivors have given and then contradict. */
  @Test
  void whatTheSurvivorsToldHolds() {
    factsAreTold();
    scenario.cluster.advance(LONG_BEFORE_S);
    for (ControllerNode survivor : new ControllerNode[] {first, second}) {
      scenario.expectPhase(survivor, CANCELLED, "cancelled");
      scenario.expectPhase(survivor, DONE, "done");
      scenario.expectPhase(survivor, ACCEPTED_BY_LEADER, "running");
    }
    leaderEndsAndStoreIsPutBack();
    scenario.verifyAllToldHolds();
  }

  /** Guards against the loss of answers that only the killed leader has given. */
  @Test
  void whatTheLeaderToldHolds() {
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.cancel(leader, CANCELLED);
    scenario.complete(leader, DONE);
    scenario.cluster.advance(LONG_BEFORE_S);
    leaderEndsAndStoreIsPutBack();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a leader that detects the loss and ends at any step of its restore. */
  @ParameterizedTest
  @ValueSource(doubles = {0.01, 0.05, 0.1, 0.35, 0.4, 0.5, 0.7, 1, 1.3})
  void whatWasToldHoldsThoughTheLeaderEndsAfterTheLoss(double secondsAfter) {
    factsAreTold();
    scenario.cluster.advance(LONG_BEFORE_S);
    scenario.cluster.store.restore(before, true);
    scenario.cluster.time.advance(secondsAfter);
    leader.kill();
    scenario.verifyAllToldHolds();
  }

  /** Guards against the loss of everything in the store, its incarnation included. */
  @Test
  void whatWasToldHoldsThoughNothingIsLeftInTheStore() {
    factsAreTold();
    scenario.cluster.advance(LONG_BEFORE_S);
    leader.kill();
    scenario.cluster.advance(0.2);
    scenario.cluster.store.wipe();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a cancellation that the leader reports before another controller knows it. */
  @Test
  void aCancellationThatTheLeaderToldMillisecondsBeforeItsEndHolds() {
    scenario.cancel(leader, CANCELLED);
    scenario.cluster.time.advance(0.005);
    leader.kill();
    scenario.cluster.store.restore(before, true);
    scenario.verifyAllToldHolds();
  }

  /** Guards against a completion that the leader reports before another controller knows it. */
  @Test
  void aCompletionThatTheLeaderToldMillisecondsBeforeItsEndHolds() {
    scenario.cluster.completeTasks(DONE);
    for (int i = 0; i < 500 && !scenario.cluster.phase(leader.index, DONE).equals("done"); i++) {
      scenario.cluster.time.advance(0.01);
    }
    scenario.expectPhase(leader, DONE, "done");
    scenario.completedAsTold(DONE);
    leader.kill();
    scenario.cluster.store.restore(before, true);
    scenario.verifyAllToldHolds();
  }

  /** Guards against a submission that the leader accepts before another controller knows it. */
  @Test
  void aSubmissionThatTheLeaderAcceptedMillisecondsBeforeItsEndIsNotDenied() {
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.cluster.time.advance(0.005);
    leader.kill();
    scenario.cluster.store.restore(before, true);
    scenario.verifyAllToldHolds();
  }

  /** Guards against survivors that know only what the store held at their start. */
  @Test
  void whatWasToldBeforeBothSurvivorsWereRestartedHolds() {
    factsAreTold();
    scenario.cluster.advance(LONG_BEFORE_S);
    scenario.restart(first);
    scenario.restart(second);
    leaderEndsAndStoreIsPutBack();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a survivor that missed answers while the other controllers were unreachable. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatWasToldWhileASurvivorWasCutOffFromTheOthersHolds(boolean isCutOffUntilAfterTheLoss) {
    first.peersUnreachable = true;
    scenario.cluster.advance(5);
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.cancel(leader, CANCELLED);
    scenario.complete(leader, DONE);
    scenario.cluster.advance(5);
    if (!isCutOffUntilAfterTheLoss) {
      first.peersUnreachable = false;
      scenario.cluster.advance(5);
    }
    leaderEndsAndStoreIsPutBack();
    scenario.cluster.advance(25);
    first.peersUnreachable = false;
    scenario.verifyAllToldHolds();
  }

  /** Guards against a survivor that begins an incarnation without what the other survivor knows. */
  @Test
  void whatOnlyTheSurvivorThatIsCutOffAtTheLossKnowsHolds() {
    factsAreTold();
    scenario.cluster.advance(LONG_BEFORE_S);
    scenario.restart(first);
    scenario.cutOff(second);
    leaderEndsAndStoreIsPutBack();
    scenario.cluster.advance(25);
    scenario.reconnect(second);
    scenario.verifyAllToldHolds();
  }

  /** Guards against a restore by a survivor that missed what the other survivor knows. */
  @ParameterizedTest
  @ValueSource(doubles = {-0.5, 0.001, 0.3, 3})
  void whatOneSurvivorMissedIsTakenFromTheOther(double backAfterTheLossS) {
    scenario.cutOff(first);
    scenario.cluster.advance(5);
    scenario.accept(leader, ACCEPTED_BY_LEADER, "array", 1);
    scenario.accept(second, ACCEPTED_BY_FOLLOWER, "array", 1);
    scenario.cancel(second, CANCELLED);
    scenario.complete(second, DONE);
    scenario.cluster.advance(LONG_BEFORE_S);
    if (backAfterTheLossS < 0) {
      scenario.reconnect(first);
      scenario.cluster.time.advance(-backAfterTheLossS);
    }
    leaderEndsAndStoreIsPutBack();
    if (backAfterTheLossS > 0) {
      scenario.cluster.time.advance(backAfterTheLossS);
      scenario.reconnect(first);
    }
    scenario.verifyAllToldHolds();
  }

  /** Guards against the state of a next leader that never read the store's contents. */
  @Test
  void whatWasToldHoldsThoughTheNextLeaderHasNotReadTheStore() {
    factsAreTold();
    scenario.cluster.advance(LONG_BEFORE_S);
    leader.kill();
    scenario.cluster.store.listsUnanswered = true;
    scenario.cluster.advance(5);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.store.listsUnanswered = false;
    scenario.verifyAllToldHolds();
  }

  /** Guards against a next leader that ends too, before it has read the store. */
  @Test
  void whatWasToldHoldsThoughTheNextLeaderEndsToo() {
    factsAreTold();
    scenario.cluster.advance(LONG_BEFORE_S);
    leader.kill();
    scenario.cluster.store.listsUnanswered = true;
    scenario.cluster.advance(5);
    ControllerNode next = scenario.cluster.leader();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.store.listsUnanswered = false;
    next.kill();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a submission that only the killed controller knew. */
  @Test
  void aSubmissionThatAFollowerAcceptedMillisecondsBeforeItsEndIsNotDenied() {
    scenario.accept(second, ACCEPTED_BY_FOLLOWER, "array", 1);
    scenario.cluster.time.advance(0.005);
    second.kill();
    scenario.cluster.store.restore(before, true);
    scenario.verifyAllToldHolds();
  }
}
