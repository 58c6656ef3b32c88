package io.embernotch.controller;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/** A thousand machines: what a heartbeat costs is bounded by counting, never by time. */
class ScaleTest {
  private static final int MACHINES = 1000;
  private static final int PER_JOB = 200;

  private final SimulatedCluster world = new SimulatedCluster(3, 1000);

  private JsonNode cluster() {
    return Json.parseObject(world.await(world.leader().controller.overview()).body())
        .get("cluster");
  }

  private void fill() {
    world.cloud.noBoot = false;
    for (int i = 0; i < MACHINES; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(8);
    for (int j = 0; j < MACHINES * 8 / PER_JOB; j++) {
      assertThat(world.submit(j % 3, job("j-" + j, "array", PER_JOB)).status()).isEqualTo(201);
    }
    world.pass(20);
    assertThat(world.running("j-0")).hasSize(PER_JOB);
    assertThat(world.workers.values().stream().mapToInt(w -> w.alive().size()).sum())
        .isEqualTo(MACHINES * 8);
  }

  @Test
  void heartbeatsThatBringNothingNewCostNoTransactionNoCommandAndNoPlanOfTheirOwn() {
    fill();
    world.pass(10);
    int commits = world.state.commits;
    int directs = world.directs;
    int frames = world.frames;
    long plans = cluster().get("plans").asLong();
    double passed = 30;
    // Thirty thousand heartbeats, each of eight tasks that run on.
    world.pass(passed);
    assertThat(world.state.commits - commits).isZero();
    assertThat(world.directs - directs).isZero();
    // Plans go by time: one in each third of a heartbeat interval at most when nothing changes.
    assertThat(cluster().get("plans").asLong() - plans).isLessThanOrEqualTo((long) passed + 2);
    // Views are repeated every fourth round; beats come every third of a heartbeat interval.
    long views = (long) Math.ceil(passed / 20 + 1) * MACHINES;
    assertThat(world.frames - frames)
        .isLessThanOrEqualTo((int) views + 6 * (int) (passed + 2) + 100);
  }

  @Test
  void whatEndsIsWrittenTogether() {
    fill();
    world.pass(10);
    int commits = world.state.commits;
    int directs = world.directs;
    world.finish("j-0");
    world.pass(10);
    assertThat(world.phase(0, "j-0")).isEqualTo("done");
    // Two hundred ends: the job's end, its further shards, and nothing for each task.
    assertThat(world.state.commits - commits).isLessThanOrEqualTo(6);
    assertThat(world.directs - directs).isZero();
  }
}
