package io.embernotch.agents;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests one-way partitions: machines whose heartbeats arrive while neither responses nor commands
 * reach them.
 */
class ReachabilityTrackerTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 1000);

  private List<FakeWorker> bootMachines(int count) {
    for (int i = 0; i < count; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    return List.copyOf(cluster.workers.values());
  }

  private Map<String, FakeWorker> startService(int replicas) {
    assertThat(cluster.submit(0, job("j-1", "standing", replicas)).status()).isEqualTo(201);
    cluster.advance(10);
    assertThat(cluster.runningTasks("j-1")).hasSize(replicas);
    return cluster.runningTasks("j-1");
  }

  private int runningOnReachable(String ref) {
    return (int)
        cluster.runningTasks(ref).values().stream()
            .filter(worker -> !worker.inboundPartitioned && !worker.partitioned)
            .count();
  }

  @AfterEach
  void noTaskEverRanTwice() {
    assertThat(cluster.violations()).isEmpty();
  }

  @Test
  void gangWithATaskOnAnUnreachableMachineStartsElsewhere() {
    cluster.awaitLeader(3);
    List<FakeWorker> all = bootMachines(4);
    all.get(0).inboundPartitioned = true;
    String gang =
        job("j-2", "group", 4)
            .replace("\"cards\":1.0", "\"cards\":8.0")
            .replace("\"cores\":4.0", "\"cores\":40.0");
    assertThat(cluster.submit(1, gang).status()).isEqualTo(201);
    cluster.advance(30);
    assertThat(runningOnReachable("j-2")).isEqualTo(4);
  }

  @Test
  void servicesFailOverOnceTheirOldReplicasHaveProvablyEnded() {
    cluster.awaitLeader(3);
    bootMachines(8);
    Map<String, FakeWorker> before = startService(40);
    FakeWorker unreachable = before.get("j-1/0");
    unreachable.inboundPartitioned = true;
    long replicas = before.values().stream().filter(worker -> worker == unreachable).count();
    cluster.advance(10);
    // The unreachable machine's tasks run until its lease has expired.
    assertThat(
            cluster.runningTasks("j-1").values().stream()
                .filter(worker -> worker == unreachable)
                .count())
        .isEqualTo(replicas);
    cluster.advance(30);
    assertThat(runningOnReachable("j-1")).isEqualTo(40);
    assertThat(unreachable.lostStartCount).isZero();
  }

  @Test
  void machineThatIsReachableAgainKeepsItsTasksAndGetsNewOnes() {
    cluster.awaitLeader(3);
    bootMachines(2);
    Map<String, FakeWorker> before = startService(12);
    FakeWorker unreachable = before.get("j-1/0");
    unreachable.inboundPartitioned = true;
    cluster.advance(18);
    unreachable.inboundPartitioned = false;
    cluster.advance(6);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    cluster.submit(0, job("j-3", "array", 4));
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-3")).hasSize(4);
    assertThat(cluster.cloud.deleted).doesNotContain(unreachable.name);
  }

  /**
   * If many agents change controllers at once, for example after crashes, no machine is scaled in
   * as unreachable.
   */
  @Test
  void manyUnreachableMachinesAtOnceAreNotScaledIn() {
    cluster.awaitLeader(3);
    List<FakeWorker> all = bootMachines(30);
    Map<String, FakeWorker> before = startService(240);
    cluster.cloud.outOfCapacity = true;
    all.subList(0, 15).forEach(worker -> worker.inboundPartitioned = true);
    cluster.advance(15);
    all.forEach(worker -> worker.inboundPartitioned = false);
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    // Even after the leases have expired, the leader's own sending may be at fault.
    all.subList(0, 15).forEach(worker -> worker.inboundPartitioned = true);
    cluster.advance(50);
    assertThat(cluster.workers.values()).containsAll(all);
  }
}
