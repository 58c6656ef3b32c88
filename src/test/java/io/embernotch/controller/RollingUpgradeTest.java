package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.SimulatedCluster;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Upgrades from the previous version, which has no job dependencies, and a store that lowers its
 * limits. Shards of the previous version are sized for the earlier limits: 85 tasks in 8 KiB.
 */
class RollingUpgradeTest extends ClusterTest {
  private static final int PREVIOUS_VERSION_SHARD_TASKS = 85;

  RollingUpgradeTest() {
    super(SimulatedCluster.withDecreasingStoreLimits());
  }

  /**
   * Stores a job as the previous version writes it.
   *
   * @param progress JSON of the job's progress; null if it has none
   */
  private void putPreviousVersionJob(String ref, int tasks, String progress) {
    cluster.store.put(
        "job/" + ref,
        "{\"at\":900000,\"piece\":"
            + PREVIOUS_VERSION_SHARD_TASKS
            + ",\"job\":"
            + job(ref, "array", tasks)
            + "}");
    if (progress != null) {
      cluster.store.put("run/" + ref, progress);
    }
  }

  private void lowerLimits() {
    cluster.store.lowerLimits(1024, 4, 30);
  }

  /** Such a value must not make each new leader read the store again while all jobs wait. */
  @Test
  void unreadableValueDelaysNoOtherJobAndItsJobStaysKnown() {
    putPreviousVersionJob("j-1", 3, null);
    putPreviousVersionJob("j-2", 3, "{\"next\":\"x\",\"open\":7}");
    cluster.store.put(
        "job/j-3", "{\"at\":900000,\"piece\":85,\"job\":{\"ref\":\"j-3\",\"shards\":\"many\"}}");
    cluster.awaitLeader(4);
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-1")).hasSize(3);
    assertThat(cluster.phase(0, "j-3")).isEqualTo("queued");
    assertThat(cluster.phase(1, "j-2")).isEqualTo("queued");
    // Tasks of it may still run, so it starts again only once all leases for them have expired.
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    cluster.advance(120);
    assertThat(cluster.runningTasks("j-2")).hasSize(3);
    // The watch for new jobs continues after an unreadable value.
    cluster.store.put("job/j-4", "{\"at\":900000,\"piece\":85,\"job\":[]}");
    putPreviousVersionJob("j-5", 2, null);
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-5")).hasSize(2);
  }

  @Test
  void valuesOfThePreviousVersionAreRead() {
    // A job of 40 tasks, of which 0, 1 and 9 are done, and two ended jobs without an end time.
    String doneBits = Base64.getEncoder().encodeToString(new byte[] {3, 2});
    putPreviousVersionJob("j-1", 40, "{\"next\":7,\"done\":\"" + doneBits + "\",\"open\":[]}");
    putPreviousVersionJob("j-2", 3, "{\"next\":2,\"end\":\"done\"}");
    putPreviousVersionJob("j-3", 3, "{\"next\":2,\"end\":\"cancelled\"}");
    cluster.awaitLeader(4);
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-1"))
        .hasSize(37)
        .doesNotContainKeys("j-1/0", "j-1/1", "j-1/9");
    assertThat(cluster.phase(1, "j-2")).isEqualTo("done");
    assertThat(cluster.phase(2, "j-3")).isEqualTo("cancelled");
    // New jobs may depend on these jobs.
    assertThat(cluster.submit(0, dependentJob("j-4", 1, "j-2")).status()).isEqualTo(201);
    assertThat(cluster.submit(0, dependentJob("j-5", 1, "j-3")).status()).isEqualTo(201);
    cluster.advance(6);
    assertThat(cluster.runningTasks("j-4")).hasSize(1);
    assertThat(cluster.phase(0, "j-5")).isEqualTo("cancelled");
  }

  @Test
  void leaderOfThePreviousVersionStopsWhileStartingTasks() {
    String name = cluster.bootMachine("g8", "z1", true);
    cluster.advance(6);
    // Three starts are stored: two whose commands were not sent or did not arrive, and one on a
    // machine that no longer exists.
    putPreviousVersionJob(
        "j-1",
        3,
        "{\"next\":6,\"open\":[[0,5,\""
            + name
            + "\",\"z1\"],[1,5,\""
            + name
            + "\",\"z1\"],[2,5,\"n-999999\",\"z1\"]]}");
    ControllerNode leader = cluster.leader();
    leader.kill();
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-1")).containsOnlyKeys("j-1/0", "j-1/1");
    // The third task starts elsewhere only when the lease of its machine must have expired.
    cluster.advance(45);
    assertThat(cluster.runningTasks("j-1")).hasSize(3);
  }

