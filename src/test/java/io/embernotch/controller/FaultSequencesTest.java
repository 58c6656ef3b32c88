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

/** Faults that are hard to detect, alone and combined, in a cluster of 300 machines. */
class FaultSequencesTest {
  private static final int MACHINES = 300;
  private static final int UNREACHABLE_MACHINES = 10;
  private static final int SERVICES = 12;
  private static final int REPLICAS = 1200;

  /** Length of the window over which the number of running replicas is averaged, in seconds. */
  private static final int WINDOW_S = 30;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 1000);
  private final RecordedAnswers answers = new RecordedAnswers(cluster);
  private List<FakeWorker> unreachableMachines = List.of();

  private void startServices() {
    cluster.awaitLeader(3);
    for (int i = 0; i < MACHINES; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    int nextController = 0;
    for (FakeWorker worker : cluster.workers.values()) {
      worker.controllerIndex = nextController++ % 3;
    }
    for (int i = 0; i < SERVICES; i++) {
      String json = job("j-" + i, "standing", REPLICAS / SERVICES);
      assertThat(cluster.submit(i % 3, json).status()).isEqualTo(201);
      answers.accepted.add("j-" + i);
    }
    cluster.advance(20);
    assertThat(runningReplicas()).isEqualTo(REPLICAS);
    unreachableMachines =
        cluster.runningTasks("j-0").values().stream()
            .distinct()
            .limit(UNREACHABLE_MACHINES)
            .toList();
  }

  /** Number of running replicas on machines that are not partitioned. */
  private int runningReplicas() {
    return cluster.workers.values().stream()
        .filter(worker -> !worker.partitioned)
        .mapToInt(worker -> worker.runningTasks().size())
        .sum();
  }

  /**
   * Returns the lowest share of the replicas that ran, averaged over {@link #WINDOW_S}.
   *
   * @param eachSecond run at the beginning of each second
   */
  private double minRunningShare(double durationS, Runnable eachSecond) {
    List<Integer> running = new ArrayList<>();
    for (double elapsedS = 0; elapsedS < durationS; elapsedS += 1) {
      eachSecond.run();
      cluster.advance(1);
      running.add(Math.min(REPLICAS, runningReplicas()));
    }
    double lowestShare = 1;
    for (int from = 0; from + WINDOW_S <= running.size(); from++) {
      List<Integer> window = running.subList(from, from + WINDOW_S);
      double mean = window.stream().mapToInt(count -> count).average().orElse(0);
      lowestShare = Math.min(lowestShare, mean / REPLICAS);
    }
    return lowestShare;
  }

  @Test
  void inboundPartitionsStopNoMoreReplicasThanLostMachines() {
    startServices();
    unreachableMachines.forEach(worker -> worker.inboundPartitioned = true);
    double shareWithInboundPartitions = minRunningShare(120, () -> {});
    assertThat(cluster.violations()).isEmpty();
    FaultSequencesTest lostMachinesTest = new FaultSequencesTest();
    lostMachinesTest.startServices();
    lostMachinesTest.unreachableMachines.forEach(worker -> worker.partitioned = true);
    double shareWithLostMachines = lostMachinesTest.minRunningShare(120, () -> {});
    assertThat(shareWithInboundPartitions).isGreaterThanOrEqualTo(shareWithLostMachines - 0.001);
    assertThat(unreachableMachines.stream().mapToInt(worker -> worker.lostStartCount).sum())
        .isLessThanOrEqualTo(8 * UNREACHABLE_MACHINES);
  }

  /**
   * Combines inbound-partitioned machines, copies of all heartbeats from 40 s earlier, a leader
   * that only its workers can reach, and restarts of all controllers.
   */
  @Test
  void combinedFaultsStopFewReplicasAndExpireNoLease() {
    startServices();
    cluster.advance(45);
    unreachableMachines.forEach(worker -> worker.inboundPartitioned = true);
    List<FakeWorker> healthy =
        cluster.workers.values().stream().filter(worker -> !worker.inboundPartitioned).toList();
    List<Long> epochs = healthy.stream().map(worker -> worker.epoch).toList();
    ControllerNode isolated = cluster.leader();
    isolated.storeUnavailable = true;
    isolated.peersUnreachable = true;
    int[] second = new int[1];
    assertThat(minRunningShare(90, () -> injectCombinedFaults(second[0]++, isolated)))
        .isGreaterThan(0.95);
    cluster.advance(60);
    List<FakeWorker> remaining = healthy.stream().filter(cluster.workers::containsValue).toList();
    assertThat(remaining.stream().map(worker -> worker.epoch).toList())
        .isEqualTo(epochs.subList(0, remaining.size()));
    answers.verifyFinalState();
    assertThat(answers.violations).isEmpty();
  }

  private void injectCombinedFaults(int second, ControllerNode isolated) {
    for (FakeWorker worker : List.copyOf(cluster.workers.values())) {
      List<byte[]> heartbeats = cluster.heartbeatsOf(worker.name);
      if (heartbeats.size() > 45) {
        int node = Math.floorMod(second + worker.name.hashCode() % 3, 3);
        cluster.deliverHeartbeat(cluster.nodes.get(node), heartbeats.get(heartbeats.size() - 41));
      }
    }
    if (second == 60) {
      isolated.storeUnavailable = false;
      isolated.peersUnreachable = false;
    }
    if (second % 20 == 19) {
      cluster.nodes.forEach(ControllerNode::kill);
      cluster.advance(0.2);
      cluster.nodes.forEach(ControllerNode::start);
    }
  }
}
