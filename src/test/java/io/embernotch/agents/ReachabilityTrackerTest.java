package io.embernotch.agents;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Machines whose heartbeats arrive while neither answers nor commands reach them. */
class ReachabilityTrackerTest {
  private final SimulatedCluster world = new SimulatedCluster(3, 1000);

  private List<FakeWorker> machines(int n) {
    for (int i = 0; i < n; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(8);
    return List.copyOf(world.workers.values());
  }

  private Map<String, FakeWorker> service(int replicas) {
    assertThat(world.submit(0, job("j-1", "standing", replicas)).status()).isEqualTo(201);
    world.pass(10);
    assertThat(world.running("j-1")).hasSize(replicas);
    return world.running("j-1");
  }

  private int upElsewhere(String ref) {
    return (int) world.running(ref).values().stream().filter(w -> !w.deaf && !w.cut).count();
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(world.broken()).isEmpty();
  }

  @Test
  void aGangWithATaskThereBeginsElsewhere() {
    world.settle(3);
    List<FakeWorker> all = machines(4);
    all.get(0).deaf = true;
    String gang =
        job("j-2", "group", 4)
            .replace("\"cards\":1.0", "\"cards\":8.0")
            .replace("\"cores\":4.0", "\"cores\":40.0");
    assertThat(world.submit(1, gang).status()).isEqualTo(201);
    world.pass(30);
    assertThat(upElsewhere("j-2")).isEqualTo(4);
  }

  @Test
  void servicesAreBackElsewhereOnceTheirOldReplicasAreProvenGone() {
    world.settle(3);
    machines(8);
    Map<String, FakeWorker> before = service(40);
    FakeWorker deaf = before.get("j-1/0");
    deaf.deaf = true;
    long there = before.values().stream().filter(w -> w == deaf).count();
    world.pass(10);
    // What runs there runs until its lease is over.
    assertThat(world.running("j-1").values().stream().filter(w -> w == deaf).count())
        .isEqualTo(there);
    world.pass(30);
    assertThat(upElsewhere("j-1")).isEqualTo(40);
    assertThat(deaf.startsLost).isZero();
  }

  @Test
  void oneThatHearsAgainIsUsedAgainAndLosesNothing() {
    world.settle(3);
    machines(2);
    Map<String, FakeWorker> before = service(12);
    FakeWorker deaf = before.get("j-1/0");
    deaf.deaf = true;
    world.pass(18);
    deaf.deaf = false;
    world.pass(6);
    assertThat(world.running("j-1")).isEqualTo(before);
    world.submit(0, job("j-3", "array", 4));
    world.pass(5);
    assertThat(world.running("j-3")).hasSize(4);
    assertThat(world.cloud.deleted).doesNotContain(deaf.name);
  }

  /**
   * When all controllers move their workers about, as after crashes, nobody is taken for
   * unreachable and returned.
   */
  @Test
  void manyAtOnceAreNotReturned() {
    world.settle(3);
    List<FakeWorker> all = machines(30);
    Map<String, FakeWorker> before = service(240);
    world.cloud.full = true;
    all.subList(0, 15).forEach(w -> w.deaf = true);
    world.pass(15);
    all.forEach(w -> w.deaf = false);
    world.pass(15);
    assertThat(world.running("j-1")).isEqualTo(before);
    // Even when what ran there has ended with its leases, it may be our answers that are lost.
    all.subList(0, 15).forEach(w -> w.deaf = true);
    world.pass(50);
    assertThat(world.workers.values()).containsAll(all);
  }
}
