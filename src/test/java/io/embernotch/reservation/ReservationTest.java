package io.embernotch.reservation;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsException;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Reserved capacity, with three controllers that fail. */
class ReservationTest {
  private static final int SEEDS = Integer.getInteger("reserve.seeds", 60);
  private static final int FIRST_SEED = Integer.getInteger("reserve.from", 1);
  private static final String TEN_GPUS =
      "generation: 1 reserve { name: 'live' serves { priority: LIVE } gpus: 10 }";

  private SimulatedCluster cluster;
  private ReservedCapacity capacity;

  private void begin(String file) {
    cluster = new SimulatedCluster(OperatorSettings.parse(file));
    capacity = new ReservedCapacity(cluster);
    cluster.awaitLeader(3);
  }

  private static String live(String ref, int tasks) {
    return job(ref, "standing", tasks)
        .replace("standard", "production")
        .replace("\"loaner\":true", "\"loaner\":false");
  }

  private static String array(String ref, int tasks) {
    return job(ref, "array", tasks).replace("\"loaner\":true", "\"loaner\":false");
  }

  private JsonNode reservationOverview() {
    return Json.parseObject(cluster.await(cluster.leader().controller.overview()).body())
        .get("cluster")
        .get("reserved")
        .get("reservations")
        .get(0);
  }

  /**
   * Capacity for ten is reserved, others fill the rest, and services that come get what they use of
   * it at once.
   */
  @Test
  void aFixedAmountStaysReservedDuringABurstAndServesItsWork() {
    begin(TEN_GPUS);
    capacity.advance(20);
    assertThat(capacity.totalReservedGpus()).isGreaterThanOrEqualTo(10);
    cluster.cloud.bootDisabled = true;
    cluster.submit(0, array("j-1", 100));
    capacity.advance(20);
    assertThat(reservationOverview().get("held").get("gpus").asDouble()).isGreaterThanOrEqualTo(10);
    assertThat(reservationOverview().get("idle_cost_per_hour").asDouble()).isGreaterThan(0);
    cluster.submit(1, live("j-2", 10));
    capacity.advance(3);
    assertThat(cluster.runningTasks("j-2")).hasSize(10);
    assertThat(reservationOverview().get("filled").get("gpus").asDouble()).isEqualTo(10);
    assertThat(capacity.violations).isEmpty();
  }

  /** Replicas that were lost while there was no leader find their capacity still reserved. */
  @Test
  void nothingReservedIsGivenAwayThoughAllControllersEndDuringABurst() {
    begin("");
    cluster.submit(0, live("j-1", 14));
    capacity.advance(15);
    cluster.cloud.bootDisabled = true;
    cluster.submit(1, array("j-2", 200));
    capacity.advance(15);
    double reserved = capacity.totalReservedGpus();
    assertThat(reserved).isGreaterThanOrEqualTo(14);
    cluster.nodes.forEach(ControllerNode::kill);
    capacity.advance(1);
    int ended = 0;
    for (FakeWorker worker : cluster.runningTasks("j-1").values()) {
      for (String test : List.copyOf(worker.runningTasks())) {
        if (test.startsWith("j-1/") && ended < 6) {
          worker.exitTask(test, "error");
          ended++;
        }
      }
    }
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    cluster.nodes.forEach(ControllerNode::start);
    capacity.advance(25);
    assertThat(cluster.runningTasks("j-1")).hasSize(14);
    assertThat(capacity.violations).isEmpty();
  }

  /** A commit whose answer is lost counts as applied until it is known not to be. */
  @Test
  void whatMayBeStoredStaysReservedThoughItIsNoLongerWanted() {
    begin("");
    cluster.bootMachine("g8", "z1", false);
    capacity.advance(7);
    cluster.cloud.outOfCapacity = true;
    cluster.faults.commitDeliveryFilter = "shared/";
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.submit(0, live("j-1", 8));
    capacity.advance(9);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    cluster.submit(1, array("j-2", 50));
    for (int i = 0; i < 200 && capacity.totalReservedGpus() < 8; i++) {
      capacity.advance(0.05);
      cluster.deliverDelayed();
    }
    assertThat(capacity.totalReservedGpus()).isGreaterThanOrEqualTo(8);
    cluster.cancel(0, "j-1");
    capacity.advance(1);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    capacity.advance(40);
    assertThat(cluster.runningTasks("j-2")).isNotEmpty();
    assertThat(capacity.violations).isEmpty();
  }

