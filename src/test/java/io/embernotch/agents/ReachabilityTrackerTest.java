package io.embernotch.agents;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Machines whose heartbeats arrive while neither answers nor commands reach them. */
class ReachabilityTrackerTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 1000);

  private List<FakeWorker> machines(int n) {
    for (int i = 0; i < n; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    return List.copyOf(cluster.workers.values());
  }

  private Map<String, FakeWorker> service(int replicas) {
    assertThat(cluster.submit(0, job("j-1", "standing", replicas)).status()).isEqualTo(201);
    cluster.advance(10);
    assertThat(cluster.runningTasks("j-1")).hasSize(replicas);
    return cluster.runningTasks("j-1");
  }

  private int upElsewhere(String ref) {
    return (int)
        cluster.runningTasks(ref).values().stream()
            .filter(w -> !w.inboundPartitioned && !w.partitioned)
            .count();
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(cluster.violations()).isEmpty();
  }

  @Test
  void aGangWithATaskThereBeginsElsewhere() {
    cluster.awaitLeader(3);
    List<FakeWorker> all = machines(4);
    all.get(0).inboundPartitioned = true;
    String gang =
        job("j-2", "group", 4)
            .replace("\"cards\":1.0", "\"cards\":8.0")
            .replace("\"cores\":4.0", "\"cores\":40.0");
    assertThat(cluster.submit(1, gang).status()).isEqualTo(201);
    cluster.advance(30);
    assertThat(upElsewhere("j-2")).isEqualTo(4);
  }

  @Test
  void servicesAreBackElsewhereOnceTheirOldReplicasAreProvenGone() {
    cluster.awaitLeader(3);
    machines(8);
    Map<String, FakeWorker> before = service(40);
    FakeWorker deaf = before.get("j-1/0");
    deaf.inboundPartitioned = true;
    long there = before.values().stream().filter(w -> w == deaf).count();
    cluster.advance(10);
    // What runs there runs until its lease is over.
    assertThat(cluster.runningTasks("j-1").values().stream().filter(w -> w == deaf).count())
        .isEqualTo(there);
    cluster.advance(30);
    assertThat(upElsewhere("j-1")).isEqualTo(40);
    assertThat(deaf.lostStartCount).isZero();
  }

  @Test
  void oneThatHearsAgainIsUsedAgainAndLosesNothing() {
    cluster.awaitLeader(3);
    machines(2);
    Map<String, FakeWorker> before = service(12);
    FakeWorker deaf = before.get("j-1/0");
    deaf.inboundPartitioned = true;
    cluster.advance(18);
    deaf.inboundPartitioned = false;
    cluster.advance(6);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    cluster.submit(0, job("j-3", "array", 4));
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-3")).hasSize(4);
    assertThat(cluster.cloud.deleted).doesNotContain(deaf.name);
  }

  /**
   * When all controllers move their workers about, as after crashes, nobody is taken for
   * unreachable and returned.
   */
  @Test
  void manyAtOnceAreNotReturned() {
    cluster.awaitLeader(3);
    List<FakeWorker> all = machines(30);
    Map<String, FakeWorker> before = service(240);
    cluster.cloud.outOfCapacity = true;
    all.subList(0, 15).forEach(w -> w.inboundPartitioned = true);
    cluster.advance(15);
    all.forEach(w -> w.inboundPartitioned = false);
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    // Even when what ran there has ended with its leases, it may be our answers that are lost.
    all.subList(0, 15).forEach(w -> w.inboundPartitioned = true);
    cluster.advance(50);
    assertThat(cluster.workers.values()).containsAll(all);
  }
}
