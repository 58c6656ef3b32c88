package io.embernotch.weights;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which machines have a service's weights outlives all controllers. */
class ImageLocalityTest {
  private final SimulatedCluster world = new SimulatedCluster(3, 100);

  private static String model(String ref, int replicas) {
    return job(ref, "standing", replicas)
        .replace("standard", "production")
        .replace("\"loaner\":true", "\"loaner\":false")
        .replace("\"bundle\":\"img\"", "\"bundle\":\"weights\"")
        .replace("\"size_gb\":1.0", "\"size_gb\":40.0");
  }

  private FakeWorker holder() {
    world.settle(3);
    world.boot("g8", "z1", false);
    world.pass(7);
    world.submit(0, model("j-1", 2));
    world.pass(8);
    Map<String, FakeWorker> on = world.running("j-1");
    assertThat(on).hasSize(2);
    // A fuller machine, which would be taken but for the weights.
    world.boot("g8", "z1", false);
    world.pass(7);
    world.submit(1, job("j-2", "array", 11).replace("\"loaner\":true", "\"loaner\":false"));
    world.pass(40);
    return on.get("j-1/0");
  }

  @Test
  void replicasComeBackWhereTheirWeightsLieThoughNoControllerIsLeftThatKnew() {
    FakeWorker holder = holder();
    assertThat(
            world.state.keys("shared/weights/").stream()
                .anyMatch(k -> world.state.value(k).path("on").has(holder.name)))
        .isTrue();
    world.nodes.forEach(Node::kill);
    world.pass(1);
    for (int task = 0; task < 2; task++) {
      if (holder.alive().contains("j-1/" + task)) {
        holder.exit("j-1/" + task, "halted");
      }
    }
    world.nodes.forEach(Node::start);
    world.settle(10);
    world.pass(20);
    assertThat(world.running("j-1").values()).containsOnly(holder);
    assertThat(world.broken()).isEmpty();
  }

  /**
   * What is stale costs a fetch, and never a rule; and it is no more than a few changes in a
   * heartbeat interval.
   */
  @Test
  void whatIsStaleIsForgottenAndChangesAreFew() {
    FakeWorker holder = holder();
    int before =
        world.state.writes.entrySet().stream()
            .filter(e -> e.getKey().startsWith("shared/weights"))
            .mapToInt(Map.Entry::getValue)
            .sum();
    world.pass(60);
    int after =
        world.state.writes.entrySet().stream()
            .filter(e -> e.getKey().startsWith("shared/weights"))
            .mapToInt(Map.Entry::getValue)
            .sum();
    assertThat(after - before).isLessThanOrEqualTo(2);
    world.workers.remove(holder.name);
    world.cloud.deleted.add(holder.name);
    world.nodes.forEach(Node::kill);
    world.pass(1);
    world.nodes.forEach(Node::start);
    world.settle(10);
    world.pass(60);
    assertThat(world.running("j-1")).hasSize(2);
    assertThat(
            world.state.keys("shared/weights/").stream()
                .noneMatch(k -> world.state.value(k).path("on").has(holder.name)))
        .isTrue();
  }
}
