package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Every team is at its limit while jobs are cancelled whose machines are partitioned, hang or are
 * unreachable, and the leader changes. What may still run counts, in the former and in the next
 * leader; what waits starts once that is over.
 */
class TeamLimitTest {
  private static final int RED_LIMIT = 24;
  private static final int BLUE_LIMIT = 64;

  private final FaultScenario scenario = new FaultScenario(new SimulatedCluster(3));
  private final SimulatedCluster cluster = scenario.cluster;

  private void submit(String ref, String team, int tasks) {
    String json =
        job(ref, "array", tasks).replace("\"owner\":\"red\"", "\"owner\":\"" + team + "\"");
    assertThat(cluster.submit(ref.charAt(2) % 3, json).status()).isEqualTo(201);
    scenario.answers.accepted.add(ref);
  }

  @ParameterizedTest
  @CsvSource({
    "cut,-2", "cut,1", "cut,12", "hung,-2", "hung,1", "hung,12", "deaf,-2", "deaf,1", "deaf,12"
  })
  void allTeamsAtTheirLimitsWhileJobsAreCancelledAndTheLeaderChanges(
      String how, int leaderEndsAtS) {
    cluster.awaitLeader(3);
    submit("j-1", "red", RED_LIMIT);
    submit("j-2", "blue", BLUE_LIMIT);
    cluster.advance(20);
    submit("j-3", "red", RED_LIMIT);
    submit("j-4", "blue", BLUE_LIMIT);
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-1")).hasSize(RED_LIMIT);
    assertThat(cluster.runningTasks("j-2")).hasSize(BLUE_LIMIT);
    assertThat(cluster.runningTasks("j-3")).isEmpty();
    List<FakeWorker> hit =
        cluster.workers.values().stream().limit(cluster.workers.size() / 2).toList();
    cluster.cloud.down = true;
    hit.forEach(
        w -> {
          w.partitioned = how.equals("cut");
          w.hung = how.equals("hung");
          w.inboundPartitioned = how.equals("deaf");
        });
    ControllerNode leader = cluster.leader();
    cluster.time.after(3 + leaderEndsAtS, leader::kill);
    cluster.time.after(20 + leaderEndsAtS, leader::start);
    cluster.advance(3);
    scenario.cancelUntilConfirmed("j-1", 0, scenario.cancelS());
    scenario.cancelUntilConfirmed("j-2", 1, scenario.cancelS());
    cluster.advance(scenario.leaseS() - 8);
    // Within their leases: what is on them has run on, unless it was stopped.
    hit.forEach(
        w -> {
          w.partitioned = w.inboundPartitioned = false;
          w.resume();
        });
    cluster.cloud.down = false;
    cluster.advance(scenario.cancelS());
    scenario.verifyRecovery();
    assertThat(cluster.phase(0, "j-1")).isEqualTo("cancelled");
    assertThat(cluster.phase(1, "j-2")).isEqualTo("cancelled");
    assertThat(cluster.runningTasks("j-3")).hasSize(RED_LIMIT);
    assertThat(cluster.runningTasks("j-4")).hasSize(BLUE_LIMIT);
  }
}
