package io.embernotch.weights;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The knowledge which machines have a service's weights survives a restart of all controllers. */
class ImageLocalityTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 100);

  private static String service(String ref, int replicas) {
    return job(ref, "standing", replicas)
        .replace("standard", "production")
        .replace("\"loaner\":true", "\"loaner\":false")
        .replace("\"bundle\":\"img\"", "\"bundle\":\"weights\"")
        .replace("\"size_gb\":1.0", "\"size_gb\":40.0");
  }

  private FakeWorker startServiceOnOneMachine() {
    cluster.awaitLeader(3);
    cluster.bootMachine("g8", "z1", false);
    cluster.advance(7);
    cluster.submit(0, service("j-1", 2));
    cluster.advance(8);
    Map<String, FakeWorker> on = cluster.runningTasks("j-1");
    assertThat(on).hasSize(2);
    // A fuller machine, which would be taken but for the weights.
    cluster.bootMachine("g8", "z1", false);
    cluster.advance(7);
    cluster.submit(1, job("j-2", "array", 11).replace("\"loaner\":true", "\"loaner\":false"));
    cluster.advance(40);
    return on.get("j-1/0");
  }

  @Test
  void replicasReturnToTheirWeightsAfterAllControllersRestart() {
    FakeWorker holder = startServiceOnOneMachine();
    assertThat(
            cluster.store.keys("shared/weights/").stream()
                .anyMatch(k -> cluster.store.value(k).path("on").has(holder.name)))
        .isTrue();
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(1);
    for (int task = 0; task < 2; task++) {
      if (holder.runningTasks().contains("j-1/" + task)) {
        holder.exitTask("j-1/" + task, "halted");
      }
    }
    cluster.nodes.forEach(ControllerNode::start);
    cluster.awaitLeader(10);
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-1").values()).containsOnly(holder);
    assertThat(cluster.violations()).isEmpty();
  }

  /**
   * A stale entry costs a fetch and breaks no invariant, and there are no more than a few changes
   * in a heartbeat interval.
   */
  @Test
  void staleEntriesAreDroppedAndChangesAreFew() {
    FakeWorker holder = startServiceOnOneMachine();
    int before =
        cluster.store.writeCounts.entrySet().stream()
            .filter(e -> e.getKey().startsWith("shared/weights"))
            .mapToInt(Map.Entry::getValue)
            .sum();
    cluster.advance(60);
    int after =
        cluster.store.writeCounts.entrySet().stream()
            .filter(e -> e.getKey().startsWith("shared/weights"))
            .mapToInt(Map.Entry::getValue)
            .sum();
    assertThat(after - before).isLessThanOrEqualTo(2);
    cluster.workers.remove(holder.name);
    cluster.cloud.deleted.add(holder.name);
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(1);
    cluster.nodes.forEach(ControllerNode::start);
    cluster.awaitLeader(10);
    cluster.advance(60);
    assertThat(cluster.runningTasks("j-1")).hasSize(2);
    assertThat(
            cluster.store.keys("shared/weights/").stream()
                .noneMatch(k -> cluster.store.value(k).path("on").has(holder.name)))
        .isTrue();
  }
}
