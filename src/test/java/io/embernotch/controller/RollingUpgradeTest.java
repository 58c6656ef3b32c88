package io.embernotch.controller;

import static io.embernotch.testkit.SimulatedCluster.after;
import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Data of the version before job chains, and a store that lowers its limits. That version made
 * shards as large as the limits of its time, 85 tasks in 8 KiB.
 */
class RollingUpgradeTest {
  private static final int OLD_PIECE = 85;
  private final SimulatedCluster world = SimulatedCluster.lowering();

  /** A job as the former version left it: its description, and its progress where it has any. */
  private void left(String ref, int tasks, String run) {
    world.state.plant(
        "job/" + ref,
        "{\"at\":900000,\"piece\":" + OLD_PIECE + ",\"job\":" + job(ref, "array", tasks) + "}");
    if (run != null) {
      world.state.plant("run/" + ref, run);
    }
  }

  private void lower() {
    world.state.lower(1024, 4, 30);
  }

  @AfterEach
  void noRuleWasBroken() {
    assertThat(world.broken()).isEmpty();
  }

  /** One such value kept every new leader reading the store over and over, and all jobs waiting. */
  @Test
  void aValueThatCannotBeReadKeepsNoOtherJobWaitingAndItsOwnStaysKnown() {
    left("j-1", 3, null);
    left("j-2", 3, "{\"next\":\"x\",\"open\":7}");
    world.state.plant(
        "job/j-3", "{\"at\":900000,\"piece\":85,\"job\":{\"ref\":\"j-3\",\"shards\":\"many\"}}");
    world.settle(4);
    world.pass(12);
    assertThat(world.running("j-1")).hasSize(3);
    assertThat(world.phase(0, "j-3")).isEqualTo("queued");
    assertThat(world.phase(1, "j-2")).isEqualTo("queued");
    // What may run of it is over once no worker can have been renewed for it.
    assertThat(world.running("j-2")).isEmpty();
    world.pass(120);
    assertThat(world.running("j-2")).hasSize(3);
    // The watch for new jobs goes on behind it.
    world.state.plant("job/j-4", "{\"at\":900000,\"piece\":85,\"job\":[]}");
    left("j-5", 2, null);
    world.pass(20);
    assertThat(world.running("j-5")).hasSize(2);
  }

  @Test
  void whatTheFormerVersionWroteIsReadAsItMeantIt() {
    // 40 tasks, of which 0, 1 and 9 are done; and two that have ended, one before ends had a time.
    String marks = Base64.getEncoder().encodeToString(new byte[] {3, 2});
    left("j-1", 40, "{\"next\":7,\"done\":\"" + marks + "\",\"open\":[]}");
    left("j-2", 3, "{\"next\":2,\"end\":\"done\"}");
    left("j-3", 3, "{\"next\":2,\"end\":\"cancelled\"}");
    world.settle(4);
    world.pass(12);
    assertThat(world.running("j-1")).hasSize(37).doesNotContainKeys("j-1/0", "j-1/1", "j-1/9");
    assertThat(world.phase(1, "j-2")).isEqualTo("done");
    assertThat(world.phase(2, "j-3")).isEqualTo("cancelled");
    // They may be named like any other.
    assertThat(world.submit(0, after("j-4", 1, "j-2")).status()).isEqualTo(201);
    assertThat(world.submit(0, after("j-5", 1, "j-3")).status()).isEqualTo(201);
    world.pass(6);
    assertThat(world.running("j-4")).hasSize(1);
    assertThat(world.phase(0, "j-5")).isEqualTo("cancelled");
  }

  @Test
  void aLeaderOfTheFormerVersionMayGoInTheMiddleOfStarts() {
    String name = world.boot("g8", "z1", true);
    world.pass(6);
    // Two starts are written, of which no command left or none arrived; one is on a machine that is
    // gone.
    left(
        "j-1",
        3,
        "{\"next\":6,\"open\":[[0,5,\""
            + name
            + "\",\"z1\"],[1,5,\""
            + name
            + "\",\"z1\"],[2,5,\"n-999999\",\"z1\"]]}");
    Node old = world.leader();
    old.kill();
    world.pass(12);
    assertThat(world.running("j-1")).containsOnlyKeys("j-1/0", "j-1/1");
    // What was on the machine that is gone starts elsewhere only when its lease must be over.
    world.pass(45);
    assertThat(world.running("j-1")).hasSize(3);
  }

