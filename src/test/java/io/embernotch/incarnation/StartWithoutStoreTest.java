package io.embernotch.incarnation;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A process that is started while the store does not answer it cannot read the store. The other
 * controllers send it what they know, so it still knows all answers to users after they have ended.
 */
class StartWithoutStoreTest {
  private static final String CANCELLED = "j-1";
  private static final String DONE = "j-2";
  private static final String ACCEPTED = "j-3";

  /** More changes than the store receives in the rest of a test. */
  private static final int LOST_CHANGES = 1000;

  private final DataLossScenario scenario = new DataLossScenario();
  private final ControllerNode leader = scenario.leader;
  private final ControllerNode first = scenario.cluster.otherNode(leader);
  private final ControllerNode started = scenario.third(leader, first);
  private final Snapshot before = startJobsAndTakeSnapshot();

  private Snapshot startJobsAndTakeSnapshot() {
    scenario.accept(leader, CANCELLED, "array", 2);
    scenario.accept(first, DONE, "array", 2);
    scenario.awaitTasksStarted();
    return scenario.snapshotBeforeAnotherWrite();
  }

  private void giveAnswers() {
    scenario.accept(first, ACCEPTED, "array", 1);
    scenario.cancel(first, CANCELLED);
    scenario.complete(leader, DONE);
  }

  /**
   * @param unresponsive whether the store leaves requests of the process unanswered; otherwise it
   *     refuses them
   */
  private void startWithoutStore(boolean unresponsive) {
    started.kill();
    scenario.cluster.advance(1);
    started.storeUnavailable = true;
    started.storeUnresponsive = unresponsive;
    started.start();
  }

  private void reconnectToStore() {
    started.storeUnavailable = false;
    started.storeUnresponsive = false;
  }

  private void killOthers() {
    leader.kill();
    first.kill();
  }

  /** Guards against a replica that is filled from the store only. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void answersFromBeforeItsStartRemainValid(boolean unresponsive) {
    giveAnswers();
    scenario.cluster.advance(2);
    startWithoutStore(unresponsive);
    scenario.cluster.advance(3);
    killOthers();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    reconnectToStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a replica that drops commits until the store has been read. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void answersFromAfterItsStartRemainValid(boolean unresponsive) {
    startWithoutStore(unresponsive);
    scenario.cluster.advance(3);
    giveAnswers();
    killOthers();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    reconnectToStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a process that is started after the loss and restores without asking others. */
  @ParameterizedTest
  @CsvSource({"0.1,false", "0.1,true", "1,false", "1,true", "6,false", "6,true"})
  void processesStartedAfterTheLossAskForItsState(
      double storeUnresponsiveForS, boolean unresponsive) {
    giveAnswers();
    startWithoutStore(unresponsive);
    scenario.cluster.advance(3);
    killOthers();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(0.1);
    leader.start();
    first.start();
    scenario.cluster.advance(storeUnresponsiveForS);
    reconnectToStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against received state that is not passed on to the next process. */
  @Test
  void itsStateIsPassedOnToTheNextProcessWithoutStore() {
    giveAnswers();
    startWithoutStore(true);
    scenario.cluster.advance(3);
    killOthers();
    first.storeUnavailable = true;
    first.start();
    scenario.cluster.advance(3);
    started.kill();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    first.storeUnavailable = false;
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a process that does not replicate commits to a peer it knows nothing of yet. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void answersOfAProcessStartedLaterRemainValid(boolean unresponsive) {
    startWithoutStore(unresponsive);
    scenario.cluster.advance(3);
    killOthers();
    leader.start();
    ControllerNode next = scenario.cluster.awaitLeader(10);
    scenario.cluster.advance(1);
    scenario.accept(next, ACCEPTED, "array", 1);
    scenario.cancel(next, CANCELLED);
    scenario.cluster.time.advance(0.05);
    next.kill();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    reconnectToStore();
    scenario.verifyAllAnswersValid();
  }

  /**
   * Guards against a store that stops answering after the incarnation was read, before the rest.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.005, 0.015, 0.03, 0.05})
  void answersRemainValidIfTheStoreStopsAnsweringDuringTheRead(double answeringForS) {
    giveAnswers();
    started.kill();
    scenario.cluster.advance(1);
    started.start();
    scenario.cluster.time.advance(answeringForS);
    started.storeUnavailable = true;
    started.storeUnresponsive = true;
    scenario.cluster.advance(3);
    killOthers();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    reconnectToStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a leader that outlives the loss and ends before another controller asks it. */
  @ParameterizedTest
  @ValueSource(doubles = {0.05, 0.3, 0.6, 1})
  void answersRemainValidIfTheLeaderEndsSoonAfterTheLoss(double secondsAfter) {
    giveAnswers();
    startWithoutStore(false);
    first.kill();
    scenario.cluster.advance(2);
    scenario.cluster.store.restore(before, true);
    scenario.cluster.time.advance(secondsAfter);
    leader.kill();
    scenario.cluster.advance(1);
    reconnectToStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a follower that sends nothing to a new process once it detects the loss. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void followerSendsItsStateAfterItDetectedTheLoss(boolean unresponsive) {
    giveAnswers();
    scenario.cluster.advance(3);
    started.kill();
    leader.kill();
    scenario.cluster.store.restore(before, false);
    scenario.expectPhase(first, ACCEPTED, "status 503");
    startWithoutStore(unresponsive);
    scenario.cluster.advance(3);
    first.kill();
    scenario.cluster.advance(1);
    reconnectToStore();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against reported jobs of an incomplete incarnation that are taken for missing in it. */
  @Test
  void reportedJobsOfAnIncompleteIncarnationDoNotCountAsMissing() {
    scenario.cluster.nodes.forEach(ControllerNode::kill);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.nodes.forEach(ControllerNode::start);
    scenario.cluster.advance(40);
    scenario.accept(first, ACCEPTED, "array", 1);
    startWithoutStore(false);
    scenario.cluster.advance(3);
    reconnectToStore();
    scenario.cluster.advance(3);
    assertThat(lossCount(started)).isZero();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a revision of lost contents that is applied to the next incarnation. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void revisionOfLostContentsIsNotExpectedOfTheNextIncarnation(boolean unresponsive) {
    startWithoutStore(unresponsive);
    for (int change = 0; change < LOST_CHANGES; change++) {
      scenario.cluster.store.put("mark", "{}");
    }
    scenario.cluster.advance(4);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.awaitLeader(20);
    reconnectToStore();
    scenario.cluster.advance(5);
    assertThat(lossCount(started)).isZero();
    assertThat(lossCount(scenario.cluster.leader())).isOne();
    scenario.verifyAllAnswersValid();
  }

  private int lossCount(ControllerNode node) {
    return Json.parseObject(scenario.cluster.await(node.controller.overview()).body())
        .get("losses")
        .asInt();
  }
}
