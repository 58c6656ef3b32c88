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

  private final LossScenario scenario = new LossScenario();
  private final ControllerNode former = scenario.leader;
  private Snapshot before;
  private ControllerNode successor;
  private ControllerNode witness;

  @BeforeEach
  void jobsRun() {
    scenario.accept(former, CANCELLED_LATER, "array", 2);
    scenario.accept(former, DONE_LATER, "array", 2);
    scenario.accept(former, SERVICE, "standing", 2);
    scenario.letTasksStart();
    before = scenario.rememberContents();
    scenario.cluster.advance(2);
  }

  /** Waits until the former leader's lease has expired and another controller leads. */
  private void anotherSucceeds() {
    scenario.cluster.advance(SUCCESSION_S);
    successor = scenario.cluster.leader();
    witness = scenario.third(former, successor);
  }

  /** Answers that the former leader cannot know: two ends, two accepted jobs, a started gang. */
  private void factsAreToldUnderTheSuccessor() {
    scenario.accept(witness, ACCEPTED_LATER, "array", 1);
    scenario.accept(witness, GANG, "group", 2);
    scenario.cancel(successor, CANCELLED_LATER);
    scenario.complete(witness, DONE_LATER);
    scenario.expectPhase(witness, CANCELLED_LATER, "cancelled");
    scenario.cluster.advance(10);
  }

  private void successorEndsAndStoreIsPutBack() {
    successor.kill();
    scenario.cluster.advance(0.1);
    scenario.cluster.store.restore(before, false);
  }

  /** Guards against a superseded leader that knows its successor from a peer heartbeat only. */
  @Test
  void aLeaderThatHeardOfItsSuccessorFromAPeerOnlyIsNotRestored() {
    former.storeUnavailable = true;
    anotherSucceeds();
    factsAreToldUnderTheSuccessor();
    successorEndsAndStoreIsPutBack();
    scenario.cluster.advance(0.3);
    former.storeUnavailable = false;
    scenario.verifyAllToldHolds();
  }

  /** Guards against a superseded leader that reads the store again only after the rollback. */
  @Test
  void aLeaderThatPassedOnItsSuccessorsAnswersIsNotRestored() {
    former.storeUnavailable = true;
    anotherSucceeds();
    factsAreToldUnderTheSuccessor();
    scenario.expectPhase(former, CANCELLED_LATER, "cancelled");
    successorEndsAndStoreIsPutBack();
    former.storeUnavailable = false;
    scenario.verifyAllToldHolds();
  }

  /** Guards against a superseded leader that does not know of its successor. */
  @Test
  void aLeaderThatNeverHeardOfItsSuccessorIsNotRestored() {
    scenario.cutOff(former);
    anotherSucceeds();
    factsAreToldUnderTheSuccessor();
    successorEndsAndStoreIsPutBack();
    scenario.cluster.advance(0.2);
    scenario.reconnect(former);
    scenario.verifyAllToldHolds();
  }

  /** Guards against a superseded leader whose first answer comes from the rolled-back store. */
  @Test
  void aPausedLeaderThatWakesBeforeTheLossIsNoticedIsNotRestored() {
    scenario.cutOff(former);
    former.storeUnresponsive = true;
    former.workersUnreachable = true;
    anotherSucceeds();
    factsAreToldUnderTheSuccessor();
    successor.kill();
    scenario.cluster.store.restore(before, true);
    scenario.reconnect(former);
    former.workersUnreachable = false;
    scenario.verifyAllToldHolds();
  }

  /** Guards against a store that returns to newer contents during the restore. */
  @Test
  void endsInContentsThatComeBackDuringTheRestoreAreNotTakenBack() {
    former.storeUnavailable = true;
    anotherSucceeds();
    factsAreToldUnderTheSuccessor();
    Snapshot newer = scenario.rememberContents();
    successorEndsAndStoreIsPutBack();
    former.storeUnavailable = false;
    scenario.cluster.advance(0.4);
    scenario.cluster.store.restore(newer, false);
    scenario.verifyAllToldHolds();
  }

  /** Guards against a restore of the former leader's state although its successor is live. */
  @Test
  void theSuccessorIsRestoredWhereBothAreUp() {
    scenario.cutOff(former);
    anotherSucceeds();
    factsAreToldUnderTheSuccessor();
    scenario.cluster.store.restore(before, false);
    scenario.reconnect(former);
    scenario.verifyAllToldHolds();
  }
}