  /**
   * The demands of the former version's reader, which dies of a key or a value that it cannot read.
   */
  @Test
  void whatIsWrittenWhileTheLimitsAreAsBeforeTheFormerVersionReads() {
    left("j-1", 40, null);
    world.settle(4);
    assertThat(world.submit(0, job("j-2", "array", 8)).status()).isEqualTo(201);
    world.pass(12);
    world.finish("j-2");
    world.pass(6);
    assertThat(world.state.keys("part/")).isEmpty();
    for (String key : world.state.keys("job/")) {
      ObjectNode o = world.state.value(key);
      assertThat(o.get("at").isIntegralNumber()).isTrue();
      assertThat(o.get("piece").isIntegralNumber()).isTrue();
      assertThat(o.get("job").fieldNames())
          .toIterable()
          .contains(
              "ref",
              "jobclass",
              "owner",
              "shape",
              "rank",
              "shards",
              "cores",
              "cards",
              "mem_gb",
              "bundle",
              "size_gb",
              "one_zone",
              "scatter",
              "loaner",
              "expect_s",
              "snapshot_s",
              "flush_s")
          .doesNotContain("awaits");
    }
    assertThat(world.state.keys("run/")).containsExactly("run/j-1", "run/j-2");
    for (String key : world.state.keys("run/")) {
      ObjectNode o = world.state.value(key);
      assertThat(o.get("next").isIntegralNumber()).isTrue();
      assertThat(o.path("end").asText("done")).isIn("done", "cancelled");
      for (JsonNode a : o.path("open")) {
        assertThat(a.get(0).isInt()).isTrue();
        assertThat(a.get(1).isIntegralNumber()).isTrue();
        assertThat(a.get(2).isTextual() && a.get(3).isTextual()).isTrue();
      }
    }
    // A large shard of the former version is written on as one while it fits.
    assertThat(world.state.value("run/j-1").get("open")).hasSize(40);
    assertThat(Json.bytes(world.state.value("run/j-1")).length).isGreaterThan(1024);
  }

  @Test
  void aDescriptionAcceptedUnderLargerLimitsIsKnownForGood() {
    String large =
        job("j-1", "array", 1)
            .replace("\"img\"", "\"" + "i".repeat(450) + "\"")
            .replace("\"c\"", "\"" + "c".repeat(450) + "\"");
    world.state.plant(
        "job/j-1", "{\"at\":900000,\"piece\":" + OLD_PIECE + ",\"job\":" + large + "}");
    world.settle(4);
    lower();
    for (int n = 0; n < 3; n++) {
      assertThat(world.submit(n, large).status()).isEqualTo(200);
      // A new one of that size would not fit the lower limits: its user is told at once.
      assertThat(world.submit(n, large.replace("j-1", "j-2")).status()).isEqualTo(400);
    }
    world.pass(12);
    assertThat(world.running("j-1")).hasSize(1);
  }

  @Test
  void newJobsFitTheLowerLimitsFromTheStart() {
    world.settle(4);
    assertThat(world.submit(0, job("j-1", "array", 40)).status()).isEqualTo(201);
    world.pass(12);
    lower();
    world.finish("j-1");
    world.pass(10);
    assertThat(world.phase(0, "j-1")).isEqualTo("done");
    assertThat(world.state.malformed).isZero();
    assertThat(world.state.throttled).isZero();
    assertThat(world.state.keys("part/")).isEmpty();
  }

