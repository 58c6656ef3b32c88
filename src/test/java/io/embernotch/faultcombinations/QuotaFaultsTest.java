package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.inZone;
import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.withPriority;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** More work than quota or machines, together with a failover and other faults. */
class QuotaFaultsTest {
  private static final int RED_QUOTA = 24;

  /**
   * The leader is the only controller of its zone, so that a cancellation is confirmed while what
   * is unreachable still runs: until that is over it counts against the quota.
   */
  @ParameterizedTest
  @EnumSource(MachineFault.class)
  void quotaHoldsAcrossFailoverWhileMachinesAreUnreachable(MachineFault fault) {
    FaultScenario scenario = new FaultScenario(new SimulatedCluster(3));
    SimulatedCluster cluster = scenario.cluster;
    makeThirdNodeLeader(cluster);
    scenario.submitAccepted(0, "j-1", inZone(job("j-1", "array", 16), "z2"));
    scenario.submitAccepted(0, "j-2", inZone(job("j-2", "array", 8), "z2"));
    cluster.advance(12);
    scenario.submitAccepted(1, "j-3", job("j-3", "array", RED_QUOTA));
    List<FakeWorker> unreachable = scenario.machinesOf("j-2");
    assertThat(unreachable).isNotEmpty();
    cluster.cloud.down = true;
    unreachable.forEach(fault::applyTo);
    for (int s = 0; s < 30; s++) {
      cluster.cancelAsync(2, "j-2");
      if (s == 8) {
        assertThat(cluster.phase(2, "j-2")).isEqualTo("cancelled");
        cluster.restartAfter(cluster.nodes.get(2), 15);
      }
      cluster.advance(1);
    }
    cluster.cloud.down = false;
    cluster.advance(scenario.cancelS());
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-3").size() + cluster.runningTasks("j-1").size())
        .isEqualTo(RED_QUOTA);
  }

  private static void makeThirdNodeLeader(SimulatedCluster cluster) {
    cluster.awaitLeader(3);
    cluster.nodes.subList(0, 2).forEach(ControllerNode::kill);
    cluster.advance(8);
    cluster.nodes.subList(0, 2).forEach(ControllerNode::start);
    cluster.advance(3);
  }

  @Test
  void urgentJobsPreemptAcrossFailoverWithASlowStore() {
    FaultScenario scenario = FaultScenario.large();
    SimulatedCluster cluster = scenario.cluster;
    ControllerNode leader = cluster.awaitLeader(3);
    for (int i = 0; i < 6; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(6);
    cluster.cloud.outOfCapacity = true;
    scenario.answers.submit(0, "j-1", "array", 100);
    cluster.advance(6);
    cluster.faults.storeLatencyS = 0.3;
    scenario.submitAccepted(0, "j-2", withPriority(job("j-2", "standing", 12), "production"));
    scenario.submitAccepted(1, "j-3", withPriority(job("j-3", "group", 8), "high"));
    cluster.advance(3);
    leader.kill();
    cluster.advance(8);
    leader.start();
    cluster.advance(15);
    // Nothing has come free by itself.
    assertThat(cluster.runningTasks("j-2")).hasSize(12);
    for (int s = 0; s < 60; s++) {
      cluster.completeTasks("j-1");
      cluster.advance(2);
    }
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-2")).hasSize(12);
    assertThat(cluster.runningTasks("j-3")).hasSize(8);
  }
}
