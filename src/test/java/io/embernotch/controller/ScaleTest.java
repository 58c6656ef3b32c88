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
  private static final int TASKS_PER_JOB = 200;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 1000);

  private JsonNode clusterOverview() {
    return Json.parseObject(cluster.await(cluster.leader().controller.overview()).body())
        .get("cluster");
  }

  private void runOnAllMachines() {
    cluster.cloud.bootDisabled = false;
    for (int i = 0; i < MACHINES; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    for (int job = 0; job < MACHINES * 8 / TASKS_PER_JOB; job++) {
      assertThat(cluster.submit(job % 3, job("j-" + job, "array", TASKS_PER_JOB)).status())
          .isEqualTo(201);
    }
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-0")).hasSize(TASKS_PER_JOB);
    assertThat(
            cluster.workers.values().stream()
                .mapToInt(worker -> worker.runningTasks().size())
                .sum())
        .isEqualTo(MACHINES * 8);
  }

  @Test
  void unchangedHeartbeatsCauseNoTransactionNoCommandAndNoExtraPlan() {
    runOnAllMachines();
    cluster.advance(10);
    int commits = cluster.store.commitCount;
    int commands = cluster.commandCount();
    int frames = cluster.frameCount();
    long plans = clusterOverview().get("plans").asLong();
    double durationS = 30;
    // 30,000 heartbeats, each reporting eight tasks that continue to run.
    cluster.advance(durationS);
    assertThat(cluster.store.commitCount - commits).isZero();
    assertThat(cluster.commandCount() - commands).isZero();
    // Scheduling runs are periodic: without changes, at most one per third of a heartbeat interval.
    assertThat(clusterOverview().get("plans").asLong() - plans)
        .isLessThanOrEqualTo((long) durationS + 2);
    // Machine views are repeated every fourth straggler round, and peer heartbeats are sent every
    // third of a heartbeat interval.
    long views = (long) Math.ceil(durationS / 20 + 1) * MACHINES;
    assertThat(cluster.frameCount() - frames)
        .isLessThanOrEqualTo((int) views + 6 * (int) (durationS + 2) + 100);
  }

  @Test
  void completionsAreWrittenInBatches() {
    runOnAllMachines();
    cluster.advance(10);
    int commits = cluster.store.commitCount;
    int commands = cluster.commandCount();
    cluster.completeTasks("j-0");
    cluster.advance(10);
    assertThat(cluster.phase(0, "j-0")).isEqualTo("done");
    // 200 completions: the job's end and its further shards are written, with no commit per task.
    assertThat(cluster.store.commitCount - commits).isLessThanOrEqualTo(6);
    assertThat(cluster.commandCount() - commands).isZero();
  }
}
