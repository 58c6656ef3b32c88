package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.inZone;
import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.shapeOf;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SeedRange;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The store refuses the leader alone, another controller confirms cancellations, then the store is
 * away for all for longer than {@code cancel_s} while workers keep sending heartbeats to the former
 * leader. What was confirmed is gone in time all the same. {@code -Dfaultcombinations.seeds=N}
 * draws more variants.
 */
class ConfirmedCancellationTest {
  private static final SeedRange SEEDS = SeedRange.fromProperties("faultcombinations", 60);
  private static final int RANDOMIZED_JOBS = 6;
  private static final double STEP_S = 0.5;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 100);

  /** Starts jobs on machines that all send their heartbeats to the leader, and returns it. */
  private static ControllerNode startJobs(SimulatedCluster cluster, int jobs) {
    ControllerNode leader = cluster.awaitLeader(3);
    for (int i = 0; i < 2 * jobs; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(7);
    cluster.workers.values().forEach(worker -> worker.controllerIndex = leader.index);
    for (int i = 0; i < jobs; i++) {
      String json =
          job("j-" + i, shapeOf(i), 4)
              .replace("\"snapshot_s\":10.0", "\"snapshot_s\":" + (i % 2 == 0 ? "10.0" : "0"));
      assertThat(cluster.submit(i % 3, json).status()).isEqualTo(201);
    }
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-0")).hasSize(4);
    return leader;
  }

  /** A variant that is drawn by a seed. */
  private static final class RandomizedRun {
    private final SplittableRandom random;
    private final SimulatedCluster cluster = new SimulatedCluster(3, 100);
    private final ControllerNode former = startJobs(cluster, RANDOMIZED_JOBS);
    private final double cancelS = former.settings.workers().cancelS();

    RandomizedRun(long seed) {
      random = new SplittableRandom(seed);
    }

    /** The violations; the delays until each confirmation are added to {@code delays}. */
    List<String> violations(List<Double> delays) {
      // Refused or not answered; unreachable to the others or not; direct commands lost or not.
      former.storeUnavailable = true;
      former.storeUnresponsive = random.nextBoolean();
      former.peersUnreachable = random.nextInt(3) > 0;
      boolean inboundPartitioned = random.nextInt(3) == 0;
      cluster.faults.commandDelivery = Delivery.draw(random);
      double outageAt = random.nextDouble(30);
      double outageS = random.nextDouble(0.5, 2) * cancelS;
      double cancelsFrom = random.nextDouble(outageAt + 3);
      boolean confirmingControllerEnds = random.nextBoolean();
      double leaderServedAt = outageAt + random.nextDouble(outageS);
      for (double at = 0; at < outageAt + outageS; at += STEP_S) {
        if (at >= outageAt && !cluster.store.outage && at < outageAt + STEP_S) {
          beginOutage(confirmingControllerEnds, inboundPartitioned);
        }
        if (at >= leaderServedAt && former.storeUnavailable) {
          former.storeUnavailable = false;
          former.peersUnreachable = false;
        }
        if (at >= cancelsFrom && random.nextInt(3) == 0) {
          // Users come again until the cancellation is confirmed, at any controller.
          cluster.cancelAsync(random.nextInt(3), "j-" + random.nextInt(RANDOMIZED_JOBS));
        }
        cluster.advance(STEP_S);
      }
      recoverAndCancelAll();
      List<String> violations = new ArrayList<>(cluster.violations());
      violations.addAll(cluster.invariants.startsAfterCancellation());
      delays.addAll(cluster.invariants.cancellationDelays());
      return violations;
    }

    private void beginOutage(boolean confirmingControllerEnds, boolean inboundPartitioned) {
      cluster.store.outage = true;
      if (confirmingControllerEnds) {
        cluster.restartAfter(cluster.otherNode(former), 3);
      }
      cluster.workers.values().stream()
          .limit(2)
          .forEach(worker -> worker.inboundPartitioned = inboundPartitioned);
    }

    private void recoverAndCancelAll() {
      cluster.store.endOutage();
      cluster.faults.commandDelivery = Delivery.DELIVERED;
      cluster.workers.values().forEach(worker -> worker.inboundPartitioned = false);
      cluster.deliverDelayed();
      cluster.advance(15);
      for (int i = 0; i < RANDOMIZED_JOBS; i++) {
        cluster.cancelAsync(i % 3, "j-" + i);
      }
      cluster.advance(cancelS + 15);
    }
  }

  @Test
  void noTaskOutlivesItsConfirmedCancellation() {
    List<Double> delays = new ArrayList<>();
    Map<Long, List<String>> violations =
        SEEDS.violations(seed -> new RandomizedRun(seed).violations(delays));
    System.out.printf(
        "%d variants, %d cancellations confirmed, %.1f s until then in the mean%n",
        SEEDS.count(),
        delays.size(),
        delays.stream().mapToDouble(delay -> delay).average().orElse(0));
    assertThat(violations).isEmpty();
    // All of them were asked for, and confirmed in the end.
    assertThat(delays).hasSize(RANDOMIZED_JOBS * SEEDS.count());
  }

  /**
   * The operators' case to the second: the next leader confirms to users, and has no means to reach
   * a worker.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void formerLeaderKeepsRenewingWorkersUnderItsOwnToken(boolean refused) {
    ControllerNode former = startJobs(cluster, 3);
    double cancelS = former.settings.workers().cancelS();
    former.storeUnavailable = true;
    former.storeUnresponsive = !refused;
    former.peersUnreachable = true;
    cluster.faults.commandDelivery = Delivery.LOST;
    double requestedAt = cluster.time.now();
    while (!"cancelled".equals(cluster.store.finalPhase("j-0"))
        && cluster.time.now() - requestedAt < former.settings.gracePeriodS()) {
      cluster.cancelAsync(cluster.otherNode(former).index, "j-0");
      cluster.advance(STEP_S);
    }
    // Not before the former leader's right to renew must be over.
    assertThat(cluster.time.now() - requestedAt).isGreaterThan(5);
    cluster.store.outage = true;
    cluster.advance(1.5 * cancelS);
    assertThat(cluster.runningTasks("j-0")).isEmpty();
    assertThat(cluster.violations()).isEmpty();
    cluster.store.endOutage();
    cluster.advance(10);
    assertThat(cluster.violations()).isEmpty();
  }

  /** A hung machine resumes within its lease, and with the commands that reached it meanwhile. */
  @ParameterizedTest
  @CsvSource({"10", "25", "40", "70"})
  void hungMachineResumesWithNothingThatIsCancelled(int hungS) {
    ControllerNode leader = startJobs(cluster, 3);
    List<FakeWorker> hung = cluster.runningTasks("j-0").values().stream().distinct().toList();
    cluster.cancelAsync(leader.index, "j-0");
    hung.forEach(worker -> worker.hung = true);
    for (int s = 0; s < hungS; s++) {
      cluster.cancelAsync(cluster.otherNode(leader).index, "j-0");
      cluster.advance(1);
    }
    hung.forEach(FakeWorker::resume);
    cluster.advance(leader.settings.workers().cancelS() + 10);
    assertThat(cluster.phase(0, "j-0")).isEqualTo("cancelled");
    assertThat(cluster.runningTasks("j-0")).isEmpty();
    assertThat(cluster.violations()).isEmpty();
    assertThat(cluster.invariants.startsAfterCancellation()).isEmpty();
  }

  /**
   * The start is on its way when the cancellation is asked for, and arrives soon, seconds or
   * minutes later. The leader is the only controller of its zone, so that nobody else may renew
   * there and the workers' leases alone would bound it.
   */
  @ParameterizedTest
  @CsvSource({"0.5,false", "1.2,false", "8,false", "45,false", "0.5,true", "8,true"})
  void delayedStartIsNotCarriedOutAfterTheCancellation(double delayS, boolean hung) {
    cluster.awaitLeader(3);
    cluster.nodes.subList(0, 2).forEach(ControllerNode::kill);
    cluster.advance(8);
    cluster.nodes.subList(0, 2).forEach(ControllerNode::start);
    ControllerNode leader = cluster.leader();
    assertThat(leader.index).isEqualTo(2);
    for (int i = 0; i < 4; i++) {
      cluster.bootMachine("g8", "z2", true);
    }
    cluster.advance(12);
    cluster.faults.commandDelivery = hung ? Delivery.DELIVERED : Delivery.DELAYED;
    cluster.workers.values().forEach(worker -> worker.hung = hung);
    assertThat(cluster.submit(0, inZone(job("j-9", "array", 6), "z2")).status()).isEqualTo(201);
    cluster.advance(0.3);
    for (double s = 0; s < delayS; s += STEP_S) {
      cluster.cancelAsync(leader.index, "j-9");
      cluster.advance(STEP_S);
    }
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.deliverDelayed();
    cluster.workers.values().forEach(FakeWorker::resume);
    for (int s = 0; s < 40; s++) {
      cluster.cancelAsync(leader.index, "j-9");
      cluster.advance(1);
    }
    assertThat(cluster.phase(1, "j-9")).isEqualTo("cancelled");
    assertThat(cluster.invariants.startsAfterCancellation()).isEmpty();
    assertThat(cluster.violations()).isEmpty();
  }

  /**
   * The commit of the cancellation gets no response and is carried out late; another controller
   * reads it from the store and confirms it.
   */
  @ParameterizedTest
  @CsvSource({"1", "6"})
  void lateCommitIsConfirmedOnlyWhereNoTaskOutlivesIt(int delayS) {
    ControllerNode leader = startJobs(cluster, 3);
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.cancelAsync(leader.index, "j-0");
    cluster.advance(delayS);
    leader.storeUnavailable = true;
    leader.peersUnreachable = true;
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.deliverDelayed();
    for (int i = 0; i < 20; i++) {
      cluster.poll(cluster.otherNode(leader).index, "j-0");
      cluster.advance(STEP_S);
    }
    cluster.store.outage = true;
    cluster.advance(1.5 * leader.settings.workers().cancelS());
    cluster.store.endOutage();
    leader.storeUnavailable = false;
    leader.peersUnreachable = false;
    cluster.advance(20);
    cluster.cancelAsync(0, "j-0");
    cluster.advance(leader.settings.workers().cancelS());
    assertThat(cluster.phase(0, "j-0")).isEqualTo("cancelled");
    assertThat(cluster.violations()).isEmpty();
  }

  /**
   * The former leader's commit arrives when the next leader has read the store; a third controller
   * reads there.
   */
  @Test
  void commitOfAFormerLeaderIsRefusedOnceTheNextHasRead() {
    ControllerNode former = startJobs(cluster, 3);
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.cancelAsync(former.index, "j-0");
    cluster.advance(1);
    former.kill();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    // What ran must not be reported to the next leader, or it would write the same key first.
    cluster.workers.values().forEach(worker -> worker.outboundPartitioned = true);
    ControllerNode next = null;
    while (next == null) {
      cluster.time.advance(0.05);
      next = cluster.leader();
    }
    cluster.advance(0.1);
    cluster.deliverDelayed();
    cluster.nodes.get(3 - former.index - next.index).peersUnreachable = true;
    for (int i = 0; i < 10; i++) {
      cluster.nodes.stream()
          .filter(node -> node != former)
          .forEach(node -> cluster.poll(node.index, "j-0"));
      cluster.advance(STEP_S);
    }
    cluster.nodes.forEach(node -> node.peersUnreachable = false);
    cluster.workers.values().forEach(worker -> worker.outboundPartitioned = false);
    former.start();
    cluster.advance(next.settings.workers().cancelS() + 10);
    assertThat(cluster.violations()).isEmpty();
  }
}