  /** Capacity reserved on a machine that reports late to a new leader is not released before. */
  @Test
  void aMachineThatHasNotReportedYetKeepsItsReservation() {
    begin(TEN_GPUS);
    capacity.advance(25);
    cluster.cloud.bootDisabled = true;
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.workers.values().forEach(worker -> worker.partitioned = true);
    cluster.cloud.unlisted.addAll(cluster.workers.keySet());
    capacity.advance(1);
    cluster.submit(0, array("j-1", 1));
    cluster.nodes.forEach(ControllerNode::start);
    capacity.advance(9);
    assertThat(capacity.totalReservedGpus()).isGreaterThanOrEqualTo(10);
    cluster.workers.values().forEach(worker -> worker.partitioned = false);
    cluster.cloud.unlisted.clear();
    cluster.submit(0, array("j-2", 60));
    capacity.advance(12);
    assertThat(capacity.totalReservedGpus()).isGreaterThanOrEqualTo(10);
    assertThat(cluster.runningTasks("j-2").size())
        .isLessThanOrEqualTo(cluster.workers.size() * 8 - 10);
  }

  /**
   * Reserved capacity is released by a commit before others use it; a commit that is lost or late
   * changes nothing.
   */
  @Test
  void releasedCapacityIsUsedOnlyOnceTheReleaseIsKnownToBeStored() {
    begin("");
    cluster.submit(0, live("j-1", 16));
    capacity.advance(15);
    cluster.cloud.bootDisabled = true;
    cluster.submit(1, array("j-2", 200));
    capacity.advance(10);
    cluster.faults.commitDeliveryFilter = "shared/";
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.cancel(0, "j-1");
    capacity.advance(8);
    double stillReserved = capacity.totalReservedGpus();
    assertThat(stillReserved).isGreaterThanOrEqualTo(16);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.deliverDelayed();
    capacity.advance(60);
    assertThat(capacity.totalReservedGpus()).isLessThan(stillReserved / 2);
    assertThat(cluster.runningTasks("j-2").size()).isGreaterThan(8);
    assertThat(capacity.violations).isEmpty();
  }

  /**
   * Where no machine can be rented the amount is restored by preempting work of lower priority, and
   * none of equal priority.
   */
  @Test
  void aFixedAmountIsRestoredByPreemptingLowerPriority() {
    begin("reserve_live: false");
    String name = cluster.bootMachine("g8", "z1", false);
    capacity.advance(8);
    cluster.cloud.outOfCapacity = true;
    cluster.submit(0, array("j-1", 8).replace("standard", "idle"));
    capacity.advance(8);
    assertThat(cluster.workers.get(name).runningTasks()).hasSize(8);
    restartWith("generation: 1 reserve { name: 'live' serves { priority: LIVE } gpus: 4 }");
    capacity.advance(25);
    assertThat(capacity.reservedGpus(name)).isEqualTo(4);
    assertThat(cluster.workers.get(name).runningTasks()).hasSize(4);
    cluster.submit(0, live("j-2", 4));
    capacity.advance(3);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
    assertThat(capacity.violations).isEmpty();
  }

  private void restartWith(String file) {
    cluster.setOperatorSettings(OperatorSettings.parse(file));
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(2);
    cluster.nodes.forEach(ControllerNode::start);
    cluster.awaitLeader(8);
  }

  /**
   * A controller that is started with an older file applies the newer one, and never overwrites it.
   */
  @Test
  void anOlderFileNeverUndoesANewerGeneration() {
    begin("generation: 3 reserve { name: 'new' serves { priority: LIVE } gpus: 12 }");
    capacity.advance(20);
    assertThat(capacity.totalReservedGpus()).isGreaterThanOrEqualTo(12);
    restartWith(TEN_GPUS);
    capacity.advance(20);
    assertThat(reservationOverview().get("name").asText()).isEqualTo("new");
    assertThat(cluster.store.value("shared/reserve").get("gen").asLong()).isEqualTo(3);
    assertThat(capacity.totalReservedGpus()).isGreaterThanOrEqualTo(12);
  }

