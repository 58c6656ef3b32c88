package io.embernotch.jobs;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that no request or store event makes a leader treat a job with unreadable entries as new.
 * The job may have ended, and its end may have been reported to its user; jobs that depend on it
 * wait.
 */
class UnknownEndTest {
  private static final double AFTER_ALL_LEASES_S = 130;
  private static final String UNREADABLE_END = "{\"next\":3,\"end\":\"parked\"}";

  private final SimulatedCluster cluster = new SimulatedCluster(3);

  /** Events by which a leader comes across the id of a job. */
  private enum Trigger {
    DEPENDENCY,
    REPEATED_SUBMISSION,
    POLL,
    ABORT,
    REWRITTEN_SUBMISSION
  }

  private void fire(Trigger trigger) {
    int leader = cluster.leader().index;
    switch (trigger) {
      case DEPENDENCY -> cluster.submit(leader, dependentJob("j-2", 1, "j-1"));
      case REPEATED_SUBMISSION -> cluster.submit(leader, job("j-1", "array", 3));
      case POLL -> cluster.poll(leader, "j-1");
      case ABORT -> cluster.cancel(leader, "j-1");
      case REWRITTEN_SUBMISSION -> putJob("j-1", job("j-1", "array", 3));
    }
    cluster.advance(20);
  }

  private void putJob(String ref, String submission) {
    cluster.store.put("job/" + ref, "{\"at\":900000,\"piece\":85,\"job\":" + submission + "}");
  }

  private void putJobWithUnreadableEnd() {
    putJob("j-1", job("j-1", "array", 3));
    cluster.store.put("run/j-1", UNREADABLE_END);
    cluster.awaitLeader(4);
  }

  private String phase(String ref) {
    return cluster.phase(cluster.leader().index, ref);
  }

  private void changeLeader() {
    cluster.restartAfter(cluster.leader(), 0.5);
    cluster.advance(20);
  }

  /** Guards against adding as new a job of which only the submission can be read. */
  @ParameterizedTest
  @EnumSource(Trigger.class)
  void nothingStartsAJobWhoseEndCannotBeRead(Trigger trigger) {
    putJobWithUnreadableEnd();
    for (int term = 0; term < 2; term++) {
      fire(trigger);
      assertThat(cluster.runningTasks("j-1")).isEmpty();
      assertThat(phase("j-1")).isEqualTo("status 503");
      assertThat(cluster.cancel(cluster.leader().index, "j-1").status()).isEqualTo(503);
      changeLeader();
    }
    cluster.advance(AFTER_ALL_LEASES_S);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    assertThat(cluster.store.value("run/j-1").path("end").asText()).isEqualTo("parked");
  }

  /**
   * Guards against dropping, releasing or cancelling a job while the end of its dependency can't be
   * read.
   */
  @ParameterizedTest
  @CsvSource({"done,running", "cancelled,cancelled"})
  void aDependentJobWaitsUntilTheEndCanBeRead(String end, String phaseAfterwards) {
    putJobWithUnreadableEnd();
    fire(Trigger.DEPENDENCY);
    assertThat(phase("j-2")).isEqualTo("queued");
    changeLeader();
    assertThat(phase("j-2")).isEqualTo("queued");
    cluster.store.put("run/j-1", "{\"next\":3,\"end\":\"" + end + "\",\"at\":900500}");
    changeLeader();
    assertThat(phase("j-1")).isEqualTo(end);
    assertThat(phase("j-2")).isEqualTo(phaseAfterwards);
    assertThat(cluster.violations()).isEmpty();
  }

  /** Guards against rerunning tasks that are done, after a submission was repaired by hand. */
  @Test
  void aRepairedSubmissionIsRestoredWithItsProgressByTheNextLeader() {
    putJob("j-1", "{\"ref\":\"x\"}");
    // Tasks 0 and 1 are done.
    cluster.store.put("run/j-1", "{\"next\":3,\"done\":\"Aw==\"}");
    cluster.awaitLeader(4);
    putJob("j-1", job("j-1", "array", 3));
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
    assertThat(phase("j-1")).isEqualTo("queued");
    changeLeader();
    assertThat(cluster.runningTasks("j-1").keySet()).containsExactly("j-1/2");
  }

  /**
   * Guards against reporting a job as queued that was cancelled with its dependency, after the
   * cancellation may have been reported.
   */
  @ParameterizedTest
  @CsvSource(
      value = {
        "[\"j-0\"];cancelled;cancelled",
        "[\"j-0\"];done;queued",
        "[\"j-0\"];parked;status 503",
        "[7];cancelled;status 503",
        "[\"j-8\"];done;status 503"
      },
      delimiter = ';')
  void aJobWhoseSubmissionCannotBeReadIsReportedAsItsDependenciesProve(
      String dependencies, String end, String expected) {
    putJob("j-0", job("j-0", "array", 1));
    cluster.store.put("run/j-0", "{\"next\":3,\"end\":\"" + end + "\",\"at\":900500}");
    putJob("j-1", "{\"ref\":\"x\",\"awaits\":" + dependencies + "}");
    cluster.awaitLeader(4);
    assertThat(phase("j-1")).isEqualTo(expected);
    changeLeader();
    assertThat(phase("j-1")).isEqualTo(expected);
  }

  /**
   * Guards against reporting a state while the store entry that determines it is unreadable or
   * missing.
   */
  @ParameterizedTest
  @ValueSource(strings = {"j-1", "j-2", "j-3"})
  void aControllerWithoutLeaderReportsNoStateThatDependsOnAnUnreadableEntry(String ref) {
    putJobWithUnreadableEnd();
    putJob("j-2", dependentJob("j-2", 1, "j-1"));
    putJob("j-3", dependentJob("j-3", 1, "j-9"));
    cluster.advance(60);
    int alone = cluster.otherNode(cluster.leader()).index;
    cluster.nodes.stream().filter(node -> node.index != alone).forEach(node -> node.kill());
    assertThat(cluster.phase(alone, ref)).isEqualTo("status 503");
  }
}
