package io.embernotch.faultcombinations;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
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
  private static Node busy(SimulatedCluster world, int jobs) {
    Node leader = world.settle(3);
    for (int i = 0; i < 2 * jobs; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(7);
    world.workers.values().forEach(w -> w.node = leader.index);
    for (int i = 0; i < jobs; i++) {
      String json =
          job("j-" + i, SHAPES[i % 3], 4)
              .replace("\"snapshot_s\":10.0", "\"snapshot_s\":" + (i % 2 == 0 ? "10.0" : "0"));
      assertThat(world.submit(i % 3, json).status()).isEqualTo(201);
    }
    world.pass(12);
    assertThat(world.running("j-0")).hasSize(4);
    return leader;
  }

  private static List<String> play(long seed, List<Double> waits) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedCluster world = new SimulatedCluster(3, 100);
    int jobs = 6;
    Node former = busy(world, jobs);
    double cancelS = former.settings.workers().cancelS();
    // Refused or not answered; unreachable to the others or not; direct commands lost or not.
    former.noState = true;
    former.silentState = random.nextBoolean();
    former.noPeers = random.nextInt(3) > 0;
    boolean deaf = random.nextInt(3) == 0;
    world.directFate = Fate.values()[random.nextInt(3)];
    double spell = random.nextDouble(30);
    double outage = random.nextDouble(0.5, 2) * cancelS;
    double cancelsFrom = random.nextDouble(spell + 3);
    boolean killed = random.nextBoolean();
    double back = spell + random.nextDouble(outage);
    for (double t = 0; t < spell + outage; t += 0.5) {
      if (t >= spell && !world.state.outage && t < spell + 0.5) {
        world.state.outage = true;
        if (killed) {
          Node confirming = world.other(former);
          confirming.kill();
          world.time.after(3, confirming::start);
        }
        world.workers.values().stream().limit(2).forEach(w -> w.deaf = deaf);
      }
      if (t >= back && former.noState) {
        former.noState = false;
        former.noPeers = false;
      }
      if (t >= cancelsFrom && random.nextInt(3) == 0) {
        // Users come again until they are told, at any controller.
        world.askCancel(random.nextInt(3), "j-" + random.nextInt(jobs));
      }
      world.pass(0.5);
    }
    world.state.recover();
    world.directFate = Fate.ARRIVES;
    world.workers.values().forEach(w -> w.deaf = false);
    world.releaseHeld();
    world.pass(15);
    for (int i = 0; i < jobs; i++) {
      world.askCancel(i % 3, "j-" + i);
    }
    world.pass(cancelS + 15);
    List<String> wrong = new ArrayList<>(world.broken());
    wrong.addAll(world.rules.startsAfterCancel);
    waits.addAll(world.rules.cancelWaits);
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
    SimulatedCluster world = new SimulatedCluster(3, 100);
    Node former = busy(world, 3);
    double cancelS = former.settings.workers().cancelS();
    former.noState = true;
    former.silentState = !refused;
    former.noPeers = true;
    world.directFate = Fate.LOST;
    double askedAt = world.time.now();
    while (!told(world, "j-0") && world.time.now() - askedAt < former.settings.gracePeriodS()) {
      world.askCancel(world.other(former).index, "j-0");
      world.pass(0.5);
    }
    // Not before the former leader's right to renew must be over.
    assertThat(world.time.now() - askedAt).isGreaterThan(5);
    world.state.outage = true;
    world.pass(1.5 * cancelS);
    assertThat(world.running("j-0")).isEmpty();
    assertThat(world.broken()).isEmpty();
    world.state.recover();
    world.pass(10);
    assertThat(world.broken()).isEmpty();
  }

  private static boolean told(SimulatedCluster world, String ref) {
    return "cancelled".equals(world.endInStore(ref));
  }

  /**
   * A start whose answer was lost, a machine that hangs: it goes on within its lease, and with what
   * reached it meanwhile.
   */
  @ParameterizedTest
  @CsvSource({"10", "25", "40", "70"})
  void aMachineThatHangsGoesOnWithNothingThatIsCancelled(int hungS) {
    SimulatedCluster world = new SimulatedCluster(3, 100);
    Node leader = busy(world, 3);
    List<FakeWorker> hung = world.running("j-0").values().stream().distinct().toList();
    world.askCancel(leader.index, "j-0");
    hung.forEach(w -> w.hung = true);
    for (int s = 0; s < hungS; s++) {
      world.askCancel(world.other(leader).index, "j-0");
      world.pass(1);
    }
    hung.forEach(FakeWorker::goOn);
    world.pass(leader.settings.workers().cancelS() + 10);
    assertThat(world.phase(0, "j-0")).isEqualTo("cancelled");
    assertThat(world.running("j-0")).isEmpty();
    assertThat(world.broken()).isEmpty();
    assertThat(world.rules.startsAfterCancel).isEmpty();
  }

  /**
   * The start is on its way when the cancellation is asked for, and arrives soon, seconds or
   * minutes later. The leader is the only controller of its zone, so that nobody else may renew
   * there and the workers' leases alone would bound it.
   */
  @ParameterizedTest
  @CsvSource({"0.5,false", "1.2,false", "8,false", "45,false", "0.5,true", "8,true"})
  void aStartThatIsHeldUpIsNotCarriedOutOnceTheCancellationIsTold(double heldS, boolean hung) {
    SimulatedCluster world = new SimulatedCluster(3, 100);
    world.settle(3);
    world.nodes.subList(0, 2).forEach(Node::kill);
    world.pass(8);
    world.nodes.subList(0, 2).forEach(Node::start);
    Node leader = world.leader();
    assertThat(leader.index).isEqualTo(2);
    for (int i = 0; i < 4; i++) {
      world.boot("g8", "z2", true);
    }
    world.pass(12);
    String there = job("j-9", "array", 6).replace("\"room\":null", "\"room\":\"z2\"");
    world.directFate = hung ? Fate.ARRIVES : Fate.HELD;
    world.workers.values().forEach(w -> w.hung = hung);
    assertThat(world.submit(0, there).status()).isEqualTo(201);
    world.pass(0.3);
    for (double s = 0; s < heldS; s += 0.5) {
      world.askCancel(leader.index, "j-9");
      world.pass(0.5);
    }
    world.directFate = Fate.ARRIVES;
    world.releaseHeld();
    world.workers.values().forEach(FakeWorker::goOn);
    for (int s = 0; s < 40; s++) {
      world.askCancel(leader.index, "j-9");
      world.pass(1);
    }
    assertThat(world.phase(1, "j-9")).isEqualTo("cancelled");
    assertThat(world.rules.startsAfterCancel).isEmpty();
    assertThat(world.broken()).isEmpty();
  }

  /**
   * The commit of the end gets no answer and is carried out late; another controller reads it from
   * the store and tells it.
   */
  @ParameterizedTest
  @CsvSource({"1", "6"})
  void anEndThatIsCarriedOutLateIsToldOnlyWhereNothingOutlivesIt(int lateS) {
    SimulatedCluster world = new SimulatedCluster(3, 100);
    Node leader = busy(world, 3);
    world.commitFate = Fate.HELD;
    world.askCancel(leader.index, "j-0");
    world.pass(lateS);
    leader.noState = true;
    leader.noPeers = true;
    world.commitFate = Fate.ARRIVES;
    world.releaseHeld();
    for (int s = 0; s < 20; s++) {
      world.poll(world.other(leader).index, "j-0");
      world.pass(0.5);
    }
    world.state.outage = true;
    world.pass(1.5 * leader.settings.workers().cancelS());
    world.state.recover();
    leader.noState = false;
    leader.noPeers = false;
    world.pass(20);
    world.askCancel(0, "j-0");
    world.pass(leader.settings.workers().cancelS());
    assertThat(world.phase(0, "j-0")).isEqualTo("cancelled");
    assertThat(world.broken()).isEmpty();
  }

  /**
   * The former leader's end is carried out when the next one has read the store; a third controller
   * reads it there.
   */
  @Test
  void anEndOfAFormerLeaderIsNotCarriedOutOnceTheNextHasRead() {
    SimulatedCluster world = new SimulatedCluster(3, 100);
    Node former = busy(world, 3);
    world.commitFate = Fate.HELD;
    world.askCancel(former.index, "j-0");
    world.pass(1);
    former.kill();
    world.commitFate = Fate.ARRIVES;
    // What ran must not be news to the next leader, or it would write the same key first.
    world.workers.values().forEach(w -> w.mute = true);
    Node next = null;
    while (next == null) {
      world.time.pass(0.05);
      next = world.leader();
    }
    world.pass(0.1);
    world.releaseHeld();
    int leads = next.index;
    world.nodes.stream()
        .filter(n -> n.index != leads && n != former)
        .forEach(n -> n.noPeers = true);
    for (int s = 0; s < 10; s++) {
      world.nodes.stream().filter(n -> n != former).forEach(n -> world.poll(n.index, "j-0"));
      world.pass(0.5);
    }
    world.nodes.forEach(n -> n.noPeers = false);
    world.workers.values().forEach(w -> w.mute = false);
    former.start();
    world.pass(next.settings.workers().cancelS() + 10);
    assertThat(world.broken()).isEmpty();
  }
}
