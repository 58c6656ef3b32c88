package io.embernotch.incarnation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A data loss is resolved once an incarnation has begun after it. Controllers that still report the
 * loss, because the store does not answer them, must not cause another incarnation.
 */
class DataLossReportsTest {
  private final DataLossScenario scenario = new DataLossScenario();
  private final SimulatedCluster cluster = scenario.cluster;
  private final ControllerNode leader = scenario.leader;
  private final ControllerNode first = cluster.otherNode(leader);
  private final ControllerNode second = scenario.third(leader, first);

  @BeforeEach
  void startJobs() {
    scenario.accept(first, "j-1", "array", 2);
    scenario.accept(leader, "j-2", "standing", 2);
    scenario.awaitTasksStarted();
  }

  private JsonNode overview(ControllerNode node) {
    return Json.parseObject(cluster.await(node.controller.overview()).body());
  }

  private String incarnationOf(ControllerNode node) {
    return overview(node).get("era").asText();
  }

  private void setStoreUnavailableForOthers(boolean unavailable) {
    first.storeUnavailable = unavailable;
    second.storeUnavailable = unavailable;
  }

  /** Checks that the leader has begun an incarnation that the others have not read yet. */
  private String verifyOnlyTheLeaderBeganAnIncarnation(String before) {
    String begun = incarnationOf(leader);
    assertThat(begun).isNotEqualTo(before);
    assertThat(incarnationOf(first)).isEqualTo(before);
    assertThat(overview(first).get("losses").asInt()).isEqualTo(1);
    assertThat(overview(second).get("losses").asInt()).isEqualTo(1);
    return begun;
  }

  private void verifyAllAdopted(String incarnation) {
    for (ControllerNode node : cluster.nodes) {
      JsonNode overview = overview(node);
      assertThat(overview.get("era").asText())
          .as("incarnation of %s", node.index)
          .isEqualTo(incarnation);
      assertThat(overview.get("sound").asBoolean()).as("sound at %s", node.index).isTrue();
      assertThat(overview.get("losses").asInt()).as("losses at %s", node.index).isEqualTo(1);
    }
    assertThat(cluster.leader()).isSameAs(leader);
    scenario.verifyAllAnswersValid();
  }

  /**
   * Guards against two controllers that keep reporting the loss to each other after the restore.
   */
  @Test
  void controllersThatReachTheStoreLateAdoptTheNewIncarnation() {
    String before = incarnationOf(leader);
    cluster.store.wipe();
    setStoreUnavailableForOthers(true);
    cluster.advance(8);
    String begun = verifyOnlyTheLeaderBeganAnIncarnation(before);
    cluster.advance(12);
    setStoreUnavailableForOthers(false);
    cluster.advance(20);
    verifyAllAdopted(begun);
  }

  /** Guards against an isolated controller that reports the loss to one that was reconnected. */
  @Test
  void controllersThatReachTheStoreOneAfterTheOtherAdoptTheNewIncarnation() {
    String before = incarnationOf(leader);
    cluster.store.wipe();
    setStoreUnavailableForOthers(true);
    cluster.advance(8);
    String begun = verifyOnlyTheLeaderBeganAnIncarnation(before);
    first.storeUnavailable = false;
    cluster.advance(15);
    second.storeUnavailable = false;
    cluster.advance(15);
    verifyAllAdopted(begun);
  }

  /**
   * Guards against a leader that receives reports of the loss from two other controllers after it
   * has begun the incarnation while isolated from them.
   */
  @Test
  void leaderThatReceivesALossReportAfterItsRestoreRestoresNothing() {
    String before = incarnationOf(leader);
    leader.peersUnreachable = true;
    cluster.store.wipe();
    scenario.expectPhase(first, "j-1", "status 503");
    setStoreUnavailableForOthers(true);
    cluster.advance(8);
    String begun = verifyOnlyTheLeaderBeganAnIncarnation(before);
    leader.peersUnreachable = false;
    cluster.advance(10);
    assertThat(incarnationOf(leader)).isEqualTo(begun);
    setStoreUnavailableForOthers(false);
    cluster.advance(20);
    verifyAllAdopted(begun);
  }

  /**
   * Guards against the same where the others reach the store again before they reach the leader.
   */
  @Test
  void controllersThatAdoptedTheNewIncarnationIgnoreLossReports() {
    String before = incarnationOf(leader);
    leader.peersUnreachable = true;
    cluster.store.wipe();
    scenario.expectPhase(first, "j-1", "status 503");
    setStoreUnavailableForOthers(true);
    cluster.advance(8);
    String begun = verifyOnlyTheLeaderBeganAnIncarnation(before);
    first.storeUnavailable = false;
    cluster.advance(10);
    second.storeUnavailable = false;
    cluster.advance(10);
    leader.peersUnreachable = false;
    cluster.advance(20);
    verifyAllAdopted(begun);
  }

  /** Guards against reports of the loss that arrive after the restore, from any controller. */
  @Test
  void delayedLossReportsCauseNoRestore() {
    String before = incarnationOf(leader);
    cluster.faults.delayFrames = true;
    cluster.store.wipe();
    scenario.expectPhase(second, "j-1", "status 503");
    setStoreUnavailableForOthers(true);
    cluster.advance(8);
    String begun = incarnationOf(leader);
    assertThat(begun).isNotEqualTo(before);
    cluster.deliverDelayed();
    cluster.faults.delayFrames = false;
    cluster.advance(10);
    assertThat(incarnationOf(leader)).isEqualTo(begun);
    setStoreUnavailableForOthers(false);
    cluster.advance(20);
    assertThat(incarnationOf(leader)).isEqualTo(begun);
    assertThat(overview(leader).get("losses").asInt()).isEqualTo(1);
    scenario.verifyAllAnswersValid();
  }
}