  /** The previous version's reader fails on any key or value that it cannot read. */
  @Test
  void previousVersionReadsWhatIsWrittenUnderItsLimits() {
    putPreviousVersionJob("j-1", 40, null);
    cluster.awaitLeader(4);
    assertThat(cluster.submit(0, job("j-2", "array", 8)).status()).isEqualTo(201);
    cluster.advance(12);
    cluster.completeTasks("j-2");
    cluster.advance(6);
    assertThat(cluster.store.keys("part/")).isEmpty();
    assertJobsAreReadable();
    assertThat(cluster.store.keys("run/")).containsExactly("run/j-1", "run/j-2");
    assertProgressIsReadable();
    // A large shard of the previous version is not split while it fits the limits.
    assertThat(cluster.store.value("run/j-1").get("open")).hasSize(40);
    assertThat(Json.bytes(cluster.store.value("run/j-1")).length).isGreaterThan(1024);
  }

  private void assertJobsAreReadable() {
    for (String key : cluster.store.keys("job/")) {
      ObjectNode value = cluster.store.value(key);
      assertThat(value.get("at").isIntegralNumber()).isTrue();
      assertThat(value.get("piece").isIntegralNumber()).isTrue();
      assertThat(value.get("job").fieldNames())
          .toIterable()
          .contains(
              "ref",
              "jobclass",
              "owner",
              "shape",
              "rank",
              "shards",
              "cores",
              "cards",
              "mem_gb",
              "bundle",
              "size_gb",
              "one_zone",
              "scatter",
              "loaner",
              "expect_s",
              "snapshot_s",
              "flush_s")
          .doesNotContain("awaits");
    }
  }

  private void assertProgressIsReadable() {
    for (String key : cluster.store.keys("run/")) {
      ObjectNode value = cluster.store.value(key);
      assertThat(value.get("next").isIntegralNumber()).isTrue();
      assertThat(value.path("end").asText("done")).isIn("done", "cancelled");
      for (JsonNode attempt : value.path("open")) {
        assertThat(attempt.get(0).isInt()).isTrue();
        assertThat(attempt.get(1).isIntegralNumber()).isTrue();
        assertThat(attempt.get(2).isTextual() && attempt.get(3).isTextual()).isTrue();
      }
    }
  }

  @Test
  void jobAcceptedUnderLargerLimitsStaysKnown() {
    String large =
        job("j-1", "array", 1)
            .replace("\"img\"", "\"" + "i".repeat(450) + "\"")
            .replace("\"c\"", "\"" + "c".repeat(450) + "\"");
    cluster.store.put(
        "job/j-1",
        "{\"at\":900000,\"piece\":" + PREVIOUS_VERSION_SHARD_TASKS + ",\"job\":" + large + "}");
    cluster.awaitLeader(4);
    lowerLimits();
    for (int node = 0; node < 3; node++) {
      assertThat(cluster.submit(node, large).status()).isEqualTo(200);
      // A new job of that size would exceed the lower limits and is refused at once.
      assertThat(cluster.submit(node, large.replace("j-1", "j-2")).status()).isEqualTo(400);
    }
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-1")).hasSize(1);
  }

  @Test
  void newJobsFitTheLowerLimitsFromTheStart() {
    cluster.awaitLeader(4);
    assertThat(cluster.submit(0, job("j-1", "array", 40)).status()).isEqualTo(201);
    cluster.advance(12);
    lowerLimits();
    cluster.completeTasks("j-1");
    cluster.advance(10);
    assertThat(cluster.phase(0, "j-1")).isEqualTo("done");
    assertThat(cluster.store.malformedCount).isZero();
    assertThat(cluster.store.throttledCount).isZero();
    assertThat(cluster.store.keys("part/")).isEmpty();
  }

