package io.embernotch.agents;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * One-way partitions: machines whose heartbeats arrive while neither responses nor commands reach
 * them.
 */
class ReachabilityTrackerTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 1000);

  private List<FakeWorker> machines(int count) {
    for (int i = 0; i < count; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.pass(8);
    return List.copyOf(cluster.workers.values());
  }

  private Map<String, FakeWorker> service(int replicas) {
    assertThat(cluster.submit(0, job("j-1", "standing", replicas)).status()).isEqualTo(201);
    cluster.pass(10);
    assertThat(cluster.running("j-1")).hasSize(replicas);
    return cluster.running("j-1");
  }

  private int runningOnReachable(String ref) {
    return (int)
        cluster.running(ref).values().stream()
            .filter(worker -> !worker.deaf && !worker.cut)
            .count();
  }

  @AfterEach
  void noTaskEverRanTwice() {
    assertThat(cluster.broken()).isEmpty();
  }

  @Test
  void gangWithATaskOnAnUnreachableMachineBeginsElsewhere() {
    cluster.settle(3);
    List<FakeWorker> all = machines(4);
    all.get(0).deaf = true;
    String gang =
        job("j-2", "group", 4)
            .replace("\"cards\":1.0", "\"cards\":8.0")
            .replace("\"cores\":4.0", "\"cores\":40.0");
    assertThat(cluster.submit(1, gang).status()).isEqualTo(201);
    cluster.pass(30);
    assertThat(runningOnReachable("j-2")).isEqualTo(4);
  }

  @Test
  void servicesFailOverOnceTheirOldReplicasAreProvenGone() {
    cluster.settle(3);
    machines(8);
    Map<String, FakeWorker> before = service(40);
    FakeWorker unreachable = before.get("j-1/0");
    unreachable.deaf = true;
    long replicas = before.values().stream().filter(worker -> worker == unreachable).count();
    cluster.pass(10);
    // Its tasks run until its lease has expired.
    assertThat(
            cluster.running("j-1").values().stream()
                .filter(worker -> worker == unreachable)
                .count())
        .isEqualTo(replicas);
    cluster.pass(30);
    assertThat(runningOnReachable("j-1")).isEqualTo(40);
    assertThat(unreachable.startsLost).isZero();
  }

  @Test
  void machineThatIsReachableAgainIsUsedAgainAndLosesNothing() {
    cluster.settle(3);
    machines(2);
    Map<String, FakeWorker> before = service(12);
    FakeWorker unreachable = before.get("j-1/0");
    unreachable.deaf = true;
    cluster.pass(18);
    unreachable.deaf = false;
    cluster.pass(6);
    assertThat(cluster.running("j-1")).isEqualTo(before);
    cluster.submit(0, job("j-3", "array", 4));
    cluster.pass(5);
    assertThat(cluster.running("j-3")).hasSize(4);
    assertThat(cluster.cloud.deleted).doesNotContain(unreachable.name);
  }

  /**
   * Where many agents change controllers at once, as after crashes, no machine is taken for
   * unreachable and scaled in.
   */
  @Test
  void manyUnreachableAtOnceAreNotScaledIn() {
    cluster.settle(3);
    List<FakeWorker> all = machines(30);
    Map<String, FakeWorker> before = service(240);
    cluster.cloud.full = true;
    all.subList(0, 15).forEach(worker -> worker.deaf = true);
    cluster.pass(15);
    all.forEach(worker -> worker.deaf = false);
    cluster.pass(15);
    assertThat(cluster.running("j-1")).isEqualTo(before);
    // Even once their tasks have ended with their leases, it may be the leader that cannot send.
    all.subList(0, 15).forEach(worker -> worker.deaf = true);
    cluster.pass(50);
    assertThat(cluster.workers.values()).containsAll(all);
  }
}
