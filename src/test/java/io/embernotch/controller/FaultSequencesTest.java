package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Three hundred machines: what is hard to tell from the outside, alone and all together. */
class FaultSequencesTest {
  private static final int MACHINES = 300;
  private static final int DEAF = 10;
  private static final int REPLICAS = 1200;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 1000);
  private final RecordedAnswers answers = new RecordedAnswers(cluster);
  private List<FakeWorker> hit = List.of();

  private void services() {
    cluster.awaitLeader(3);
    for (int i = 0; i < MACHINES; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    int next = 0;
    for (FakeWorker w : cluster.workers.values()) {
      w.controllerIndex = next++ % 3;
    }
    for (int j = 0; j < 12; j++) {
      assertThat(cluster.submit(j % 3, job("j-" + j, "standing", REPLICAS / 12)).status())
          .isEqualTo(201);
      answers.accepted.add("j-" + j);
    }
    cluster.advance(20);
    assertThat(up()).isEqualTo(REPLICAS);
    hit =
        List.copyOf(cluster.runningTasks("j-0").values()).stream().distinct().limit(DEAF).toList();
  }

  /** Replicas on machines that are there. */
  private int up() {
    return cluster.workers.values().stream()
        .filter(w -> !w.partitioned)
        .mapToInt(w -> w.runningTasks().size())
        .sum();
  }

  /** The least share of the replicas that was up over any 30 s. */
  private double worstHalfMinute(double seconds, Runnable each) {
    List<Integer> ups = new ArrayList<>();
    for (double t = 0; t < seconds; t += 1) {
      each.run();
      cluster.advance(1);
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
    hit.forEach(w -> w.inboundPartitioned = true);
    return worstHalfMinute(120, () -> {});
  }

  @Test
  void deafMachinesCostServicesNoMoreThanDeadOnes() {
    double deaf = withDeaf();
    assertThat(cluster.violations()).isEmpty();
    FaultSequencesTest dead = new FaultSequencesTest();
    dead.services();
    dead.hit.forEach(w -> w.partitioned = true);
    double cut = dead.worstHalfMinute(120, () -> {});
    assertThat(deaf).isGreaterThanOrEqualTo(cut - 0.001);
    assertThat(hit.stream().mapToInt(w -> w.lostStartCount).sum()).isLessThanOrEqualTo(8 * DEAF);
  }

  /**
   * Deaf machines, copies of all that was reported 40 s ago, the leader alone with its workers, and
   * all back at once.
   */
  @Test
  void allTogetherCostWhatTheDeafMachinesCost() {
    services();
    cluster.advance(45);
    hit.forEach(w -> w.inboundPartitioned = true);
    List<FakeWorker> sound =
        cluster.workers.values().stream().filter(w -> !w.inboundPartitioned).toList();
    List<Long> sessions = sound.stream().map(w -> w.epoch).toList();
    ControllerNode alone = cluster.leader();
    alone.storeUnavailable = true;
    alone.peersUnreachable = true;
    int[] second = new int[1];
    double worst =
        worstHalfMinute(
            90,
            () -> {
              int s = second[0]++;
              for (FakeWorker w : List.copyOf(cluster.workers.values())) {
                List<byte[]> said = cluster.heartbeatsOf(w.name);
                if (said.size() > 45) {
                  cluster.deliverHeartbeat(
                      cluster.nodes.get((s + w.name.hashCode() % 3 + 3) % 3),
                      said.get(said.size() - 41));
                }
              }
              if (s == 60) {
                alone.storeUnavailable = false;
                alone.peersUnreachable = false;
              }
              if (s % 20 == 19) {
                cluster.nodes.forEach(ControllerNode::kill);
                cluster.advance(0.2);
                cluster.nodes.forEach(ControllerNode::start);
              }
            });
    assertThat(worst).isGreaterThan(0.95);
    cluster.advance(60);
    assertThat(sound.stream().filter(cluster.workers::containsValue).map(w -> w.epoch).toList())
        .isEqualTo(
            sessions.subList(
                0, (int) sound.stream().filter(cluster.workers::containsValue).count()));
    answers.verifyFinalState();
    assertThat(answers.violations).isEmpty();
  }
}
