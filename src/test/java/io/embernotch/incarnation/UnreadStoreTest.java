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
class UnreadStoreTest {
  private static final String CANCELLED = "j-1";
  private static final String DONE = "j-2";
  private static final String ACCEPTED = "j-3";

  /** More changes than the store receives in the rest of a test. */
  private static final int CHANGES_THAT_ARE_LOST = 1000;

  private final LossScenario scenario = new LossScenario();
  private final ControllerNode leader = scenario.leader;
  private final ControllerNode first = scenario.cluster.otherNode(leader);
  private final ControllerNode started = scenario.third(leader, first);
  private final Snapshot before = jobsRunBeforeTheLoss();

  private Snapshot jobsRunBeforeTheLoss() {
    scenario.accept(leader, CANCELLED, "array", 2);
    scenario.accept(first, DONE, "array", 2);
    scenario.letTasksStart();
    return scenario.rememberContents();
  }

  private void factsAreTold() {
    scenario.accept(first, ACCEPTED, "array", 1);
    scenario.cancel(first, CANCELLED);
    scenario.complete(leader, DONE);
  }

  /**
   * @param silent whether the store leaves requests of the process unanswered; otherwise it refuses
   *     them
   */
  private void startWithoutStore(boolean silent) {
    started.kill();
    scenario.cluster.advance(1);
    started.storeUnavailable = true;
    started.storeUnresponsive = silent;
    started.start();
  }

  private void storeAnswersAgain() {
    started.storeUnavailable = false;
    started.storeUnresponsive = false;
  }

  private void othersEnd() {
    leader.kill();
    first.kill();
  }

  /** Guards against a replica that is filled from the store only. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatWasToldBeforeItWasStartedHolds(boolean silent) {
    factsAreTold();
    scenario.cluster.advance(2);
    startWithoutStore(silent);
    scenario.cluster.advance(3);
    othersEnd();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    storeAnswersAgain();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a replica that drops commits until the store has been read. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatWasToldAfterItWasStartedHolds(boolean silent) {
    startWithoutStore(silent);
    scenario.cluster.advance(3);
    factsAreTold();
    othersEnd();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    storeAnswersAgain();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a process that is started after the loss and restores without asking others. */
  @ParameterizedTest
  @CsvSource({"0.1,false", "0.1,true", "1,false", "1,true", "6,false", "6,true"})
  void itIsAskedByProcessesThatAreStartedAfterTheLoss(double storeSilentForS, boolean silent) {
    factsAreTold();
    startWithoutStore(silent);
    scenario.cluster.advance(3);
    othersEnd();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(0.1);
    leader.start();
    first.start();
    scenario.cluster.advance(storeSilentForS);
    storeAnswersAgain();
    scenario.verifyAllToldHolds();
  }

  /** Guards against received state that is not passed on to the next process. */
  @Test
  void whatItKnowsReachesTheNextProcessThatTheStoreDoesNotAnswer() {
    factsAreTold();
    startWithoutStore(true);
    scenario.cluster.advance(3);
    othersEnd();
    first.storeUnavailable = true;
    first.start();
    scenario.cluster.advance(3);
    started.kill();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    first.storeUnavailable = false;
    scenario.verifyAllToldHolds();
  }

  /** Guards against a process that does not replicate commits to a peer it knows nothing of yet. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatIsToldByAProcessThatIsStartedLaterHolds(boolean silent) {
    startWithoutStore(silent);
    scenario.cluster.advance(3);
    othersEnd();
    leader.start();
    ControllerNode next = scenario.cluster.awaitLeader(10);
    scenario.cluster.advance(1);
    scenario.accept(next, ACCEPTED, "array", 1);
    scenario.cancel(next, CANCELLED);
    scenario.cluster.time.advance(0.05);
    next.kill();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    storeAnswersAgain();
    scenario.verifyAllToldHolds();
  }

  /**
   * Guards against a store that stops answering after the incarnation was read, before the rest.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.005, 0.015, 0.03, 0.05})
  void whatWasToldHoldsThoughTheStoreFallsSilentWhileItIsRead(double answersForS) {
    factsAreTold();
    started.kill();
    scenario.cluster.advance(1);
    started.start();
    scenario.cluster.time.advance(answersForS);
    started.storeUnavailable = true;
    started.storeUnresponsive = true;
    scenario.cluster.advance(3);
    othersEnd();
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(1);
    storeAnswersAgain();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a leader that outlives the loss and ends before another controller asks it. */
  @ParameterizedTest
  @ValueSource(doubles = {0.05, 0.3, 0.6, 1})
  void whatTheLeaderToldHoldsThoughItEndsSoonAfterTheLoss(double secondsAfter) {
    factsAreTold();
    startWithoutStore(false);
    first.kill();
    scenario.cluster.advance(2);
    scenario.cluster.store.restore(before, true);
    scenario.cluster.time.advance(secondsAfter);
    leader.kill();
    scenario.cluster.advance(1);
    storeAnswersAgain();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a follower that sends nothing to a new process once it detects the loss. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatAFollowerKnowsIsToldAfterItHasNoticedTheLoss(boolean silent) {
    factsAreTold();
    scenario.cluster.advance(3);
    started.kill();
    leader.kill();
    scenario.cluster.store.restore(before, false);
    scenario.expectPhase(first, ACCEPTED, "status 503");
    startWithoutStore(silent);
    scenario.cluster.advance(3);
    first.kill();
    scenario.cluster.advance(1);
    storeAnswersAgain();
    scenario.verifyAllToldHolds();
  }

  /** Guards against reported jobs of an incomplete incarnation that are taken for missing in it. */
  @Test
  void whatWasToldOfAnIncompleteIncarnationIsNotMissedInIt() {
    scenario.cluster.nodes.forEach(ControllerNode::kill);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.nodes.forEach(ControllerNode::start);
    scenario.cluster.advance(40);
    scenario.accept(first, ACCEPTED, "array", 1);
    startWithoutStore(false);
    scenario.cluster.advance(3);
    storeAnswersAgain();
    scenario.cluster.advance(3);
    assertThat(lossesKnownTo(started)).isZero();
    scenario.verifyAllToldHolds();
  }

  /** Guards against a revision of lost contents that is applied to the next incarnation. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aRevisionOfLostContentsIsNotExpectedOfThoseThatFollow(boolean silent) {
    startWithoutStore(silent);
    for (int change = 0; change < CHANGES_THAT_ARE_LOST; change++) {
      scenario.cluster.store.put("mark", "{}");
    }
    scenario.cluster.advance(4);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.awaitLeader(20);
    storeAnswersAgain();
    scenario.cluster.advance(5);
    assertThat(lossesKnownTo(started)).isZero();
    assertThat(lossesKnownTo(scenario.cluster.leader())).isOne();
    scenario.verifyAllToldHolds();
  }

  private int lossesKnownTo(ControllerNode node) {
    return Json.parseObject(scenario.cluster.await(node.controller.overview()).body())
        .get("losses")
        .asInt();
  }
}
