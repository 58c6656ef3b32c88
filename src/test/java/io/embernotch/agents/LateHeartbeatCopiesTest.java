package io.embernotch.agents;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Fate;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Copies of heartbeats that arrive from seconds to well over a lease late. */
class LateHeartbeatCopiesTest {
  private final SimulatedCluster world = new SimulatedCluster(3, 100);
  private FakeWorker dead;

  private void service() {
    world.settle(3);
    for (int i = 0; i < 4; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(8);
    assertThat(world.submit(0, job("j-1", "standing", 16)).status()).isEqualTo(201);
    world.pass(12);
    dead = world.running("j-1").get("j-1/0");
  }

  /**
   * Seconds until all replicas are up again, while copies of what the dead machine had said come as
   * long ago as it says.
   */
  private double backAfter(double copiesLateS, Node to) {
    List<byte[]> said = List.copyOf(world.heartbeatsOf(dead.name));
    int next = Math.max(0, said.size() - (int) copiesLateS);
    for (double t = 0; t < 90; t += 0.5) {
      if (world.running("j-1").values().stream().filter(w -> !w.cut).count() == 16) {
        return t;
      }
      if (copiesLateS > 0 && t == Math.floor(t) && next < said.size()) {
        world.late(to.down ? world.other(to) : to, said.get(next++));
      }
      world.pass(0.5);
    }
    return 90;
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(world.broken()).isEmpty();
  }

  private double afterADeath(double copiesLateS) {
    service();
    dead.cut = true;
    return backAfter(copiesLateS, world.other(world.leader()));
  }

  /**
   * Each renewed the lease that was assumed, and kept the services of a dead machine down for as
   * long as copies came.
   */
  @Test
  void copiesOfWhatADeadMachineSaidHoldNothingUp() {
    double without = afterADeath(0);
    LateHeartbeatCopiesTest other = new LateHeartbeatCopiesTest();
    double with = other.afterADeath(40);
    assertThat(other.world.broken()).isEmpty();
    assertThat(with)
        .isLessThanOrEqualTo(
            without + other.world.nodes.get(0).settings.workers().heartbeatIntervalS());
  }

  private double afterATakeover(double copiesLateS) {
    service();
    world.pass(40);
    dead.cut = true;
    Node leader = world.leader();
    leader.kill();
    return backAfter(copiesLateS, world.other(leader));
  }

  /** A new leader first hears of a machine by a copy from 40 s ago, and by others after it. */
  @Test
  void aNewLeaderTakesNoCopyForASignOfLife() {
    double without = afterATakeover(0);
    LateHeartbeatCopiesTest other = new LateHeartbeatCopiesTest();
    double with = other.afterATakeover(40);
    assertThat(other.world.broken()).isEmpty();
    assertThat(with)
        .isLessThanOrEqualTo(without + world.nodes.get(0).settings.workers().heartbeatIntervalS());
  }

  /** A machine that the former leader returned is reported to the next one, by a copy. */
  @Test
  void aCopyOfAReturnedMachineTakesNoWorkForLong() {
    service();
    List<byte[]> said = List.copyOf(world.heartbeatsOf(dead.name));
    world.workers.remove(dead.name);
    world.cloud.deleted.add(dead.name);
    world.pass(60);
    Node leader = world.leader();
    leader.kill();
    world.settle(6);
    Node next = world.leader();
    said.subList(0, 3).forEach(r -> world.late(next, r));
    world.submit(next.index, job("j-2", "array", 24));
    world.pass(15);
    assertThat(world.running("j-2")).hasSize(24);
  }

  /**
   * One machine, and what its worker would have reported in a later session of the life that ends
   * now.
   */
  private byte[] lifeThatEnds(int laterSeq) {
    world.settle(3);
    String name = world.boot("g8", "z1", true);
    world.pass(12);
    dead = world.workers.get(name);
    long seq = dead.seq;
    dead.session = 2;
    byte[] former = dead.heartbeat();
    dead.back(true);
    dead.seq = laterSeq == 0 ? 0 : seq + laterSeq;
    world.directFate = Fate.HELD;
    world.cloud.noBoot = true;
    return former;
  }

  /**
   * Carries out what was held, without an answer, has the copy arrive, and gives the task another
   * place to go to.
   */
  private void carriedOutThenCopied(byte[] former) {
    for (int i = 0; i < 400 && world.heldCount() == 0; i++) {
      world.time.pass(0.02);
    }
    world.releaseHeld();
    assertThat(dead.alive()).hasSize(1);
    world.nodes.forEach(n -> world.late(n, former));
    world.directFate = Fate.ARRIVES;
    world.cloud.noBoot = false;
    world.boot("g8", "z1", true);
    world.pass(20);
  }

  /** The same before the present life has shown any token that only it can have seen. */
  @Test
  void norBeforeThePresentLifeHasShownAToken() {
    byte[] former = lifeThatEnds(0);
    world.submit(0, job("j-4", "array", 1));
    carriedOutThenCopied(former);
  }

  /**
   * The same where nobody has noticed that there was another incarnation, since this one counts on
   * from above it.
   */
  @Test
  void norWhereTheOtherLifeWentUnnoticed() {
    byte[] former = lifeThatEnds(40);
    world.pass(3);
    world.submit(0, job("j-5", "array", 1));
    carriedOutThenCopied(former);
  }

  /**
   * A copy of a machine's former incarnation, with a later session than it has now, proved gone
   * what had just been sent to it and not been answered: it was started elsewhere, and then there
   * too.
   */
  @Test
  void aCopyOfAFormerLifeWithALaterSessionProvesNothing() {
    world.settle(3);
    String name = world.boot("g8", "z1", true);
    world.pass(7);
    FakeWorker w = world.workers.get(name);
    w.cut = true;
    world.pass(12);
    w.cut = false;
    w.session = 4;
    world.pass(4);
    byte[] former = world.heartbeatsOf(name).get(world.heartbeatsOf(name).size() - 1);
    w.back(true);
    world.pass(8);
    world.directFate = Fate.HELD;
    world.submit(0, job("j-3", "array", 4));
    world.pass(4);
    world.directFate = Fate.ARRIVES;
    // Carried out now; its answer goes nowhere.
    world.releaseHeld();
    world.nodes.forEach(n -> world.late(n, former));
    world.pass(0.3);
    world.nodes.forEach(n -> world.late(n, former));
    world.pass(30);
    assertThat(world.running("j-3")).hasSize(4);
  }
}
