package io.embernotch.incarnation;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A leader that another leader has succeeded is not the last one. The state of its term is out of
 * date, whether or not it knows of its successor, and must not replace answers that users were
 * given since.
 */
class SupersededLeaderTest {
  private static final String CANCELLED_LATER = "j-1";
  private static final String DONE_LATER = "j-2";
  private static final String SERVICE = "j-3";
  private static final String ACCEPTED_LATER = "j-4";
  private static final String GANG = "j-5";

  /** Seconds after which an isolated leader's lease has expired and another controller leads. */
  private static final double SUCCESSION_S = 6;

  private final DataLossScenario scenario = new DataLossScenario();
  private final ControllerNode former = scenario.leader;
  private Snapshot before;
  private ControllerNode successor;
  private ControllerNode follower;

  @BeforeEach
  void startJobs() {
    scenario.accept(former, CANCELLED_LATER, "array", 2);
    scenario.accept(former, DONE_LATER, "array", 2);
    scenario.accept(former, SERVICE, "standing", 2);
    scenario.awaitTasksStarted();
    before = scenario.snapshotBeforeAnotherWrite();
    scenario.cluster.advance(2);
  }

  /** Waits until the former leader's lease has expired and another controller leads. */
  private void awaitSuccessor() {
    scenario.cluster.advance(SUCCESSION_S);
    successor = scenario.cluster.leader();
    follower = scenario.third(former, successor);
  }

  /** Answers that the former leader cannot know: two ends, two accepted jobs, a started gang. */
  private void giveAnswersUnderTheSuccessor() {
    scenario.accept(follower, ACCEPTED_LATER, "array", 1);
    scenario.accept(follower, GANG, "group", 2);
    scenario.cancel(successor, CANCELLED_LATER);
    scenario.complete(follower, DONE_LATER);
    scenario.expectPhase(follower, CANCELLED_LATER, "cancelled");
    scenario.cluster.advance(10);
  }

  private void killSuccessorAndRollBackStore() {
    successor.kill();
    scenario.cluster.advance(0.1);
    scenario.cluster.store.restore(before, false);
  }

  /** Guards against a superseded leader that knows its successor from a peer heartbeat only. */
  @Test
  void stateOfALeaderThatKnowsItsSuccessorFromAPeerOnlyIsNotRestored() {
    former.storeUnavailable = true;
    awaitSuccessor();
    giveAnswersUnderTheSuccessor();
    killSuccessorAndRollBackStore();
    scenario.cluster.advance(0.3);
    former.storeUnavailable = false;
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a superseded leader that reads the store again only after the rollback. */
  @Test
  void stateOfALeaderThatForwardedItsSuccessorsAnswersIsNotRestored() {
    former.storeUnavailable = true;
    awaitSuccessor();
    giveAnswersUnderTheSuccessor();
    scenario.expectPhase(former, CANCELLED_LATER, "cancelled");
    killSuccessorAndRollBackStore();
    former.storeUnavailable = false;
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a superseded leader that does not know of its successor. */
  @Test
  void stateOfALeaderThatDoesNotKnowItsSuccessorIsNotRestored() {
    scenario.isolate(former);
    awaitSuccessor();
    giveAnswersUnderTheSuccessor();
    killSuccessorAndRollBackStore();
    scenario.cluster.advance(0.2);
    scenario.reconnect(former);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a superseded leader whose first answer comes from the rolled-back store. */
  @Test
  void stateOfALeaderResumedBeforeTheLossIsDetectedIsNotRestored() {
    scenario.isolate(former);
    former.storeUnresponsive = true;
    former.workersUnreachable = true;
    awaitSuccessor();
    giveAnswersUnderTheSuccessor();
    successor.kill();
    scenario.cluster.store.restore(before, true);
    scenario.reconnect(former);
    former.workersUnreachable = false;
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a store that returns to newer contents during the restore. */
  @Test
  void endsInContentsThatReappearDuringTheRestoreRemainValid() {
    former.storeUnavailable = true;
    awaitSuccessor();
    giveAnswersUnderTheSuccessor();
    Snapshot newer = scenario.snapshotBeforeAnotherWrite();
    killSuccessorAndRollBackStore();
    former.storeUnavailable = false;
    scenario.cluster.advance(0.4);
    scenario.cluster.store.restore(newer, false);
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a restore of the former leader's state although its successor is live. */
  @Test
  void stateOfTheSuccessorIsRestoredIfBothAreRunning() {
    scenario.isolate(former);
    awaitSuccessor();
    giveAnswersUnderTheSuccessor();
    scenario.cluster.store.restore(before, false);
    scenario.reconnect(former);
    scenario.verifyAllAnswersValid();
  }
}
