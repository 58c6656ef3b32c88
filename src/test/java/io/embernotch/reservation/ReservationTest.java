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
  private static final int FROM = Integer.getInteger("reserve.from", 1);
  private static final String TEN =
      "generation: 1 reserve { name: 'live' serves { priority: LIVE } gpus: 10 }";

  private SimulatedCluster cluster;
  private ReservedCapacity room;

  private void begin(String file) {
    cluster = new SimulatedCluster(OperatorSettings.parse(file));
    room = new ReservedCapacity(cluster);
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

  private JsonNode seen() {
    JsonNode overview =
        Json.parseObject(cluster.await(cluster.leader().controller.overview()).body())
            .get("cluster");
    return overview.get("reserved").get("reservations").get(0);
  }

  /**
   * Room for ten is held, others fill the rest, and what the services that come use of it is theirs
   * at once.
   */
  @Test
  void aFixedAmountIsHeldAgainstABurstAndFilledByWhatItIsFor() {
    begin(TEN);
    room.pass(20);
    assertThat(room.heldInAll()).isGreaterThanOrEqualTo(10);
    cluster.cloud.bootDisabled = true;
    cluster.submit(0, array("j-1", 100));
    room.pass(20);
    assertThat(seen().get("held").get("gpus").asDouble()).isGreaterThanOrEqualTo(10);
    assertThat(seen().get("idle_cost_per_hour").asDouble()).isGreaterThan(0);
    cluster.submit(1, live("j-2", 10));
    room.pass(3);
    assertThat(cluster.runningTasks("j-2")).hasSize(10);
    assertThat(seen().get("filled").get("gpus").asDouble()).isEqualTo(10);
    assertThat(room.wrong).isEmpty();
  }

  /**
   * A restarted controller lends nothing: replicas that were lost while nobody led find their room.
   */
  @Test
  void allControllersEndWhileABurstWaitsAndNothingIsLent() {
    begin("");
    cluster.submit(0, live("j-1", 14));
    room.pass(15);
    cluster.cloud.bootDisabled = true;
    cluster.submit(1, array("j-2", 200));
    room.pass(15);
    double held = room.heldInAll();
    assertThat(held).isGreaterThanOrEqualTo(14);
    cluster.nodes.forEach(ControllerNode::kill);
    room.pass(1);
    int gone = 0;
    for (FakeWorker w : cluster.runningTasks("j-1").values()) {
      for (String t : List.copyOf(w.runningTasks())) {
        if (t.startsWith("j-1/") && gone < 6) {
          w.exitTask(t, "error");
          gone++;
        }
      }
    }
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    cluster.nodes.forEach(ControllerNode::start);
    room.pass(25);
    assertThat(cluster.runningTasks("j-1")).hasSize(14);
    assertThat(room.wrong).isEmpty();
  }

  /** A commit that was made and whose answer is lost counts as made until it is known not to be. */
  @Test
  void whatMayBeWrittenIsKeptThoughItIsWantedNoMore() {
    begin("");
    cluster.boot("g8", "z1", false);
    room.pass(7);
    cluster.cloud.outOfCapacity = true;
    cluster.faults.commitDeliveryFilter = "shared/";
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.submit(0, live("j-1", 8));
    room.pass(9);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    cluster.submit(1, array("j-2", 50));
    for (int i = 0; i < 200 && room.heldInAll() < 8; i++) {
      room.pass(0.05);
      cluster.deliverDelayed();
    }
    assertThat(room.heldInAll()).isGreaterThanOrEqualTo(8);
    cluster.cancel(0, "j-1");
    room.pass(1);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    room.pass(40);
    assertThat(cluster.runningTasks("j-2")).isNotEmpty();
    assertThat(room.wrong).isEmpty();
  }

  /** Held room on a machine that reports late to a new leader is not given up before. */
  @Test
  void aMachineThatIsNotHeardYetKeepsWhatIsHeldThere() {
    begin(TEN);
    room.pass(25);
    cluster.cloud.bootDisabled = true;
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.workers.values().forEach(w -> w.partitioned = true);
    cluster.cloud.unlisted.addAll(cluster.workers.keySet());
    room.pass(1);
    cluster.submit(0, array("j-1", 1));
    cluster.nodes.forEach(ControllerNode::start);
    room.pass(9);
    assertThat(room.heldInAll()).isGreaterThanOrEqualTo(10);
    cluster.workers.values().forEach(w -> w.partitioned = false);
    cluster.cloud.unlisted.clear();
    cluster.submit(0, array("j-2", 60));
    room.pass(12);
    assertThat(room.heldInAll()).isGreaterThanOrEqualTo(10);
    assertThat(cluster.runningTasks("j-2").size())
        .isLessThanOrEqualTo(cluster.workers.size() * 8 - 10);
  }

  /**
   * A value of the store's is given up by commit before it is used; one commit that is lost or late
   * changes nothing.
   */
  @Test
  void whatIsGivenUpIsLentOnlyOnceThatIsKnownToBeWritten() {
    begin("");
    cluster.submit(0, live("j-1", 16));
    room.pass(15);
    cluster.cloud.bootDisabled = true;
    cluster.submit(1, array("j-2", 200));
    room.pass(10);
    cluster.faults.commitDeliveryFilter = "shared/";
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.cancel(0, "j-1");
    room.pass(8);
    double still = room.heldInAll();
    assertThat(still).isGreaterThanOrEqualTo(16);
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.deliverDelayed();
    room.pass(60);
    assertThat(room.heldInAll()).isLessThan(still / 2);
    assertThat(cluster.runningTasks("j-2").size()).isGreaterThan(8);
    assertThat(room.wrong).isEmpty();
  }

  /**
   * Where no machine is to be had the amount is restored by stopping lesser work, and by none of
   * its equals.
   */
  @Test
  void aFixedAmountIsRestoredByStoppingLesserWork() {
    begin("reserve_live: false");
    String name = cluster.boot("g8", "z1", false);
    room.pass(8);
    cluster.cloud.outOfCapacity = true;
    cluster.submit(0, array("j-1", 8).replace("standard", "idle"));
    room.pass(8);
    assertThat(cluster.workers.get(name).runningTasks()).hasSize(8);
    restartWith("generation: 1 reserve { name: 'live' serves { priority: LIVE } gpus: 4 }");
    room.pass(25);
    assertThat(room.held(name)).isEqualTo(4);
    assertThat(cluster.workers.get(name).runningTasks()).hasSize(4);
    cluster.submit(0, live("j-2", 4));
    room.pass(3);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
    assertThat(room.wrong).isEmpty();
  }

  private void restartWith(String file) {
    cluster.setOperatorSettings(OperatorSettings.parse(file));
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(2);
    cluster.nodes.forEach(ControllerNode::start);
    cluster.awaitLeader(8);
  }

  /**
   * A controller that is started with an older file goes by the newer one, and never writes its own
   * over it.
   */
  @Test
  void anOlderFileNeverUndoesANewerGeneration() {
    begin("generation: 3 reserve { name: 'new' serves { priority: LIVE } gpus: 12 }");
    room.pass(20);
    assertThat(room.heldInAll()).isGreaterThanOrEqualTo(12);
    restartWith(TEN);
    room.pass(20);
    assertThat(seen().get("name").asText()).isEqualTo("new");
    assertThat(cluster.store.value("shared/reserve").get("gen").asLong()).isEqualTo(3);
    assertThat(room.heldInAll()).isGreaterThanOrEqualTo(12);
  }

  /** All data is lost: what was held is in the leader's copy, and is restored with the jobs. */
  @Test
  void aLossOfTheStoreLosesNoHold() {
    begin(TEN);
    cluster.submit(0, live("j-1", 6));
    room.pass(25);
    double held = room.heldInAll();
    cluster.cloud.bootDisabled = true;
    cluster.submit(1, array("j-2", 100));
    room.pass(5);
    cluster.store.wipe();
    room.pass(40);
    cluster.awaitLeader(5);
    assertThat(seen().get("held").get("gpus").asDouble())
        .isGreaterThanOrEqualTo(Math.min(held, 10));
    assertThat(cluster.runningTasks("j-1")).hasSize(6);
    assertThat(room.wrong).isEmpty();
  }

  private static List<String> play(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ReservationTest t = new ReservationTest();
    t.begin(random.nextBoolean() ? "" : TEN);
    SimulatedCluster cluster = t.cluster;
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
          cluster.faults.commitDelivery = Delivery.values()[random.nextInt(3)];
        }
        case 6 -> cluster.deliverDelayed();
        case 7 -> cluster.cloud.bootDisabled = !cluster.cloud.bootDisabled;
        default -> {
          List<ControllerNode> nodes =
              random.nextInt(3) == 0 ? cluster.nodes : List.of(cluster.nodes.get(node));
          nodes.forEach(ControllerNode::kill);
          t.room.pass(random.nextDouble(1.0));
          nodes.forEach(ControllerNode::start);
        }
      }
      t.room.pass(random.nextDouble(5));
    }
    t.room.wrong.addAll(cluster.violations());
    return t.room.wrong;
  }

  private static void submit(SimulatedCluster cluster, int node, String json) {
    if (!cluster.nodes.get(node).down) {
      cluster.submit(node, json);
    }
  }

  @Test
  void nobodyEverBeginsOnWhatIsHeld() {
    Map<Long, List<String>> wrong = new TreeMap<>();
    for (long seed = FROM; seed < FROM + SEEDS; seed++) {
      List<String> found = play(seed);
      if (!found.isEmpty()) {
        wrong.put(seed, found);
      }
    }
    assertThat(wrong).isEmpty();
  }

  @Test
  void mistakesInTheFileAreToldWithTheirPlace() {
    mistake("reserve { name: 'a' serves { priority: LIVE } gpus: 1 }", "reserve[0]: generation");
    mistake("generation: 1 reserve { name: 'a' gpus: 1 }", "reserve[0].serves: missing");
    mistake("generation: 1 reserve { name: 'a' serves { priority: LIVE } }", "reserves nothing");
    mistake(
        TEN + " reserve { name: 'b' serves { team: 'red' } gpus: 1 }",
        "reserve[1].serves: the same work may be served by live");
    mistake(
        "generation: 1 reserve { name: 'a' serves { shape: GANG } machines: 1 gpus: 2 }",
        "either whole machines or amounts");
    mistake(
        "generation: 1 reserve { name: 'a' serves { shape: GANG } gpus: 2 zone { name: 'x' least_share: 0.7 } zone { name: 'y' least_share: 0.6 } }",
        "reserve[0].zone: the shares add up to 1.29");
    mistake("generation: 1 reserve { name: 'a' serves { shape: HEAP } gpus: 2 }", "line 1");
  }

  private static void mistake(String file, String why) {
    assertThatThrownBy(() -> OperatorSettings.parse(file))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining(why);
  }
}