  @Test
  void oldShardsAreSplitOnceTheyExceedTheLimits() {
    putPreviousVersionJob("j-1", 48, null);
    cluster.awaitLeader(4);
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-1")).hasSize(48);
    lowerLimits();
    String before = cluster.store.value("run/j-1").toString();
    cluster.runningTasks("j-1").get("j-1/5").exitTask("j-1/5", "done");
    cluster.runningTasks("j-1").get("j-1/20").exitTask("j-1/20", "error");
    cluster.advance(15);
    assertThat(cluster.store.value("run/j-1").toString()).isEqualTo(before);
    assertThat(cluster.store.keys("part/j-1/")).isNotEmpty();
    assertThat(cluster.runningTasks("j-1"))
        .hasSize(47)
        .doesNotContainKey("j-1/5")
        .containsKey("j-1/20");
    // After one refusal, no write of the previous size is attempted again.
    assertThat(cluster.store.malformedCount).isEqualTo(1);
    assertThat(cluster.submit(0, dependentJob("j-2", 2, "j-1")).status()).isEqualTo(201);
    cluster.completeTasks("j-1");
    cluster.advance(12);
    assertThat(cluster.phase(1, "j-1")).isEqualTo("done");
    assertThat(cluster.runningTasks("j-2")).hasSize(2);
    assertThat(cluster.store.malformedCount).isEqualTo(1);
  }

  @Test
  void nextLeaderPrefersNewShardsToOldOnes() {
    putPreviousVersionJob("j-1", 48, null);
    ControllerNode leader = cluster.awaitLeader(4);
    cluster.advance(12);
    lowerLimits();
    cluster.runningTasks("j-1").get("j-1/5").exitTask("j-1/5", "done");
    cluster.runningTasks("j-1").get("j-1/40").exitTask("j-1/40", "done");
    cluster.advance(12);
    leader.kill();
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-1")).hasSize(46).doesNotContainKeys("j-1/5", "j-1/40");
    assertThat(cluster.cancel((leader.index + 1) % 3, "j-1").status()).isEqualTo(200);
    cluster.advance(6);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    assertThat(cluster.store.finalPhase("j-1")).isEqualTo("cancelled");
    ControllerNode secondLeader = cluster.leader();
    // The job's end is in a new shard, which controllers also read to answer from the store.
    assertThat(cluster.store.value("run/j-1").has("end")).isFalse();
    leader.start();
    secondLeader.kill();
    for (ControllerNode node :
        List.of(leader, cluster.nodes.get(3 - leader.index - secondLeader.index))) {
      assertThat(cluster.phase(node.index, "j-1")).isIn("cancelled", "status 503");
    }
    cluster.advance(20);
    assertThat(cluster.phase(leader.index, "j-1")).isEqualTo("cancelled");
  }

  @Test
  void loweringLimitsDuringAnUnknownCommitLosesNothing() {
    putPreviousVersionJob("j-1", 48, null);
    cluster.awaitLeader(4);
    cluster.advance(12);
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.runningTasks("j-1").get("j-1/5").exitTask("j-1/5", "done");
    cluster.runningTasks("j-1").get("j-1/6").exitTask("j-1/6", "error");
    cluster.advance(4);
    lowerLimits();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.advance(8);
    // The large shard is written only now; the smaller shards written before take precedence.
    cluster.store.lowerLimits(8 * 1024, 12, 100);
    cluster.deliverDelayed();
    lowerLimits();
    cluster.advance(4);
    ControllerNode leader = cluster.leader();
    leader.kill();
    cluster.advance(25);
    assertThat(cluster.runningTasks("j-1")).hasSize(47).doesNotContainKey("j-1/5");
    cluster.completeTasks("j-1");
    cluster.advance(10);
    assertThat(cluster.store.finalPhase("j-1")).isEqualTo("done");
  }

  @Test
  void unwritableValueDelaysNoOtherJob() {
    cluster.awaitLeader(4);
    assertThat(cluster.submit(0, job("j-1", "array", 1)).status()).isEqualTo(201);
    cluster.advance(12);
    // Not even one task fits into a value, but completions of other jobs must still be written.
    assertThat(cluster.submit(0, job("j-2", "array", 30)).status()).isEqualTo(201);
    cluster.advance(12);
    cluster.store.lowerLimits(60, 4, 30);
    cluster.runningTasks("j-2").get("j-2/3").exitTask("j-2/3", "error");
    cluster.advance(3);
    cluster.completeTasks("j-1");
    cluster.advance(6);
    assertThat(cluster.store.finalPhase("j-1")).isEqualTo("done");
    cluster.store.lowerLimits(1024, 4, 30);
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-2")).hasSize(30);
  }
}
