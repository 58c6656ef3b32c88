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
  private static final int UNREACHABLE = 10;
  private static final int REPLICAS = 1200;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 1000);
  private final RecordedAnswers answers = new RecordedAnswers(cluster);
  private List<FakeWorker> unreachable = List.of();

  private void startServices() {
    cluster.awaitLeader(3);
    for (int i = 0; i < MACHINES; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    int next = 0;
    for (FakeWorker worker : cluster.workers.values()) {
      worker.controllerIndex = next++ % 3;
    }
    for (int number = 0; number < 12; number++) {
      assertThat(cluster.submit(number % 3, job("j-" + number, "standing", REPLICAS / 12)).status())
          .isEqualTo(201);
      answers.accepted.add("j-" + number);
    }
    cluster.advance(20);
    assertThat(runningReplicas()).isEqualTo(REPLICAS);
    unreachable =
        List.copyOf(cluster.runningTasks("j-0").values()).stream()
            .distinct()
            .limit(UNREACHABLE)
            .toList();
  }

  /** Replicas on machines that are there. */
  private int runningReplicas() {
    return cluster.workers.values().stream()
        .filter(worker -> !worker.partitioned)
        .mapToInt(worker -> worker.runningTasks().size())
        .sum();
  }

  /** The least share of the replicas that was up over any 30 s. */
  private double minRunningShare(double seconds, Runnable each) {
    List<Integer> ups = new ArrayList<>();
    for (double at = 0; at < seconds; at += 1) {
      each.run();
      cluster.advance(1);
      ups.add(Math.min(REPLICAS, runningReplicas()));
    }
    double worst = 1;
    for (int i = 0; i + 30 <= ups.size(); i++) {
      worst =
          Math.min(
              worst,
              ups.subList(i, i + 30).stream().mapToInt(count -> count).average().orElse(0)
                  / REPLICAS);
    }
    return worst;
  }

  private double shareWithInboundPartitions() {
    startServices();
    unreachable.forEach(worker -> worker.inboundPartitioned = true);
    return minRunningShare(120, () -> {});
  }

  @Test
  void inboundPartitionedMachinesCostServicesNoMoreThanLostOnes() {
    double deaf = shareWithInboundPartitions();
    assertThat(cluster.violations()).isEmpty();
    FaultSequencesTest dead = new FaultSequencesTest();
    dead.startServices();
    dead.unreachable.forEach(worker -> worker.partitioned = true);
    double cut = dead.minRunningShare(120, () -> {});
    assertThat(deaf).isGreaterThanOrEqualTo(cut - 0.001);
    assertThat(unreachable.stream().mapToInt(worker -> worker.lostStartCount).sum())
        .isLessThanOrEqualTo(8 * UNREACHABLE);
  }

  /**
   * Deaf machines, copies of all that was reported 40 s ago, the leader alone with its workers, and
   * all back at once.
   */
  @Test
  void combinedFaultsCostNoMoreThanInboundPartitions() {
    startServices();
    cluster.advance(45);
    unreachable.forEach(worker -> worker.inboundPartitioned = true);
    List<FakeWorker> sound =
        cluster.workers.values().stream().filter(worker -> !worker.inboundPartitioned).toList();
    List<Long> sessions = sound.stream().map(worker -> worker.epoch).toList();
    ControllerNode alone = cluster.leader();
    alone.storeUnavailable = true;
    alone.peersUnreachable = true;
    int[] second = new int[1];
    double worst =
        minRunningShare(
            90,
            () -> {
              int s = second[0]++;
              for (FakeWorker worker : List.copyOf(cluster.workers.values())) {
                List<byte[]> heartbeats = cluster.heartbeatsOf(worker.name);
                if (heartbeats.size() > 45) {
                  cluster.deliverHeartbeat(
                      cluster.nodes.get((s + worker.name.hashCode() % 3 + 3) % 3),
                      heartbeats.get(heartbeats.size() - 41));
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
    assertThat(
            sound.stream()
                .filter(cluster.workers::containsValue)
                .map(worker -> worker.epoch)
                .toList())
        .isEqualTo(
            sessions.subList(
                0, (int) sound.stream().filter(cluster.workers::containsValue).count()));
    answers.verifyFinalState();
    assertThat(answers.violations).isEmpty();
  }
}
