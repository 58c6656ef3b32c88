package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.ofTeam;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Every team is at its quota while jobs are cancelled whose machines are partitioned or hang, and
 * the leader changes. What may still run counts, in the former and in the next leader; what waits
 * starts once that is over.
 */
class TeamLimitTest {
  private static final int RED_QUOTA = 24;
  private static final int BLUE_QUOTA = 64;

  private final FaultScenario scenario = new FaultScenario(new SimulatedCluster(3));
  private final SimulatedCluster cluster = scenario.cluster;

  private void submit(String ref, String team, int tasks) {
    scenario.submitAccepted(ref.charAt(2) % 3, ref, ofTeam(job(ref, "array", tasks), team));
  }

  @ParameterizedTest
  @CsvSource({
    "PARTITIONED,-2",
    "PARTITIONED,1",
    "PARTITIONED,12",
    "HUNG,-2",
    "HUNG,1",
    "HUNG,12",
    "INBOUND_PARTITIONED,-2",
    "INBOUND_PARTITIONED,1",
    "INBOUND_PARTITIONED,12"
  })
  void quotaHoldsWhileJobsAreCancelledOnUnreachableMachinesDuringFailover(
      MachineFault fault, int leaderEndsAtS) {
    fillQuotas();
    List<FakeWorker> unreachable =
        cluster.workers.values().stream().limit(cluster.workers.size() / 2).toList();
    cluster.cloud.down = true;
    unreachable.forEach(fault::applyTo);
    ControllerNode leader = cluster.leader();
    cluster.time.after(3 + leaderEndsAtS, leader::kill);
    cluster.time.after(20 + leaderEndsAtS, leader::start);
    cluster.advance(3);
    scenario.cancelUntilConfirmed("j-1", 0, scenario.cancelS());
    scenario.cancelUntilConfirmed("j-2", 1, scenario.cancelS());
    cluster.advance(scenario.leaseS() - 8);
    // Within their leases: what is on them has run on, unless it was stopped.
    unreachable.forEach(MachineFault::clear);
    cluster.cloud.down = false;
    cluster.advance(scenario.cancelS());
    scenario.verifyRecovery();
    assertThat(cluster.phase(0, "j-1")).isEqualTo("cancelled");
    assertThat(cluster.phase(1, "j-2")).isEqualTo("cancelled");
    assertThat(cluster.runningTasks("j-3")).hasSize(RED_QUOTA);
    assertThat(cluster.runningTasks("j-4")).hasSize(BLUE_QUOTA);
  }

  /** The jobs 1 and 2 use all of both quotas, and 3 and 4 wait for as much. */
  private void fillQuotas() {
    cluster.awaitLeader(3);
    submit("j-1", "red", RED_QUOTA);
    submit("j-2", "blue", BLUE_QUOTA);
    cluster.advance(20);
    submit("j-3", "red", RED_QUOTA);
    submit("j-4", "blue", BLUE_QUOTA);
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-1")).hasSize(RED_QUOTA);
    assertThat(cluster.runningTasks("j-2")).hasSize(BLUE_QUOTA);
    assertThat(cluster.runningTasks("j-3")).isEmpty();
  }
}
