package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The meeting before all others: the store refuses the leader alone, another controller confirms
 * cancellations, then the store is away for all for longer than {@code cancel_s} while workers keep
 * reporting to the former leader. What was confirmed is gone in time all the same. {@code
 * -Dmeetings.seeds=N} draws more variants.
 */
class ConfirmedCancellationTest {
  private static final int SEEDS = Integer.getInteger("meetings.seeds", 60);
  private static final int FROM = Integer.getInteger("meetings.from", 1);
  private static final String[] SHAPES = {"array", "group", "standing"};

  /** Jobs that run on machines which all report to the leader. */
  private static ControllerNode busy(SimulatedCluster cluster, int jobs) {
    ControllerNode leader = cluster.awaitLeader(3);
    for (int i = 0; i < 2 * jobs; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(7);
    cluster.workers.values().forEach(w -> w.controllerIndex = leader.index);
    for (int i = 0; i < jobs; i++) {
      String json =
          job("j-" + i, SHAPES[i % 3], 4)
              .replace("\"snapshot_s\":10.0", "\"snapshot_s\":" + (i % 2 == 0 ? "10.0" : "0"));
      assertThat(cluster.submit(i % 3, json).status()).isEqualTo(201);
    }
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-0")).hasSize(4);
    return leader;
  }

  private static List<String> play(long seed, List<Double> waits) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedCluster cluster = new SimulatedCluster(3, 100);
    int jobs = 6;
    ControllerNode former = busy(cluster, jobs);
    double cancelS = former.settings.workers().cancelS();
    // Refused or not answered; unreachable to the others or not; direct commands lost or not.
    former.storeUnavailable = true;
    former.storeUnresponsive = random.nextBoolean();
    former.peersUnreachable = random.nextInt(3) > 0;
    boolean deaf = random.nextInt(3) == 0;
    cluster.faults.commandDelivery = Delivery.values()[random.nextInt(3)];
    double spell = random.nextDouble(30);
    double outage = random.nextDouble(0.5, 2) * cancelS;
    double cancelsFrom = random.nextDouble(spell + 3);
    boolean killed = random.nextBoolean();
    double back = spell + random.nextDouble(outage);
    for (double t = 0; t < spell + outage; t += 0.5) {
      if (t >= spell && !cluster.store.outage && t < spell + 0.5) {
        cluster.store.outage = true;
        if (killed) {
          ControllerNode confirming = cluster.otherNode(former);
          confirming.kill();
          cluster.time.after(3, confirming::start);
        }
        cluster.workers.values().stream().limit(2).forEach(w -> w.inboundPartitioned = deaf);
      }
      if (t >= back && former.storeUnavailable) {
        former.storeUnavailable = false;
        former.peersUnreachable = false;
      }
      if (t >= cancelsFrom && random.nextInt(3) == 0) {
        // Users come again until they are told, at any controller.
        cluster.cancelAsync(random.nextInt(3), "j-" + random.nextInt(jobs));
      }
      cluster.advance(0.5);
    }
    cluster.store.endOutage();
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.workers.values().forEach(w -> w.inboundPartitioned = false);
    cluster.deliverDelayed();
    cluster.advance(15);
    for (int i = 0; i < jobs; i++) {
      cluster.cancelAsync(i % 3, "j-" + i);
    }
    cluster.advance(cancelS + 15);
    List<String> wrong = new ArrayList<>(cluster.violations());
    wrong.addAll(cluster.invariants.startsAfterCancellation());
    waits.addAll(cluster.invariants.cancellationDelays());
    return wrong;
  }

  @Test
  void nothingOutlivesItsConfirmationWhoeverGoesOnRenewing() {
    Map<Long, List<String>> wrong = new TreeMap<>();
    List<Double> waits = new ArrayList<>();
    for (long seed = FROM; seed < FROM + SEEDS; seed++) {
      List<String> found = play(seed, waits);
      if (!found.isEmpty()) {
        wrong.put(seed, found);
      }
    }
    System.out.printf(
        "%d variants, %d cancellations confirmed, %.1f s until then in the mean%n",
        SEEDS, waits.size(), waits.stream().mapToDouble(w -> w).average().orElse(0));
    assertThat(wrong).isEmpty();
    // All of them were asked for, and confirmed in the end.
    assertThat(waits).hasSize(6 * SEEDS);
  }

