package io.embernotch.jobs;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.SimulatedCluster;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests store entries that a new leader can't read, in whole or in part. All other jobs are served,
 * and what is unknown is not taken for absent.
 *
 * <p>Guards against a load that fails because of one entry. With a key {@code part/j-9} in the
 * store, this and every later leader logged "reading the store failed: Index 1 out of bounds for
 * length 1" ten times per heartbeat interval and never served a job.
 *
 * <p>The reader skipped unreadable values but not unreadable keys of refined shards, so the first
 * such key failed the whole load, which was then retried. It also took unreadable entries for
 * absent: a job that had ended was reported as queued, tasks that may still run did not count
 * towards their team's limit, and a request to cancel such a job was never answered.
 */
class UnreadableEntriesTest {
  private static final double AFTER_ALL_LEASES_S = 130;

  /** Empty, truncated, and with field types that no version writes. */
  private static final List<String> MALFORMED_VALUES =
      List.of(
          "{}",
          "{\"next\":3,\"open\":[[0]]}",
          "{\"done\":\"%\",\"open\":7,\"gen\":\"x\",\"releases\":3}");

  private final SimulatedCluster cluster = new SimulatedCluster(3);

  private void putJob(String ref, int tasks) {
    cluster.store.put(
        "job/" + ref, "{\"at\":900000,\"piece\":85,\"job\":" + job(ref, "array", tasks) + "}");
  }

  private void putUnreadableJob(String ref) {
    cluster.store.put("job/" + ref, "{\"at\":900000,\"piece\":85,\"job\":{\"ref\":\"x\"}}");
  }

  private HttpResponse poll(String ref) {
    return cluster.poll(cluster.leader().index, ref);
  }

  private String overview() {
    return new String(
        cluster.await(cluster.leader().controller.overview()).body(), StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "part/",
        "part/j-1",
        "part/j-1/4",
        "part/j-1/x/0",
        "part/j-1/0/0",
        "part/j-1/4/-1",
        "part/j-1/4/0/0",
        "part/j-1/2147483647/2147483647",
        "part//4/0",
        "run/",
        "run/j-1/x",
        "run/j-1/-1",
        "run/j-1/2147483647",
        "job/",
        "shared/",
        "shared/calendar",
        "shared/release/r/x",
        "shared/reserve",
        "shared/x"
      })
  void noUnreadableEntryKeepsALeaderFromServingOtherJobs(String key) {
    for (String value : MALFORMED_VALUES) {
      cluster.store.put(key, value);
      putJob("j-1", 3);
      putJob("j-2", 3);
      cluster.awaitLeader(6);
      cluster.advance(15);
      assertThat(cluster.runningTasks("j-2")).as(value).hasSize(3);
      cluster.restartAfter(cluster.leader(), 0.5);
      cluster.advance(AFTER_ALL_LEASES_S);
      assertThat(cluster.runningTasks("j-1")).as(value).hasSize(3);
      assertThat(cluster.runningTasks("j-2")).as(value).hasSize(3);
    }
    assertThat(cluster.violations()).isEmpty();
  }

  /**
   * The job's tasks may run without any controller knowing of them, until every worker lease
   * renewed for them must have expired.
   */
  @Test
  void aJobWithAnUnreadableRefinedShardWaitsUntilNoTaskCanRun() {
    putJob("j-1", 3);
    cluster.store.put("part/j-1/4/0", "{\"next\":\"x\",\"open\":7}");
    cluster.awaitLeader(4);
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    assertThat(cluster.phase(0, "j-1")).isEqualTo("queued");
    assertThat(overview()).contains("part/j-1/4/0");
    cluster.advance(AFTER_ALL_LEASES_S);
    assertThat(cluster.runningTasks("j-1")).hasSize(3);
  }