  @Test
  void oldPiecesGoOnInPartsOnceTheyDoNotFit() {
    left("j-1", 48, null);
    world.settle(4);
    world.pass(12);
    assertThat(world.running("j-1")).hasSize(48);
    lower();
    String before = world.state.value("run/j-1").toString();
    world.running("j-1").get("j-1/5").exit("j-1/5", "done");
    world.running("j-1").get("j-1/20").exit("j-1/20", "error");
    world.pass(15);
    assertThat(world.state.value("run/j-1").toString()).isEqualTo(before);
    assertThat(world.state.keys("part/j-1/")).isNotEmpty();
    assertThat(world.running("j-1")).hasSize(47).doesNotContainKey("j-1/5").containsKey("j-1/20");
    // One refusal tells; nothing is tried at the former size again.
    assertThat(world.state.malformed).isEqualTo(1);
    assertThat(world.submit(0, after("j-2", 2, "j-1")).status()).isEqualTo(201);
    world.finish("j-1");
    world.pass(12);
    assertThat(world.phase(1, "j-1")).isEqualTo("done");
    assertThat(world.running("j-2")).hasSize(2);
    assertThat(world.state.malformed).isEqualTo(1);
  }

  @Test
  void aTakeoverReadsPartsOverPieces() {
    left("j-1", 48, null);
    Node old = world.settle(4);
    world.pass(12);
    lower();
    world.running("j-1").get("j-1/5").exit("j-1/5", "done");
    world.running("j-1").get("j-1/40").exit("j-1/40", "done");
    world.pass(12);
    old.kill();
    world.pass(20);
    assertThat(world.running("j-1")).hasSize(46).doesNotContainKeys("j-1/5", "j-1/40");
    assertThat(world.abort((old.index + 1) % 3, "j-1").status()).isEqualTo(200);
    world.pass(6);
    assertThat(world.running("j-1")).isEmpty();
    assertThat(world.endInStore("j-1")).isEqualTo("cancelled");
    Node second = world.leader();
    // The end stands in a part, which those read too who answer from the store alone.
    assertThat(world.state.value("run/j-1").has("end")).isFalse();
    old.start();
    second.kill();
    for (Node n : List.of(old, world.nodes.get(3 - old.index - second.index))) {
      assertThat(world.phase(n.index, "j-1")).isIn("cancelled", "status 503");
    }
    world.pass(20);
    assertThat(world.phase(old.index, "j-1")).isEqualTo("cancelled");
  }

  @Test
  void limitsThatFallInAnUnknownCommitLoseNothing() {
    left("j-1", 48, null);
    world.settle(4);
    world.pass(12);
    world.commitFate = Fate.HELD;
    world.running("j-1").get("j-1/5").exit("j-1/5", "done");
    world.running("j-1").get("j-1/6").exit("j-1/6", "error");
    world.pass(4);
    lower();
    world.commitFate = Fate.ARRIVES;
    world.pass(8);
    // The large shard may arrive only now: the parts written since stand above it.
    world.state.lower(8 * 1024, 12, 100);
    world.releaseHeld();
    lower();
    world.pass(4);
    Node old = world.leader();
    old.kill();
    world.pass(25);
    assertThat(world.running("j-1")).hasSize(47).doesNotContainKey("j-1/5");
    world.finish("j-1");
    world.pass(10);
    assertThat(world.endInStore("j-1")).isEqualTo("done");
  }

  @Test
  void oneValueThatCannotBeWrittenHoldsUpNoOther() {
    world.settle(4);
    assertThat(world.submit(0, job("j-1", "array", 1)).status()).isEqualTo(201);
    world.pass(12);
    // Not even one task fits; the others' ends are still to be written.
    assertThat(world.submit(0, job("j-2", "array", 30)).status()).isEqualTo(201);
    world.pass(12);
    world.state.lower(60, 4, 30);
    world.running("j-2").get("j-2/3").exit("j-2/3", "error");
    world.pass(3);
    world.finish("j-1");
    world.pass(6);
    assertThat(world.endInStore("j-1")).isEqualTo("done");
    world.state.lower(1024, 4, 30);
    world.pass(20);
    assertThat(world.running("j-2")).hasSize(30);
  }
}