  /**
   * The operators' case to the second: whoever leads next tells users, and has no means to reach a
   * worker.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void theFormerLeaderKeepsWorkersUnderItsOwnToken(boolean refused) {
    SimulatedCluster cluster = new SimulatedCluster(3, 100);
    ControllerNode former = busy(cluster, 3);
    double cancelS = former.settings.workers().cancelS();
    former.storeUnavailable = true;
    former.storeUnresponsive = !refused;
    former.peersUnreachable = true;
    cluster.faults.commandDelivery = Delivery.LOST;
    double askedAt = cluster.time.now();
    while (!told(cluster, "j-0") && cluster.time.now() - askedAt < former.settings.gracePeriodS()) {
      cluster.cancelAsync(cluster.otherNode(former).index, "j-0");
      cluster.advance(0.5);
    }
    // Not before the former leader's right to renew must be over.
    assertThat(cluster.time.now() - askedAt).isGreaterThan(5);
    cluster.store.outage = true;
    cluster.advance(1.5 * cancelS);
    assertThat(cluster.runningTasks("j-0")).isEmpty();
    assertThat(cluster.violations()).isEmpty();
    cluster.store.endOutage();
    cluster.advance(10);
    assertThat(cluster.violations()).isEmpty();
  }

  private static boolean told(SimulatedCluster cluster, String ref) {
    return "cancelled".equals(cluster.store.finalPhase(ref));
  }

  /**
   * A start whose answer was lost, a machine that hangs: it goes on within its lease, and with what
   * reached it meanwhile.
   */
  @ParameterizedTest
  @CsvSource({"10", "25", "40", "70"})
  void aMachineThatHangsGoesOnWithNothingThatIsCancelled(int hungS) {
    SimulatedCluster cluster = new SimulatedCluster(3, 100);
    ControllerNode leader = busy(cluster, 3);
    List<FakeWorker> hung = cluster.runningTasks("j-0").values().stream().distinct().toList();
    cluster.cancelAsync(leader.index, "j-0");
    hung.forEach(w -> w.hung = true);
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
  void aStartThatIsHeldUpIsNotCarriedOutOnceTheCancellationIsTold(double heldS, boolean hung) {
    SimulatedCluster cluster = new SimulatedCluster(3, 100);
    cluster.awaitLeader(3);
    cluster.nodes.subList(0, 2).forEach(ControllerNode::kill);
    cluster.advance(8);
    cluster.nodes.subList(0, 2).forEach(ControllerNode::start);
    ControllerNode leader = cluster.leader();
    assertThat(leader.index).isEqualTo(2);
    for (int i = 0; i < 4; i++) {
      cluster.boot("g8", "z2", true);
    }
    cluster.advance(12);
    String there = job("j-9", "array", 6).replace("\"room\":null", "\"room\":\"z2\"");
    cluster.faults.commandDelivery = hung ? Delivery.DELIVERED : Delivery.DELAYED;
    cluster.workers.values().forEach(w -> w.hung = hung);
    assertThat(cluster.submit(0, there).status()).isEqualTo(201);
    cluster.advance(0.3);
    for (double s = 0; s < heldS; s += 0.5) {
      cluster.cancelAsync(leader.index, "j-9");
      cluster.advance(0.5);
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
   * The commit of the end gets no answer and is carried out late; another controller reads it from
   * the store and tells it.
   */
  @ParameterizedTest
  @CsvSource({"1", "6"})
  void anEndThatIsCarriedOutLateIsToldOnlyWhereNothingOutlivesIt(int lateS) {
    SimulatedCluster cluster = new SimulatedCluster(3, 100);
    ControllerNode leader = busy(cluster, 3);
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.cancelAsync(leader.index, "j-0");
    cluster.advance(lateS);
    leader.storeUnavailable = true;
    leader.peersUnreachable = true;
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.deliverDelayed();
    for (int s = 0; s < 20; s++) {
      cluster.poll(cluster.otherNode(leader).index, "j-0");
      cluster.advance(0.5);
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
   * The former leader's end is carried out when the next one has read the store; a third controller
   * reads it there.
   */
  @Test
  void anEndOfAFormerLeaderIsNotCarriedOutOnceTheNextHasRead() {
    SimulatedCluster cluster = new SimulatedCluster(3, 100);
    ControllerNode former = busy(cluster, 3);
    cluster.faults.commitDelivery = Delivery.DELAYED;
    cluster.cancelAsync(former.index, "j-0");
    cluster.advance(1);
    former.kill();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    // What ran must not be news to the next leader, or it would write the same key first.
    cluster.workers.values().forEach(w -> w.outboundPartitioned = true);
    ControllerNode next = null;
    while (next == null) {
      cluster.time.advance(0.05);
      next = cluster.leader();
    }
    cluster.advance(0.1);
    cluster.deliverDelayed();
    int leads = next.index;
    cluster.nodes.stream()
        .filter(n -> n.index != leads && n != former)
        .forEach(n -> n.peersUnreachable = true);
    for (int s = 0; s < 10; s++) {
      cluster.nodes.stream().filter(n -> n != former).forEach(n -> cluster.poll(n.index, "j-0"));
      cluster.advance(0.5);
    }
    cluster.nodes.forEach(n -> n.peersUnreachable = false);
    cluster.workers.values().forEach(w -> w.outboundPartitioned = false);
    former.start();
    cluster.advance(next.settings.workers().cancelS() + 10);
    assertThat(cluster.violations()).isEmpty();
  }
}
