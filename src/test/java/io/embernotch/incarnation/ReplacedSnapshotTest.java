package io.embernotch.incarnation;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeStore.Snapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/**
 * A process reads the store's incarnation, and then the blocks of its base snapshot. These are two
 * reads, between which the store's contents may be replaced.
 */
class ReplacedSnapshotTest {
  private static final Logger LOGGER =
      (Logger) LoggerFactory.getLogger(StoreIncarnationTracker.class);

  private final DataLossScenario scenario = new DataLossScenario();
  private final ControllerNode started = scenario.cluster.otherNode(scenario.leader);
  private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

  @BeforeEach
  void attachAppender() {
    appender.start();
    LOGGER.addAppender(appender);
  }

  @AfterEach
  void detachAppender() {
    LOGGER.detachAppender(appender);
  }

  private boolean hasLoggedError() {
    return appender.list.stream().anyMatch(event -> event.getLevel() == Level.ERROR);
  }

  /**
   * Begins an incarnation with a base snapshot and kills a process; returns the former contents.
   */
  private Snapshot beginIncarnationWithSnapshot() {
    scenario.accept(scenario.leader, "j-1", "array", 1);
    scenario.cluster.advance(5);
    Snapshot before = scenario.snapshotBeforeAnotherWrite();
    scenario.cluster.store.wipe();
    scenario.cluster.advance(10);
    started.kill();
    scenario.cluster.advance(1);
    return before;
  }

  /** Guards against an error about missing blocks of contents that were replaced meanwhile. */
  @ParameterizedTest
  @ValueSource(doubles = {0.001, 0.002, 0.003, 0.004, 0.005, 0.006, 0.007, 0.008})
  void contentsReplacedBetweenTheReadsAreNotLoggedAsDamaged(double replacedAfterS) {
    Snapshot before = beginIncarnationWithSnapshot();
    started.start();
    scenario.cluster.time.advance(replacedAfterS);
    scenario.cluster.store.restore(before, false);
    scenario.cluster.advance(5);
    assertThat(hasLoggedError()).isFalse();
    scenario.verifyAllAnswersValid();
  }

  /** Guards against damage that is not logged. */
  @Test
  void missingBlocksAreLoggedAsError() {
    beginIncarnationWithSnapshot();
    scenario.cluster.store.deletePrefix("block/");
    started.start();
    scenario.cluster.advance(5);
    assertThat(hasLoggedError()).isTrue();
  }
}
