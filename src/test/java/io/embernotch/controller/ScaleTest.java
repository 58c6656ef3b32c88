package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/** A thousand machines: the cost of a heartbeat is bounded in counts, never in time. */
class ScaleTest {
  private static final int MACHINES = 1000;
  private static final int PER_JOB = 200;

  private final SimulatedCluster clusterOverview = new SimulatedCluster(3, 1000);

  private JsonNode clusterOverview() {
    return Json.parseObject(
            clusterOverview.await(clusterOverview.leader().controller.overview()).body())
        .get("cluster");
  }

  private void runOnAllMachines() {
    clusterOverview.cloud.bootDisabled = false;
    for (int i = 0; i < MACHINES; i++) {
      clusterOverview.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    clusterOverview.advance(8);
    for (int job = 0; job < MACHINES * 8 / PER_JOB; job++) {
      assertThat(clusterOverview.submit(job % 3, job("j-" + job, "array", PER_JOB)).status())
          .isEqualTo(201);
    }
    clusterOverview.advance(20);
    assertThat(clusterOverview.runningTasks("j-0")).hasSize(PER_JOB);
    assertThat(
            clusterOverview.workers.values().stream()
                .mapToInt(worker -> worker.runningTasks().size())
                .sum())
        .isEqualTo(MACHINES * 8);
  }

  @Test
  void unchangedHeartbeatsCostNoTransactionNoCommandAndNoPlan() {
    runOnAllMachines();
    clusterOverview.advance(10);
    int commits = clusterOverview.store.commitCount;
    int directs = clusterOverview.commandCount();
    int frames = clusterOverview.frameCount();
    long plans = clusterOverview().get("plans").asLong();
    double passed = 30;
    // Thirty thousand heartbeats, each of eight tasks that keep running.
    clusterOverview.advance(passed);
    assertThat(clusterOverview.store.commitCount - commits).isZero();
    assertThat(clusterOverview.commandCount() - directs).isZero();
    // Plans go by time: one in each third of a heartbeat interval at most when nothing changes.
    assertThat(clusterOverview().get("plans").asLong() - plans)
        .isLessThanOrEqualTo((long) passed + 2);
    // Views are repeated every fourth round; peer heartbeats come every third of a heartbeat
    // interval.
    long views = (long) Math.ceil(passed / 20 + 1) * MACHINES;
    assertThat(clusterOverview.frameCount() - frames)
        .isLessThanOrEqualTo((int) views + 6 * (int) (passed + 2) + 100);
  }

  @Test
  void completionsAreWrittenInBatches() {
    runOnAllMachines();
    clusterOverview.advance(10);
    int commits = clusterOverview.store.commitCount;
    int directs = clusterOverview.commandCount();
    clusterOverview.completeTasks("j-0");
    clusterOverview.advance(10);
    assertThat(clusterOverview.phase(0, "j-0")).isEqualTo("done");
    // Two hundred ends: the job's end, its further shards, and no commit for each task.
    assertThat(clusterOverview.store.commitCount - commits).isLessThanOrEqualTo(6);
    assertThat(clusterOverview.commandCount() - directs).isZero();
  }
}
