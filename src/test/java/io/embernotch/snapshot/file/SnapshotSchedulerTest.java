package io.embernotch.snapshot.file;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestContexts;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Snapshots continue after one that failed in any way. Guards against an unchecked exception during
 * a write that leaves the write marked as running, so that this leader takes no further snapshots.
 */
class SnapshotSchedulerTest {
  private static final double EVERY_S = 10;

  @TempDir private Path dir;

  private final FakeTime time = new FakeTime();

  private SnapshotScheduler scheduler(Executor blockingExecutor) {
    return new SnapshotScheduler(
        TestContexts.withBlocking(
            SettingsReader.parse(SimulatedCluster.settingsToml(0)),
            OperatorSettings.parse(
                "snapshots { directory: '" + dir + "' every_s: " + EVERY_S + " }"),
            time,
            blockingExecutor));
  }

  private int writtenSnapshots() throws IOException {
    return new SnapshotDirectory(dir, 10).list().size();
  }

  private void tickFor(SnapshotScheduler scheduler, String incarnation, double seconds) {
    for (double at = 0; at < seconds; at++) {
      time.advance(1);
      scheduler.tick(incarnation, ClusterSnapshot::getDefaultInstance);
    }
  }

  @Test
  void snapshotsContinueAfterUncheckedWriteFailure() throws Exception {
    SnapshotScheduler scheduler = scheduler(Runnable::run);
    tickFor(scheduler, null, EVERY_S + 1);
    assertThat(writtenSnapshots()).isZero();
    tickFor(scheduler, "c0-7", 3 * EVERY_S);
    assertThat(writtenSnapshots()).isPositive();
  }

  @Test
  void snapshotsContinueAfterRejectedTask() throws Exception {
    boolean[] executorFull = {true};
    SnapshotScheduler scheduler =
        scheduler(
            task -> {
              if (executorFull[0]) {
                throw new RejectedExecutionException("full");
              }
              task.run();
            });
    tickFor(scheduler, "c0-7", EVERY_S + 1);
    executorFull[0] = false;
    tickFor(scheduler, "c0-7", 3 * EVERY_S);
    assertThat(writtenSnapshots()).isPositive();
  }

  /** Guards against retrying a failing disk at every interval. */
  @Test
  void failedWritesAreRetriedWithBackoff() {
    int[] attempts = {0};
    SnapshotScheduler scheduler =
        scheduler(
            task -> {
              attempts[0]++;
              task.run();
            });
    tickFor(scheduler, null, 20 * EVERY_S);
    assertThat(attempts[0]).isBetween(4, 10);
  }
}
