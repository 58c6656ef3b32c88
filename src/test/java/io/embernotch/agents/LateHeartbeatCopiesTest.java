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

/** Tests copies of heartbeats that arrive late, from seconds to well over a lease. */
class LateHeartbeatCopiesTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 100);
  private FakeWorker dead;

  private void startService() {
    cluster.awaitLeader(3);
    for (int i = 0; i < 4; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    assertThat(cluster.submit(0, job("j-1", "standing", 16)).status()).isEqualTo(201);
    cluster.advance(12);
    dead = cluster.runningTasks("j-1").get("j-1/0");
  }

  /**
   * Returns the seconds until all replicas run again, while copies of the dead machine's heartbeats
   * arrive {@code copiesLateS} seconds late; no copies arrive if it is 0.
   */
  private double recoveryS(double copiesLateS, ControllerNode to) {
    List<byte[]> heartbeats = List.copyOf(cluster.heartbeatsOf(dead.name));
    int next = Math.max(0, heartbeats.size() - (int) copiesLateS);
    for (double t = 0; t < 90; t += 0.5) {
      if (cluster.runningTasks("j-1").values().stream()
              .filter(worker -> !worker.partitioned)
              .count()
          == 16) {
        return t;
      }
      if (copiesLateS > 0 && t == Math.floor(t) && next < heartbeats.size()) {
        cluster.deliverHeartbeat(to.down ? cluster.otherNode(to) : to, heartbeats.get(next++));
      }
      cluster.advance(0.5);
    }
    return 90;
  }

  @AfterEach
  void noTaskEverRanTwice() {
    assertThat(cluster.violations()).isEmpty();
  }

  private double recoveryAfterMachineFailure(double copiesLateS) {
    startService();
    dead.partitioned = true;
    return recoveryS(copiesLateS, cluster.otherNode(cluster.leader()));
  }

  /**
   * Copies must not renew the lease that the leader assumes. Otherwise the services of a dead
   * machine stay down for as long as copies arrive.
   */
  @Test
  void copiesFromADeadMachineDoNotDelayRecovery() {
    double withoutCopiesS = recoveryAfterMachineFailure(0);
    LateHeartbeatCopiesTest runWithCopies = new LateHeartbeatCopiesTest();
    double withCopiesS = runWithCopies.recoveryAfterMachineFailure(40);
    assertThat(runWithCopies.cluster.violations()).isEmpty();
    assertThat(withCopiesS)
        .isLessThanOrEqualTo(
            withoutCopiesS
                + runWithCopies.cluster.nodes.get(0).settings.workers().heartbeatIntervalS());
  }

  private double recoveryAfterFailover(double copiesLateS) {
    startService();
    cluster.advance(40);
    dead.partitioned = true;
    ControllerNode leader = cluster.leader();
    leader.kill();
    return recoveryS(copiesLateS, cluster.otherNode(leader));
  }

  /** A new leader first discovers a machine by a copy that is 40 s old, followed by others. */
  @Test
  void newLeaderDoesNotTakeACopyAsASignOfLife() {
    double withoutCopiesS = recoveryAfterFailover(0);
    LateHeartbeatCopiesTest runWithCopies = new LateHeartbeatCopiesTest();
    double withCopiesS = runWithCopies.recoveryAfterFailover(40);
    assertThat(runWithCopies.cluster.violations()).isEmpty();
    assertThat(withCopiesS)
        .isLessThanOrEqualTo(
            withoutCopiesS + cluster.nodes.get(0).settings.workers().heartbeatIntervalS());
  }

  /** The next leader discovers, by a copy, a machine that the former leader had scaled in. */
  @Test
  void copyFromAScaledInMachineDoesNotHoldTasksForLong() {
    startService();
    List<byte[]> heartbeats = List.copyOf(cluster.heartbeatsOf(dead.name));
    cluster.workers.remove(dead.name);
    cluster.cloud.deleted.add(dead.name);
    cluster.advance(60);
    ControllerNode leader = cluster.leader();
    leader.kill();
    cluster.awaitLeader(6);
    ControllerNode next = cluster.leader();
    heartbeats.subList(0, 3).forEach(copy -> cluster.deliverHeartbeat(next, copy));
    cluster.submit(next.index, job("j-2", "array", 24));
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-2")).hasSize(24);
  }

  /**
   * Begins another incarnation of the only machine.
   *
   * @param laterSeq by how much the new incarnation's sequence numbers start above the former
   *     one's; 0 if they restart
   * @return a heartbeat that the former incarnation would have sent in a later agent epoch
   */
  private byte[] replaceIncarnation(int laterSeq) {
    cluster.awaitLeader(3);
    String name = cluster.bootMachine("g8", "z1", true);
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
   * Delivers the copy as soon as the start has been executed, before the heartbeat that reports it.
   * Boots another machine on which the task could start a second time.
   */
  private void executeStartThenDeliver(byte[] former) {
    for (int i = 0; i < 400 && dead.runningTasks().isEmpty(); i++) {
      cluster.time.advance(0.02);
    }
    assertThat(dead.runningTasks()).hasSize(1);
    cluster.nodes.forEach(node -> cluster.deliverHeartbeat(node, former));
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    cluster.cloud.bootDisabled = false;
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(20);
  }

  /** The new incarnation has not yet reported a token that only it can have seen. */
  @Test
  void copyProvesNothingBeforeTheNewIncarnationHasReportedAToken() {
    byte[] former = replaceIncarnation(0);
    cluster.submit(0, job("j-4", "array", 1));
    executeStartThenDeliver(former);
  }

  /**
   * The leader has not detected the new incarnation, since its sequence numbers start above the
   * former one's.
   */
  @Test
  void copyProvesNothingIfTheNewIncarnationIsUndetected() {
    byte[] former = replaceIncarnation(40);
    cluster.advance(3);
    cluster.submit(0, job("j-5", "array", 1));
    executeStartThenDeliver(former);
  }

  /**
   * A copy from a machine's former incarnation, in a later agent epoch than the present one, must
   * not prove that attempts have ended whose start commands were just sent and not answered. Their
   * tasks would start on another machine as well.
   */
  @Test
  void copyFromAFormerIncarnationInALaterAgentEpochProvesNothing() {
    cluster.awaitLeader(3);
    String name = cluster.bootMachine("g8", "z1", true);
    cluster.advance(7);
    FakeWorker worker = cluster.workers.get(name);
    worker.partitioned = true;
    cluster.advance(12);
    worker.partitioned = false;
    worker.epoch = 4;
    cluster.advance(4);
    byte[] former = cluster.heartbeatsOf(name).get(cluster.heartbeatsOf(name).size() - 1);
    worker.restart(true);
    cluster.advance(8);
    cluster.faults.commandDelivery = Delivery.DELAYED;
    cluster.submit(0, job("j-3", "array", 4));
    cluster.advance(4);
    cluster.faults.commandDelivery = Delivery.DELIVERED;
    // The command is executed now; its response is lost.
    cluster.deliverDelayed();
    cluster.nodes.forEach(node -> cluster.deliverHeartbeat(node, former));
    cluster.advance(0.3);
    cluster.nodes.forEach(node -> cluster.deliverHeartbeat(node, former));
    cluster.advance(30);
    assertThat(cluster.runningTasks("j-3")).hasSize(4);
  }
}
