package io.embernotch.forwarding;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.agents.RenewalDelegations;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that the tasks of a partitioned zone keep running and all invariants hold. Node 2 is in
 * zone z2, so it is partitioned together with the agents of that zone.
 */
class DelegatedRenewalTest {
  private static final double PARTITION_S = 56;

  private final SimulatedCluster cluster = new SimulatedCluster(3, 4);
  private final Settings settings = cluster.nodes.get(0).settings;

  /** Ensures a leader outside z2, and starts a service with three replicas in each zone. */
  private Map<String, FakeWorker> startSpreadService(String ref) {
    cluster.advance(2);
    if (cluster.leader() == cluster.nodes.get(2)) {
      cluster.nodes.get(2).kill();
      cluster.advance(6);
      cluster.nodes.get(2).start();
    }
    assertThat(
            cluster
                .submit(0, job(ref, "standing", 6).replace("\"scatter\":false", "\"scatter\":true"))
                .status())
        .isEqualTo(201);
    cluster.advance(15);
    Map<String, FakeWorker> running = cluster.runningTasks(ref);
    assertThat(running).hasSize(6);
    assertThat(running.values().stream().filter(worker -> worker.zone.equals("z2"))).hasSize(3);
    return running;
  }

  private boolean anyTaskRunsInZ2(String ref) {
    return cluster.runningTasks(ref).values().stream().anyMatch(worker -> worker.zone.equals("z2"));
  }

  @AfterEach
  void noTaskEverRanTwice() {
    assertThat(cluster.violations()).isEmpty();
  }

  @Test
  void replicasInAPartitionedZoneKeepRunningUntilThePartitionHeals() {
    Map<String, FakeWorker> before = startSpreadService("j-1");
    cluster.faults.partitionedZone = "z2";
    for (int i = 0; i < PARTITION_S; i++) {
      cluster.advance(1);
      assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    }
    cluster.faults.partitionedZone = null;
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }

  /**
   * State from an earlier partition must not cause an agent to be redirected in the next one before
   * its lease has been renewed once.
   */
  @Test
  void leasesAreRenewedBeforeAgentsAreRedirectedInEachPartition() {
    FakeTime time = new FakeTime();
    Settings zoneSettings = cluster.nodes.get(2).settings;
    DelegatedRenewal delegatedRenewal = new DelegatedRenewal(context(zoneSettings, time, "x"));
    Heartbeat heartbeat =
        new Heartbeat("n-1", "10.0.0.9:9", "g8", "z2", false, 1, 1, 5, null, List.of());
    for (int partition = 0; partition < 2; partition++) {
      delegatedRenewal.acknowledged(
          new Frame.DelegateHeartbeatAck(1, delegatedRenewal.nextHeartbeat().seq(), true));
      time.advance(zoneSettings.contactTimeoutS() * 1.1);
      assertThat(delegatedRenewal.renew(heartbeat, "c0").orElseThrow().status()).isEqualTo(200);
      time.advance(zoneSettings.workers().leaseS() / 2);
      assertThat(delegatedRenewal.renew(heartbeat, "c0").orElseThrow().status()).isEqualTo(421);
      time.advance(zoneSettings.workers().leaseS() / 2);
    }
  }

  @Test
  void replicasKeepRunningIfTheLeaderFailsDuringThePartition() {
    Map<String, FakeWorker> before = startSpreadService("j-1");
    cluster.faults.partitionedZone = "z2";
    cluster.advance(10);
    cluster.leader().kill();
    cluster.advance(PARTITION_S - 10);
    cluster.faults.partitionedZone = null;
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }

