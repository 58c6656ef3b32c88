package io.embernotch.agents;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Copies of heartbeats that arrive from seconds to well over a lease late. */
class LateHeartbeatCopiesTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 100);
  private FakeWorker dead;

  private void service() {
    cluster.awaitLeader(3);
    for (int i = 0; i < 4; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    assertThat(cluster.submit(0, job("j-1", "standing", 16)).status()).isEqualTo(201);
    cluster.advance(12);
    dead = cluster.runningTasks("j-1").get("j-1/0");
  }

  /**
   * Seconds until all replicas are up again, while copies of what the dead machine had said come as
   * long ago as it says.
   */
  private double backAfter(double copiesLateS, ControllerNode to) {
    List<byte[]> said = List.copyOf(cluster.heartbeatsOf(dead.name));
    int next = Math.max(0, said.size() - (int) copiesLateS);
    for (double t = 0; t < 90; t += 0.5) {
      if (cluster.runningTasks("j-1").values().stream().filter(w -> !w.partitioned).count() == 16) {
        return t;
      }
      if (copiesLateS > 0 && t == Math.floor(t) && next < said.size()) {
        cluster.deliverHeartbeat(to.down ? cluster.otherNode(to) : to, said.get(next++));
      }
      cluster.advance(0.5);
    }
    return 90;
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(cluster.violations()).isEmpty();
  }

  private double afterADeath(double copiesLateS) {
    service();
    dead.partitioned = true;
    return backAfter(copiesLateS, cluster.otherNode(cluster.leader()));
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
    assertThat(other.cluster.violations()).isEmpty();
    assertThat(with)
        .isLessThanOrEqualTo(
            without + other.cluster.nodes.get(0).settings.workers().heartbeatIntervalS());
  }

  private double afterATakeover(double copiesLateS) {
    service();
    cluster.advance(40);
    dead.partitioned = true;
    ControllerNode leader = cluster.leader();
    leader.kill();
    return backAfter(copiesLateS, cluster.otherNode(leader));
  }

  /** A new leader first hears of a machine by a copy from 40 s ago, and by others after it. */
  @Test
  void aNewLeaderTakesNoCopyForASignOfLife() {
    double without = afterATakeover(0);
    LateHeartbeatCopiesTest other = new LateHeartbeatCopiesTest();
    double with = other.afterATakeover(40);
    assertThat(other.cluster.violations()).isEmpty();
    assertThat(with)
        .isLessThanOrEqualTo(
            without + cluster.nodes.get(0).settings.workers().heartbeatIntervalS());
  }

  /** A machine that the former leader returned is reported to the next one, by a copy. */
  @Test
  void aCopyOfAReturnedMachineTakesNoWorkForLong() {
    service();
    List<byte[]> said = List.copyOf(cluster.heartbeatsOf(dead.name));
    cluster.workers.remove(dead.name);
    cluster.cloud.deleted.add(dead.name);
    cluster.advance(60);
    ControllerNode leader = cluster.leader();
    leader.kill();
    cluster.awaitLeader(6);
    ControllerNode next = cluster.leader();
    said.subList(0, 3).forEach(r -> cluster.deliverHeartbeat(next, r));
    cluster.submit(next.index, job("j-2", "array", 24));
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-2")).hasSize(24);
  }

  /**
   * One machine, and what its worker would have reported in a later session of the life that ends
   * now.
   */
  private byte[] lifeThatEnds(int laterSeq) {
    cluster.awaitLeader(3);
    String name = cluster.boot("g8", "z1", true);
    cluster.advance(12);
    dead = cluster.workers.get(name);
    long seq = dead.sequence;
    dead.epoch = 2;
    byte[] former = dead.heartbeat();
    dead.restart(true);
    dead.sequence = laterSeq == 0 ? 0 : seq + laterSeq;
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.cloud.bootDisabled = true;
    return former;
  }

  /**
   * Carries out what was held, without an answer, has the copy arrive, and gives the task another
   * place to go to.
   */
  private void carriedOutThenCopied(byte[] former) {
    for (int i = 0; i < 400 && cluster.delayedCount() == 0; i++) {
      cluster.time.advance(0.02);
    }
    cluster.deliverDelayed();
    assertThat(dead.runningTasks()).hasSize(1);
    cluster.nodes.forEach(n -> cluster.deliverHeartbeat(n, former));
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.cloud.bootDisabled = false;
    cluster.boot("g8", "z1", true);
    cluster.advance(20);
  }

  /** The same before the present life has shown any token that only it can have seen. */
  @Test
  void norBeforeThePresentLifeHasShownAToken() {
    byte[] former = lifeThatEnds(0);
    cluster.submit(0, job("j-4", "array", 1));
    carriedOutThenCopied(former);
  }

  /**
   * The same where nobody has noticed that there was another incarnation, since this one counts on
   * from above it.
   */
  @Test
  void norWhereTheOtherLifeWentUnnoticed() {
    byte[] former = lifeThatEnds(40);
    cluster.advance(3);
    cluster.submit(0, job("j-5", "array", 1));
    carriedOutThenCopied(former);
  }

  /**
   * A copy of a machine's former incarnation, with a later session than it has now, proved gone
   * what had just been sent to it and not been answered: it was started elsewhere, and then there
   * too.
   */
  @Test
  void aCopyOfAFormerLifeWithALaterSessionProvesNothing() {
    cluster.awaitLeader(3);
    String name = cluster.boot("g8", "z1", true);
    cluster.advance(7);
    FakeWorker w = cluster.workers.get(name);
    w.partitioned = true;
    cluster.advance(12);
    w.partitioned = false;
    w.epoch = 4;
    cluster.advance(4);
    byte[] former = cluster.heartbeatsOf(name).get(cluster.heartbeatsOf(name).size() - 1);
    w.restart(true);
    cluster.advance(8);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.submit(0, job("j-3", "array", 4));
    cluster.advance(4);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    // Carried out now; its answer goes nowhere.
    cluster.deliverDelayed();
    cluster.nodes.forEach(n -> cluster.deliverHeartbeat(n, former));
    cluster.advance(0.3);
    cluster.nodes.forEach(n -> cluster.deliverHeartbeat(n, former));
    cluster.advance(30);
    assertThat(cluster.runningTasks("j-3")).hasSize(4);
  }
}