  /**
   * All data is lost: reservations are in the leader's snapshot, and are restored with the jobs.
   */
  @Test
  void aLossOfTheStoreLosesNoReservation() {
    begin(TEN_GPUS);
    cluster.submit(0, live("j-1", 6));
    capacity.advance(25);
    double reserved = capacity.totalReservedGpus();
    cluster.cloud.bootDisabled = true;
    cluster.submit(1, array("j-2", 100));
    capacity.advance(5);
    cluster.store.wipe();
    capacity.advance(40);
    cluster.awaitLeader(5);
    assertThat(reservationOverview().get("held").get("gpus").asDouble())
        .isGreaterThanOrEqualTo(Math.min(reserved, 10));
    assertThat(cluster.runningTasks("j-1")).hasSize(6);
    assertThat(capacity.violations).isEmpty();
  }

  private static List<String> play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ReservationTest test = new ReservationTest();
    test.begin(random.nextBoolean() ? "" : TEN_GPUS);
    SimulatedCluster cluster = test.cluster;
    int next = 1;
    for (int step = 0; step < 25; step++) {
      int node = random.nextInt(3);
      switch (random.nextInt(9)) {
        case 0, 1 -> submit(cluster, node, live("j-" + next++, 1 + random.nextInt(6)));
        case 2 -> submit(cluster, node, array("j-" + next++, 1 + random.nextInt(40)));
        case 3 -> cluster.completeTasks("j-" + (1 + random.nextInt(next)));
        case 4 -> {
          if (!cluster.nodes.get(node).down) {
            cluster.cancel(node, "j-" + (1 + random.nextInt(next)));
          }
        }
        case 5 -> {
          cluster.faults.commitDeliveryFilter = random.nextBoolean() ? "shared/" : "run/";
          cluster.faults.commitDelivery = Delivery.draw(random);
        }
        case 6 -> cluster.deliverDelayed();
        case 7 -> cluster.cloud.bootDisabled = !cluster.cloud.bootDisabled;
        default -> {
          List<ControllerNode> nodes =
              random.nextInt(3) == 0 ? cluster.nodes : List.of(cluster.nodes.get(node));
          nodes.forEach(ControllerNode::kill);
          test.capacity.advance(random.nextDouble(1.0));
          nodes.forEach(ControllerNode::start);
        }
      }
      test.capacity.advance(random.nextDouble(5));
    }
    test.capacity.violations.addAll(cluster.violations());
    return test.capacity.violations;
  }

  private static void submit(SimulatedCluster cluster, int node, String json) {
    if (!cluster.nodes.get(node).down) {
      cluster.submit(node, json);
    }
  }

  @Test
  void noOtherWorkEverStartsOnReservedCapacity() {
    Map<Long, List<String>> violations = new TreeMap<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      List<String> violationsOfSeed = play(seed);
      if (!violationsOfSeed.isEmpty()) {
        violations.put(seed, violationsOfSeed);
      }
    }
    assertThat(violations).isEmpty();
  }

  @Test
  void mistakesInTheFileAreReportedWithTheirPlace() {
    assertMistake(
        "reserve { name: 'a' serves { priority: LIVE } gpus: 1 }", "reserve[0]: generation");
    assertMistake("generation: 1 reserve { name: 'a' gpus: 1 }", "reserve[0].serves: missing");
    assertMistake(
        "generation: 1 reserve { name: 'a' serves { priority: LIVE } }", "reserves nothing");
    assertMistake(
        TEN_GPUS + " reserve { name: 'b' serves { team: 'red' } gpus: 1 }",
        "reserve[1].serves: the same work may be served by live");
    assertMistake(
        "generation: 1 reserve { name: 'a' serves { shape: GANG } machines: 1 gpus: 2 }",
        "either whole machines or amounts");
    assertMistake(
        "generation: 1 reserve { name: 'a' serves { shape: GANG } gpus: 2 zone { name: 'x' least_share: 0.7 } zone { name: 'y' least_share: 0.6 } }",
        "reserve[0].zone: the shares add up to 1.29");
    assertMistake("generation: 1 reserve { name: 'a' serves { shape: HEAP } gpus: 2 }", "line 1");
  }

  private static void assertMistake(String file, String message) {
    assertThatThrownBy(() -> OperatorSettings.parse(file))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining(message);
  }
}
