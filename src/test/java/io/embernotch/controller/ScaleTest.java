package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/** A thousand machines: what a heartbeat costs is bounded by counting, never by time. */
class ScaleTest {
  private static final int MACHINES = 1000;
  private static final int PER_JOB = 200;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 1000);

  private JsonNode cluster() {
    return Json.parseObject(cluster.await(cluster.leader().controller.overview()).body())
        .get("cluster");
  }

  private void fill() {
    cluster.cloud.bootDisabled = false;
    for (int i = 0; i < MACHINES; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    for (int j = 0; j < MACHINES * 8 / PER_JOB; j++) {
      assertThat(cluster.submit(j % 3, job("j-" + j, "array", PER_JOB)).status()).isEqualTo(201);
    }
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-0")).hasSize(PER_JOB);
    assertThat(cluster.workers.values().stream().mapToInt(w -> w.runningTasks().size()).sum())
        .isEqualTo(MACHINES * 8);
  }

  @Test
  void heartbeatsThatBringNothingNewCostNoTransactionNoCommandAndNoPlanOfTheirOwn() {
    fill();
    cluster.advance(10);
    int commits = cluster.store.commitCount;
    int directs = cluster.commandCount();
    int frames = cluster.frameCount();
    long plans = cluster().get("plans").asLong();
    double passed = 30;
    // Thirty thousand heartbeats, each of eight tasks that run on.
    cluster.advance(passed);
    assertThat(cluster.store.commitCount - commits).isZero();
    assertThat(cluster.commandCount() - directs).isZero();
    // Plans go by time: one in each third of a heartbeat interval at most when nothing changes.
    assertThat(cluster().get("plans").asLong() - plans).isLessThanOrEqualTo((long) passed + 2);
    // Views are repeated every fourth round; beats come every third of a heartbeat interval.
    long views = (long) Math.ceil(passed / 20 + 1) * MACHINES;
    assertThat(cluster.frameCount() - frames)
        .isLessThanOrEqualTo((int) views + 6 * (int) (passed + 2) + 100);
  }

  @Test
  void whatEndsIsWrittenTogether() {
    fill();
    cluster.advance(10);
    int commits = cluster.store.commitCount;
    int directs = cluster.commandCount();
    cluster.completeTasks("j-0");
    cluster.advance(10);
    assertThat(cluster.phase(0, "j-0")).isEqualTo("done");
    // Two hundred ends: the job's end, its further shards, and nothing for each task.
    assertThat(cluster.store.commitCount - commits).isLessThanOrEqualTo(6);
    assertThat(cluster.commandCount() - directs).isZero();
  }
}
