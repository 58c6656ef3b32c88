package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.inOneZone;
import static io.embernotch.testkit.TestJobs.inZone;
import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.spreadOverZones;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Machines and zones that are partitioned or hang, together with other faults. */
class MachineFaultsTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;
  private final RecordedAnswers answers = scenario.answers;

  @Test
  void jobsBoundToAZoneLoseMachinesDuringFailover() {
    List<String> refs = List.of("j-1", "j-2", "j-3");
    cluster.awaitLeader(3);
    scenario.submitAccepted(0, "j-1", inZone(job("j-1", "array", 12), "z2"));
    scenario.submitAccepted(0, "j-2", inOneZone(job("j-2", "group", 12)));
    scenario.submitAccepted(0, "j-3", inOneZone(job("j-3", "array", 12)));
    cluster.advance(15);
    ControllerNode leader = cluster.leader();
    String zone = scenario.machinesOf("j-3").get(0).zone;
    String otherZone = zone.equals("z1") ? "z2" : "z1";
    cluster.cloud.outOfCapacity = true;
    for (String ref : refs) {
      List<FakeWorker> machines = scenario.machinesOf(ref);
      machines.get(0).partitioned = true;
      machines.get(machines.size() - 1).inboundPartitioned = true;
    }
    cluster.advance(3);
    leader.kill();
    // Where they may not go there is room, and nowhere else any machine to be had.
    bootFour(otherZone);
    cluster.advance(20);
    leader.start();
    bootFour(otherZone);
    cluster.advance(20);
    cluster.cloud.outOfCapacity = false;
    scenario.verifyRecovery();
    for (String ref : refs) {
      assertThat(cluster.runningTasks(ref)).hasSize(12);
    }
  }

  private void bootFour(String zone) {
    for (int i = 0; i < 4; i++) {
      cluster.bootMachine("g8", zone, true);
    }
  }

  @Test
  void outboundPartitionedWorkersDuringFailoverAndCancellation() {
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "standing", 8);
    answers.submit(0, "j-2", "array", 16);
    cluster.advance(12);
    scenario.machinesOf("j-2").forEach(worker -> worker.outboundPartitioned = true);
    cluster.advance(4);
    leader.kill();
    cluster.advance(6);
    leader.start();
    scenario.advanceCancelling("j-2", 30, s -> s % 3);
    assertThat(cluster.phase(0, "j-2")).isEqualTo("cancelled");
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
  }

  /** Node 2 is in z2. */
  @ParameterizedTest
  @CsvSource({"33", "60", "100"})
  void zoneWithWorkersAndAControllerPartitionedForLongerThanALease(int durationS) {
    cluster.awaitLeader(3);
    scenario.submitAccepted(0, "j-1", spreadOverZones(job("j-1", "standing", 6)));
    scenario.submitAccepted(0, "j-2", inZone(job("j-2", "array", 6), "z2"));
    cluster.advance(12);
    cluster.faults.partitionedZone = "z2";
    for (int s = 0; s < durationS; s++) {
      // Before anybody can have noticed, and for as long as it lasts.
      cluster.cancelAsync(s % 2, "j-2");
      if (s == 20) {
        cluster.nodes.get(s % 2).kill();
      }
      cluster.advance(1);
    }
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-1")).hasSize(6);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
  }

  /** Commands are on their way while the machines hang, for seconds, and then resume. */
  @ParameterizedTest
  @CsvSource({"2", "6", "20", "28"})
  void commandsOrTheirResponsesAreDelayedByMachinesThatHang(int hungS) {
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", "array", 8);
    cluster.advance(12);
    List<FakeWorker> machines = List.copyOf(cluster.workers.values());
    answers.submit(0, "j-2", "standing", 4);
    answers.submit(0, "j-3", "array", 4);
    machines.forEach(worker -> worker.hung = true);
    cluster.advance(1);
    cluster.cancelAsync(leader.index, "j-3");
    cluster.cancelAsync(leader.index, "j-1");
    cluster.advance(hungS);
    machines.forEach(FakeWorker::resume);
    cluster.advance(3);
    cluster.cancelAsync(leader.index, "j-3");
    cluster.cancelAsync(leader.index, "j-1");
    scenario.verifyRecovery();
    assertThat(cluster.runningTasks("j-2")).hasSize(4);
    assertThat(cluster.runningTasks("j-1")).isEmpty();
  }
}
