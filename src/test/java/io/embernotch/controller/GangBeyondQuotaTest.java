package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/**
 * A gang of production priority that exceeds what is left of its team's limit, under a new leader.
 *
 * <p>Guards against a failure of every scheduling run: "Leader failed on RunScheduler:
 * java.lang.NullPointerException: Cannot invoke GangAccumulation.aged(Job) because gangAccumulation
 * is null". No job of any team was started any more. A run called that object before it had created
 * it, which a complete run does only after placing production jobs. The first run of a new leader
 * failed for that reason, and so did all later ones.
 */
class GangBeyondQuotaTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3);

  private static String gang(String ref, int tasks) {
    return job(ref, "group", tasks).replace("\"standard\"", "\"production\"");
  }

  @Test
  void otherJobsAreStartedUnderANewLeader() {
    cluster.awaitLeader(4);
    assertThat(cluster.submit(0, job("j-1", "array", 8)).status()).isEqualTo(201);
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    assertThat(cluster.submit(0, gang("j-2", 24)).status()).isEqualTo(201);
    cluster.restartAfter(cluster.leader(), 20);
    cluster.advance(12);
    cluster.submit(cluster.leader().index, job("j-3", "array", 3).replace("\"red\"", "\"blue\""));
    cluster.advance(30);
    assertThat(cluster.runningTasks("j-3")).hasSize(3);
    cluster.completeTasks("j-1");
    cluster.advance(60);
    assertThat(cluster.runningTasks("j-2")).hasSize(24);
  }
}