  @Test
  void replicasStartElsewhereOnlyAfterALongPartitionHasEndedThem() {
    startSpreadService("j-1");
    cluster.submit(0, job("j-2", "standing", 4).replace("\"room\":null", "\"room\":\"z2\""));
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
    cluster.faults.partitionedZone = "z2";
    cluster.cloud.down = true;
    // The renewals end, then the leases. The invariant checker fails if a task restarts before.
    cluster.advance(settings.gracePeriodS() + settings.workers().leaseS() + 5);
    assertThat(anyTaskRunsInZ2("j-1")).isFalse();
    cluster.faults.partitionedZone = null;
    cluster.cloud.down = false;
    cluster.advance(25);
    assertThat(cluster.runningTasks("j-1")).hasSize(6);
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
  }

  @Test
  void cancellationIsConfirmedOnlyOnceTasksInThePartitionedZoneMustEndInTime() {
    startSpreadService("j-1");
    cluster.faults.partitionedZone = "z2";
    cluster.cloud.down = true;
    cluster.advance(12);
    assertThat(cluster.cancel(0, "j-1").status()).isEqualTo(503);
    assertThat(cluster.phase(0, "j-1")).isNotEqualTo("cancelled");
    // Tasks outside the partition end at once, and no task starts again.
    assertThat(cluster.runningTasks("j-1").values()).allMatch(worker -> worker.zone.equals("z2"));
    double waitedS = 12;
    while (cluster.cancel(1, "j-1").status() != 200) {
      cluster.advance(1);
      waitedS += 1;
      assertThat(waitedS).isLessThan(settings.gracePeriodS());
    }
    assertThat(anyTaskRunsInZ2("j-1")).isTrue();
    cluster.advance(settings.workers().cancelS() - 1);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
  }

  @Test
  void cancellationConfirmedBeforeAPartitionLeavesNoTaskRunning() {
    startSpreadService("j-1");
    assertThat(cluster.cancel(0, "j-1").status()).isEqualTo(200);
    cluster.faults.partitionedZone = "z2";
    assertThat(cluster.runningTasks("j-1")).isEmpty();
  }

  @Test
  void renewalIsNotDelegatedWhileAControllerMayBeOfTheFormerVersion() {
    startSpreadService("j-1");
    // This controller sends nothing to the next leader, like one of the former version.
    ControllerNode silentController =
        cluster.leader() == cluster.nodes.get(0) ? cluster.nodes.get(1) : cluster.nodes.get(0);
    silentController.peersUnreachable = true;
    cluster.leader().kill();
    cluster.advance(10);
    cluster.nodes.stream().filter(node -> node.down).forEach(ControllerNode::start);
    cluster.advance(settings.gracePeriodS() + 10);
    cluster.faults.partitionedZone = "z2";
    cluster.advance(settings.workers().leaseS() + 4);
    assertThat(anyTaskRunsInZ2("j-1")).isFalse();
  }

  /**
   * If sequence numbers began at the time of day, which may be set back, acknowledgements of a
   * former incarnation could count for the next one.
   */
  @Test
  void incarnationsUseDistinctSequenceNumbers() {
    FakeTime time = new FakeTime();
    Settings zoneSettings = cluster.nodes.get(2).settings;
    List<Frame.DelegateHeartbeat> first =
        Stream.of("one", "two")
            .map(name -> new DelegatedRenewal(context(zoneSettings, time, name)))
            .map(DelegatedRenewal::nextHeartbeat)
            .toList();
    assertThat(first.get(0).seq()).isNotEqualTo(first.get(1).seq());
    RenewalDelegations delegations = new RenewalDelegations(zoneSettings, 100, new HashSet<>());
    delegations.heartbeatReceived(first.get(0), 7, true, 200);
    assertThat(delegations.isNewProcess(first.get(0))).isFalse();
    assertThat(delegations.isNewProcess(first.get(1))).isTrue();
  }

  private static ControllerContext context(Settings settings, FakeTime time, String name) {
    return new ControllerContext(
        settings,
        OperatorSettings.DEFAULTS,
        time,
        time,
        time,
        EventLoopProfile.NONE,
        null,
        null,
        null,
        () -> name,
        null);
  }
}
