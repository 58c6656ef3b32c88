package io.embernotch.controller;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Three hundred machines: what is hard to tell from the outside, alone and all together. */
class FaultSequencesTest {
  private static final int MACHINES = 300;
  private static final int DEAF = 10;
  private static final int REPLICAS = 1200;

  private final SimulatedCluster world = new SimulatedCluster(3, 1000);
  private final RecordedAnswers told = new RecordedAnswers(world);
  private List<FakeWorker> hit = List.of();

  private void services() {
    world.settle(3);
    for (int i = 0; i < MACHINES; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(8);
    int next = 0;
    for (FakeWorker w : world.workers.values()) {
      w.node = next++ % 3;
    }
    for (int j = 0; j < 12; j++) {
      assertThat(world.submit(j % 3, job("j-" + j, "standing", REPLICAS / 12)).status())
          .isEqualTo(201);
      told.accepted.add("j-" + j);
    }
    world.pass(20);
    assertThat(up()).isEqualTo(REPLICAS);
    hit = List.copyOf(world.running("j-0").values()).stream().distinct().limit(DEAF).toList();
  }

  /** Replicas on machines that are there. */
  private int up() {
    return world.workers.values().stream()
        .filter(w -> !w.cut)
        .mapToInt(w -> w.alive().size())
        .sum();
  }

  /** The least share of the replicas that was up over any 30 s. */
  private double worstHalfMinute(double seconds, Runnable each) {
    List<Integer> ups = new ArrayList<>();
    for (double t = 0; t < seconds; t += 1) {
      each.run();
      world.pass(1);
      ups.add(Math.min(REPLICAS, up()));
    }
    double worst = 1;
    for (int i = 0; i + 30 <= ups.size(); i++) {
      worst =
          Math.min(
              worst,
              ups.subList(i, i + 30).stream().mapToInt(u -> u).average().orElse(0) / REPLICAS);
    }
    return worst;
  }

  private double withDeaf() {
    services();
    hit.forEach(w -> w.deaf = true);
    return worstHalfMinute(120, () -> {});
  }

  @Test
  void deafMachinesCostServicesNoMoreThanDeadOnes() {
    double deaf = withDeaf();
    assertThat(world.broken()).isEmpty();
    FaultSequencesTest dead = new FaultSequencesTest();
    dead.services();
    dead.hit.forEach(w -> w.cut = true);
    double cut = dead.worstHalfMinute(120, () -> {});
    assertThat(deaf).isGreaterThanOrEqualTo(cut - 0.001);
    assertThat(hit.stream().mapToInt(w -> w.startsLost).sum()).isLessThanOrEqualTo(8 * DEAF);
  }

  /**
   * Deaf machines, copies of all that was reported 40 s ago, the leader alone with its workers, and
   * all back at once.
   */
  @Test
  void allTogetherCostWhatTheDeafMachinesCost() {
    services();
    world.pass(45);
    hit.forEach(w -> w.deaf = true);
    List<FakeWorker> sound = world.workers.values().stream().filter(w -> !w.deaf).toList();
    List<Long> sessions = sound.stream().map(w -> w.session).toList();
    Node alone = world.leader();
    alone.noState = true;
    alone.noPeers = true;
    int[] second = new int[1];
    double worst =
        worstHalfMinute(
            90,
            () -> {
              int s = second[0]++;
              for (FakeWorker w : List.copyOf(world.workers.values())) {
                List<byte[]> said = world.heartbeatsOf(w.name);
                if (said.size() > 45) {
                  world.late(
                      world.nodes.get((s + w.name.hashCode() % 3 + 3) % 3),
                      said.get(said.size() - 41));
                }
              }
              if (s == 60) {
                alone.noState = false;
                alone.noPeers = false;
              }
              if (s % 20 == 19) {
                world.nodes.forEach(Node::kill);
                world.pass(0.2);
                world.nodes.forEach(Node::start);
              }
            });
    assertThat(worst).isGreaterThan(0.95);
    world.pass(60);
    assertThat(sound.stream().filter(world.workers::containsValue).map(w -> w.session).toList())
        .isEqualTo(
            sessions.subList(0, (int) sound.stream().filter(world.workers::containsValue).count()));
    told.atTheEnd();
    assertThat(told.wrong).isEmpty();
  }
}
