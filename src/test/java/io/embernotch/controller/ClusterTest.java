package io.embernotch.controller;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;

/** Base class of tests on a simulated cluster; each test fails if an invariant was violated. */
abstract class ClusterTest {
  final SimulatedCluster cluster;

  ClusterTest(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Submits a job, waits until all of its tasks run, and returns the machine of each task. */
  final Map<String, FakeWorker> runJob(String json, String ref, int tasks) {
    assertThat(cluster.submit(0, json).status()).isEqualTo(201);
    cluster.advance(15);
    assertThat(cluster.runningTasks(ref)).hasSize(tasks);
    return cluster.runningTasks(ref);
  }

  @AfterEach
  final void noInvariantIsViolated() {
    assertThat(cluster.violations()).isEmpty();
  }
}
