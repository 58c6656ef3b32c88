package io.embernotch.incarnation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Several controllers restore the store concurrently: exactly one of them begins an incarnation,
 * and the others adopt it. Epochs increase from each leader to the next.
 */
class ConcurrentRestoreTest {
  private static final double STEP_S = 0.002;
  private static final double OBSERVED_S = 30;

  private final DataLossScenario scenario = new DataLossScenario();
  private final SimulatedCluster cluster = scenario.cluster;
  private final ControllerNode leader = scenario.leader;
  private final ControllerNode first = cluster.otherNode(leader);
  private final ControllerNode second = scenario.third(leader, first);
  private final Set<String> incarnations = new LinkedHashSet<>();
  private final List<Long> epochs = new ArrayList<>();
  private Snapshot before;

  @BeforeEach
  void startJobs() {
    scenario.accept(first, "j-1", "array", 2);
    scenario.accept(leader, "j-2", "standing", 2);
    scenario.awaitTasksStarted();
    before = scenario.snapshotBeforeAnotherWrite();
    cluster.advance(5);
  }

  /** Records every incarnation and every leader's epoch that appear in the store. */
  private void observe(double seconds) {
    for (double leftS = seconds; leftS > 0; leftS -= STEP_S) {
      cluster.time.advance(STEP_S);
      ObjectNode pointer = cluster.store.value(IncarnationCodec.POINTER);
      ObjectNode key = cluster.store.value(JobProgressCodec.LEADER);
      if (pointer != null) {
        incarnations.add(pointer.toString());
      }
      if (key != null) {
        long epoch =
            key.path("floor").asLong() + cluster.store.modRevision(JobProgressCodec.LEADER);
        if (epochs.isEmpty() || epochs.get(epochs.size() - 1) != epoch) {
          epochs.add(epoch);
        }
      }
    }
  }

  /** Makes a controller detect the data loss itself, by reads of the store. */
  private void detectLoss(ControllerNode node) {
    cluster.pollAsync(node.index, "j-1");
    cluster.pollAsync(node.index, "j-9");
  }

  private void verifyOneIncarnationBegan() {
    observe(OBSERVED_S);
    assertThat(incarnations).as("the former incarnation and one new one").hasSize(2);
    assertThat(epochs).isSorted();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against a claim that replaces an incarnation that has just begun. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.002, 0.004, 0.006, 0.008, 0.01, 0.012, 0.014, 0.016, 0.02, 0.05})
  void onlyOneOfTwoSurvivorsBeginsAnIncarnation(double laterS) {
    leader.kill();
    cluster.store.restore(before, false);
    first.peersUnreachable = true;
    observe(STEP_S);
    detectLoss(first);
    observe(laterS);
    detectLoss(second);
    observe(OBSERVED_S);
    first.peersUnreachable = false;
    verifyOneIncarnationBegan();
  }

  /** Guards against the same with a third controller that is started after the loss. */
  @ParameterizedTest
  @ValueSource(doubles = {0.001, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5})
  void onlyOneIncarnationBeginsIfAProcessIsStartedAfterTheLoss(double startedAfterS) {
    leader.kill();
    cluster.store.restore(before, false);
    observe(startedAfterS);
    leader.start();
    detectLoss(first);
    detectLoss(second);
    verifyOneIncarnationBegan();
  }

  /** Guards against a restore by the others that coincides with the leader's own. */
  @ParameterizedTest
  @ValueSource(doubles = {9.8, 9.9, 9.95, 10, 10.01, 10.02, 10.03, 10.05, 10.1, 10.3})
  void delayedLeaderDoesNotReplaceTheOthersIncarnation(double lateS) {
    leader.storeUnavailable = true;
    cluster.store.restore(before, false);
    observe(STEP_S);
    detectLoss(first);
    detectLoss(second);
    observe(lateS);
    leader.storeUnavailable = false;
    verifyOneIncarnationBegan();
  }
}
