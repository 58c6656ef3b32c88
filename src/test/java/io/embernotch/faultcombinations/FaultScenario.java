package io.embernotch.faultcombinations;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.settings.Settings;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Three controllers, what their users were told, and the end that every meeting of troubles has in
 * common.
 */
final class FaultScenario {
  /** So long after the last trouble everything is expected to run again. */
  private static final double RECOVERY_S = 20;

  /** Longer than a job may wait beside room for it. */
  private static final double QUIET_S = 100;

  final SimulatedCluster cluster;
  final RecordedAnswers answers;

  FaultScenario(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.answers = new RecordedAnswers(cluster);
  }

  /** Teams may use a good deal more than most histories need. */
  static FaultScenario large() {
    return new FaultScenario(new SimulatedCluster(3, 10));
  }

  /** The same with troubles that are drawn by a seed. */
  static FaultScenario withRandomFaults(long seed) {
    FaultScenario s = large();
    s.cluster.faults.random = new SplittableRandom(seed);
    return s;
  }

  Settings settings() {
    return cluster.nodes.get(0).settings;
  }

  double cancelS() {
    return settings().workers().cancelS();
  }

  double leaseS() {
    return settings().workers().leaseS();
  }

  /** Machines on which tasks of a job run. */
  List<FakeWorker> machinesOf(String ref) {
    return cluster.runningTasks(ref).values().stream().distinct().toList();
  }

  /** How often tasks of a job were started on the machines that are there. */
  long startCount(String ref) {
    return cluster.workers.values().stream()
        .flatMap(w -> w.startedAttempts.stream())
        .filter(s -> s.startsWith(ref + "/"))
        .count();
  }

  /** Asks for a job's state at every node in turn, {@code everyS} apart. */
  void pollAllNodes(String ref, double forS, double everyS) {
    int node = 0;
    for (double at = 0; at < forS; at += everyS) {
      int asked = node++ % cluster.nodes.size();
      cluster.time.after(at, () -> cluster.pollAsync(asked, ref));
    }
  }

  /**
   * Asks for a cancellation, at another node each time, until it is confirmed or the time is out.
   */
  void cancelUntilConfirmed(String ref, int firstNode, double forS) {
    for (int i = 0; i < forS; i++) {
      int node = (firstNode + i) % cluster.nodes.size();
      cluster.time.after(i, () -> cluster.cancelAsync(node, ref));
    }
  }

  /** Ends all troubles. */
  void endAllFaults() {
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.faults.delayFrames = false;
    cluster.faults.delayedCommitShare = 0;
    cluster.faults.duplicatedHeartbeatShare = 0;
    cluster.faults.delayedCommandShare = 0;
    cluster.faults.lostCommitResponseShare = 0;
    cluster.faults.lostReadShare = 0;
    cluster.faults.replayedHeartbeatShare = 0;
    cluster.faults.storeLatencyS = 0;
    cluster.faults.maxUserDelayS = 0;
    cluster.faults.partitionedZone = null;
    cluster.cloud.down = false;
    if (cluster.store.outage) {
      cluster.store.endOutage();
    }
    cluster.nodes.forEach(
        n -> {
          n.storeUnavailable =
              n.peersUnreachable = n.workersUnreachable = n.storeUnresponsive = false;
          if (n.down) {
            n.start();
          }
        });
    cluster
        .workers
        .values()
        .forEach(
            w -> {
              w.partitioned = w.inboundPartitioned = w.outboundPartitioned = false;
              w.resume();
            });
    cluster.deliverDelayed();
  }

  /**
   * Troubles are over: all that was accepted is answered for, nothing waits beside room, and no
   * rule was broken.
   */
  void verifyRecovery() {
    endAllFaults();
    cluster.advance(RECOVERY_S);
    cluster.invariants.faultsOver = true;
    cluster.advance(QUIET_S);
    answers.verifyFinalState();
    assertThat(answers.violations).isEmpty();
    assertThat(cluster.violations()).isEmpty();
    assertThat(cluster.invariants.startsAfterCancellation()).isEmpty();
  }
}
