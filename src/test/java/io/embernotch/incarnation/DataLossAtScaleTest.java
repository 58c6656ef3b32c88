package io.embernotch.incarnation;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeStore.Snapshot;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three controllers and 300 machines full of live services when the store loses its data. */
class DataLossAtScaleTest {
  private static final int MACHINES = 300;
  private static final int TASKS_PER_JOB = 8;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 200);

  @BeforeEach
  void startServicesOnAllMachines() {
    cluster.awaitLeader(3);
    for (int i = 0; i < MACHINES; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(cluster.cloud.bootS + 2);
    int index = 0;
    for (var worker : cluster.workers.values()) {
      worker.controllerIndex = index++ % 3;
    }
    for (int i = 0; i < MACHINES; i++) {
      cluster.submit(
          i % 3,
          job("j-1" + i, "standing", TASKS_PER_JOB).replace("\"standard\"", "\"production\""));
    }
    cluster.advance(15);
    assertThat(runningTaskCount()).isEqualTo(MACHINES * TASKS_PER_JOB);
  }

  private int runningTaskCount() {
    return cluster.workers.values().stream().mapToInt(w -> w.runningTasks().size()).sum();
  }

  /**
   * Checks that a service that is submitted after the loss runs within seconds, and that nothing
   * else has changed.
   */
  private void verifyServiceResumes() {
    cluster.bootMachine("g8", "z1", true);
    double lostAt = cluster.time.now();
    // 200 if the first attempt was written to the rolled-back store without an answer.
    while (cluster
                .submit(1, job("j-20", "standing", 1).replace("\"standard\"", "\"production\""))
                .status()
            / 100
        != 2) {
      cluster.advance(0.1);
      assertThat(cluster.time.now() - lostAt).as("submissions are accepted again").isLessThan(5);
    }
    cluster.advance(cluster.cloud.bootS + 3);
    assertThat(cluster.runningTasks("j-20")).hasSize(1);
    assertThat(runningTaskCount()).isEqualTo(MACHINES * TASKS_PER_JOB + 1);
    assertThat(cluster.workers.values()).allSatisfy(w -> assertThat(w.epoch).isEqualTo(1));
    assertThat(cluster.violations()).isEmpty();
    // Packed into blocks, 300 jobs with their tasks take a few changes; as keys they take 600.
    assertThat(cluster.store.keys("block/")).hasSizeLessThan(20);
  }

  @Test
  void allDataLost() {
    cluster.store.wipe();
    verifyServiceResumes();
  }

  @Test
  void rolledBackToBeforeJobsEndedAndOthersStarted() {
    Snapshot earlier = cluster.store.snapshot();
    for (int i = 0; i < 20; i++) {
      assertThat(cluster.cancel(i % 3, "j-1" + i).status()).isEqualTo(200);
    }
    cluster.advance(10);
    assertThat(runningTaskCount()).isEqualTo((MACHINES - 20) * TASKS_PER_JOB);
    for (int i = 0; i < 20; i++) {
      assertThat(cluster.submit(i % 3, job("j-3" + i, "standing", TASKS_PER_JOB)).status())
          .isEqualTo(201);
    }
    cluster.advance(10);
    cluster.store.restore(earlier, false);
    verifyServiceResumes();
    for (int i = 0; i < 20; i++) {
      assertThat(cluster.phase(i % 3, "j-1" + i)).isEqualTo("cancelled");
      assertThat(cluster.phase(i % 3, "j-3" + i)).isEqualTo("running");
    }
  }
}
