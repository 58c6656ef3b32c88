package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/**
 * Bounds the cost of heartbeats from 1000 machines by counting transactions, commands, plans and
 * frames rather than by measuring time.
 */
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
    // 30,000 heartbeats, each reporting eight tasks that continue to run.
    clusterOverview.advance(passed);
    assertThat(clusterOverview.store.commitCount - commits).isZero();
    assertThat(clusterOverview.commandCount() - directs).isZero();
    // Scheduling runs are periodic: without changes, at most one per third of a heartbeat interval.
    assertThat(clusterOverview().get("plans").asLong() - plans)
        .isLessThanOrEqualTo((long) passed + 2);
    // Machine views are repeated every fourth straggler round, and peer heartbeats are sent every
    // third of a heartbeat interval.
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
    // 200 completions: the job's end and its further shards are written, with no commit per task.
    assertThat(clusterOverview.store.commitCount - commits).isLessThanOrEqualTo(6);
    assertThat(clusterOverview.commandCount() - directs).isZero();
  }
}