  /**
   * Tasks that may run without any controller knowing of them also count towards their team's limit
   * of 24 GPUs.
   */
  @Test
  void tasksThatMayRunCountForTheirTeamsLimit() {
    putJob("j-1", 20);
    cluster.store.put("run/j-1", "{\"next\":\"x\",\"open\":7}");
    putJob("j-2", 8);
    cluster.awaitLeader(4);
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
    cluster.advance(AFTER_ALL_LEASES_S);
    assertThat(cluster.runningTasks("j-1").size() + cluster.runningTasks("j-2").size())
        .isEqualTo(24);
  }

  @ParameterizedTest
  @ValueSource(strings = {"done", "cancelled"})
  void aReadableEndIsReportedThoughTheRestCannotBeRead(String end) {
    putUnreadableJob("j-1");
    cluster.store.put("run/j-1", "{\"next\":3,\"end\":\"" + end + "\",\"at\":900500}");
    putJob("j-2", 3);
    cluster.store.put("run/j-2", "{\"next\":\"x\",\"end\":\"" + end + "\",\"at\":900500}");
    cluster.awaitLeader(4);
    cluster.advance(15);
    for (String ref : new String[] {"j-1", "j-2"}) {
      assertThat(cluster.phase(0, ref)).isEqualTo(end);
    }
    cluster.advance(AFTER_ALL_LEASES_S);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
  }

  /**
   * It is not known whether the job has ended, so any answer other than 503 might contradict an
   * earlier one, and starting the job might run it twice. The stored entry stays unchanged.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {"{}", "{\"next\":3,\"end\":\"parked\"}", "{\"next\":3,\"end\":{}}", "{\"x\":1}"})
  void aJobWhoseEndCannotBeReadIsNeitherRunNorReported(String value) {
    putJob("j-1", 3);
    putUnreadableJob("j-2");
    cluster.store.put("run/j-1", value);
    cluster.store.put("run/j-2", value);
    cluster.awaitLeader(4);
    cluster.advance(AFTER_ALL_LEASES_S);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    for (String ref : new String[] {"j-1", "j-2"}) {
      assertThat(poll(ref).status()).isEqualTo(503);
      assertThat(cluster.cancel(cluster.leader().index, ref).status()).isEqualTo(503);
      assertThat(cluster.store.value("run/" + ref))
          .isEqualTo(Json.parseObject(value.getBytes(StandardCharsets.UTF_8)));
    }
    assertThat(overview()).contains("run/j-1");
  }

  /**
   * Guards against treating a job with an unreadable end as new. When another job named it as a
   * dependency, the leader looked it up as an unknown job, found its submission, started it and
   * reported it as queued. It may have been reported as done before.
   */
  @Test
  void aDependentJobDoesNotRestartAJobWhoseEndCannotBeRead() {
    putJob("j-1", 3);
    cluster.store.put("run/j-1", "{\"next\":3,\"end\":\"parked\"}");
    cluster.awaitLeader(4);
    cluster.submit(cluster.leader().index, dependentJob("j-2", 1, "j-1"));
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    assertThat(poll("j-1").status()).isEqualTo(503);
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void aRequestToCancelAJobThatCannotBeReadIsAnswered(boolean beforeLeaderElection) {
    if (beforeLeaderElection) {
      putUnreadableJob("j-1");
    }
    cluster.awaitLeader(4);
    putUnreadableJob("j-1");
    cluster.advance(5);
    assertThat(cluster.cancel(cluster.leader().index, "j-1").status()).isEqualTo(503);
    assertThat(cluster.phase(0, "j-1")).isEqualTo("queued");
  }

  /** A submission without a shard size is unreadable too, and must not end the watch. */
  @Test
  void aSubmissionWithoutShardSizeDoesNotEndTheWatch() {
    cluster.awaitLeader(4);
    cluster.store.put("job/j-1", "{\"at\":900000,\"job\":" + job("j-1", "array", 3) + "}");
    cluster.advance(4);
    putJob("j-2", 3);
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-2")).hasSize(3);
  }
}
