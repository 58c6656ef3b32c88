package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.ofTeam;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.Json;
import io.embernotch.http.HttpResponse;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.SimulatedCluster;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Jobs that depend on other jobs: none starts before its dependencies are done, and none keeps
 * waiting for a cancelled one.
 */
class JobDependenciesTest extends ClusterTest {
  JobDependenciesTest() {
    super(new SimulatedCluster(3));
  }

  private void accept(int node, String json) {
    assertThat(cluster.submit(node, json).status()).isEqualTo(201);
  }

  private void complete(String ref) {
    assertThat(cluster.runningTasks(ref)).isNotEmpty();
    cluster.completeTasks(ref);
    cluster.advance(3);
    assertThat(cluster.phase(0, ref)).isEqualTo("done");
  }

  @Test
  void diamondRunsStageByStageWhicheverNodeAcceptedItsJobs() {
    cluster.awaitLeader(4);
    accept(0, job("j-1", "array", 2));
    accept(1, dependentJob("j-2", 2, "j-1"));
    accept(
        2,
        dependentJob("j-3", 2, "j-1")
            .replace("\"array\"", "\"group\"")
            .replace("\"owner\":\"red\"", "\"owner\":\"blue\""));
    accept(0, dependentJob("j-4", 1, "j-2", "j-3", "j-1", "j-2"));
    cluster.advance(15);
    HttpResponse waiting = cluster.poll(1, "j-4");
    assertThat(Json.parseObject(waiting.body()).get("phase").asText()).isEqualTo("queued");
    assertThat(Json.parseObject(waiting.body()).get("awaited").asInt()).isEqualTo(3);
    complete("j-1");
    cluster.advance(5);
    complete("j-2");
    cluster.advance(5);
    assertThat(cluster.phase(0, "j-4")).isEqualTo("queued");
    complete("j-3");
    cluster.advance(5);
    complete("j-4");
    // The last job is submitted long after its dependencies have completed.
    accept(2, dependentJob("j-5", 1, "j-4", "j-1"));
    cluster.advance(5);
    complete("j-5");
  }

  @Test
  void waitingJobsReserveNeitherMachinesNorQuota() {
    cluster.awaitLeader(4);
    accept(0, job("j-1", "array", 1));
    cluster.advance(15);
    int machines = cluster.workers.size();
    accept(0, dependentJob("j-2", 24, "j-1"));
    accept(0, job("j-3", "array", 23).replace("\"loaner\":true", "\"loaner\":true"));
    cluster.advance(20);
    // The job without dependencies gets all but one of the team's 24 GPUs.
    assertThat(cluster.runningTasks("j-3")).hasSize(23);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    assertThat(
            Json.parseObject(cluster.await(cluster.nodes.get(0).controller.overview()).body())
                .get("cluster")
                .get("waiting_for_others")
                .asInt())
        .isEqualTo(1);
    assertThat(machines).isPositive();
  }

  @Test
  void uncommittedEndStartsNoDependentJob() {
    cluster.awaitLeader(4);
    accept(0, job("j-1", "array", 1));
    accept(0, dependentJob("j-2", 1, "j-1"));
    cluster.advance(15);
    cluster.faults.commitDelivery = Delivery.LOST;
    cluster.completeTasks("j-1");
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    assertThat(cluster.phase(0, "j-2")).isEqualTo("queued");
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.advance(10);
    complete("j-2");
  }

  @Test
  void failoverKeepsDependenciesOfWaitingJobs() {
    ControllerNode leader = cluster.awaitLeader(4);
    accept(0, job("j-1", "array", 1));
    accept(0, dependentJob("j-2", 1, "j-1"));
    accept(0, dependentJob("j-3", 1, "j-2"));
    cluster.advance(15);
    leader.kill();
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-1")).hasSize(1);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    cluster.completeTasks("j-1");
    // Stop the next leader right after it has committed the job's completion.
    for (int i = 0; i < 200 && cluster.store.finalPhase("j-1") == null; i++) {
      cluster.advance(0.05);
    }
    ControllerNode secondLeader = cluster.leader();
    if (secondLeader != null) {
      leader.start();
      secondLeader.kill();
    }
    cluster.advance(30);
    cluster.completeTasks("j-2");
    cluster.advance(8);
    assertThat(cluster.store.finalPhase("j-2")).isEqualTo("done");
    assertThat(cluster.runningTasks("j-3")).hasSize(1);
  }

  @Test
  void confirmedCancellationCoversAllDependentJobs() {
    cluster.awaitLeader(4);
    accept(0, job("j-1", "array", 1));
    accept(0, dependentJob("j-2", 1, "j-1"));
    accept(0, dependentJob("j-3", 1, "j-2"));
    accept(0, job("j-9", "array", 1));
    accept(0, dependentJob("j-4", 1, "j-3", "j-9"));
    cluster.advance(15);
    assertThat(cluster.cancel(1, "j-1").status()).isEqualTo(200);
    for (int node = 0; node < 3; node++) {
      for (String ref : new String[] {"j-2", "j-3", "j-4"}) {
        assertThat(cluster.phase(node, ref)).isEqualTo("cancelled");
      }
    }
    // A dependent job that is submitted afterwards is still accepted, and then cancelled.
    accept(2, dependentJob("j-5", 1, "j-4"));
    cluster.advance(3);
    assertThat(cluster.phase(0, "j-5")).isEqualTo("cancelled");
    assertThat(cluster.store.finalPhase("j-5")).isEqualTo("cancelled");
    assertThat(cluster.phase(0, "j-9")).isEqualTo("running");
  }

  @Test
  void cancellationOfADoneJobStopsNothing() {
    cluster.awaitLeader(4);
    accept(0, job("j-1", "array", 1));
    accept(0, dependentJob("j-2", 1, "j-1"));
    cluster.advance(15);
    complete("j-1");
    assertThat(new String(cluster.cancel(0, "j-1").body(), StandardCharsets.UTF_8))
        .contains("done");
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-2")).hasSize(1);
  }

  @Test
  void nextLeaderContinuesACascadeOfCancellations() {
    ControllerNode leader = cluster.awaitLeader(4);
    accept(0, job("j-0", "array", 1));
    for (int i = 1; i < 40; i++) {
      accept(0, dependentJob("j-" + i, 1, "j-" + (i - 1)));
    }
    cluster.advance(10);
    assertThat(cluster.cancel(leader.index, "j-0").status()).isEqualTo(200);
    // Only the first cancellation is certain to be in the store when the leader stops.
    leader.kill();
    ControllerNode remaining = cluster.otherNode(leader);
    // Without a leader the store is read, with a limit on the dependencies followed. No job may be
    // reported as queued.
    for (String ref : new String[] {"j-1", "j-5", "j-39"}) {
      assertThat(cluster.phase(remaining.index, ref)).isIn("cancelled", "status 503");
    }
    assertThat(cluster.phase(remaining.index, "j-1")).isEqualTo("cancelled");
    cluster.advance(30);
    for (int i = 0; i < 40; i++) {
      assertThat(cluster.phase(remaining.index, "j-" + i)).isEqualTo("cancelled");
      assertThat(cluster.store.finalPhase("j-" + i)).isEqualTo("cancelled");
    }
  }

  /**
   * The delay determines how many of the cancellations are in the store when the leader stops; the
   * first one always is.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.01, 0.05, 0.2, 1})
  void noStepOfACascadeIsLostInAFailover(double afterS) {
    ControllerNode leader = cluster.awaitLeader(4);
    accept(0, job("j-0", "array", 1));
    for (int i = 1; i <= 60; i++) {
      accept(i % 3, dependentJob("j-" + i, 1, "j-" + i / 2, "j-" + i / 3));
    }
    cluster.advance(10);
    assertThat(cluster.cancel(leader.index, "j-0").status()).isEqualTo(200);
    cluster.time.advance(afterS);
    leader.kill();
    // Submit a dependent job while there is no leader.
    ControllerNode remaining = cluster.otherNode(leader);
    assertThat(cluster.submit(remaining.index, dependentJob("j-99", 1, "j-60")).status())
        .isIn(200, 201);
    cluster.advance(30);
    for (int i = 1; i <= 60; i++) {
      assertThat(cluster.phase(remaining.index, "j-" + i)).isEqualTo("cancelled");
    }
    assertThat(cluster.phase(remaining.index, "j-99")).isEqualTo("cancelled");
  }

  @Test
  void hundredsOfCancelledJobsAreWrittenInTimeUnderLoweredLimits() {
    SimulatedCluster cluster = SimulatedCluster.withDecreasingStoreLimits();
    cluster.advance(4);
    cluster.submit(0, job("j-0", "array", 1));
    for (int i = 1; i <= 300; i++) {
      int dependency = i % 3 == 0 ? i - 1 : 0;
      HttpResponse response = cluster.submit(i % 3, dependentJob("j-" + i, 1, "j-" + dependency));
      assertThat(response.status()).isIn(201, 503);
      if (response.status() == 503) {
        cluster.advance(1);
        i--;
      }
    }
    cluster.store.lowerLimits(1024, 4, 30);
    cluster.advance(2);
    assertThat(cluster.cancel(0, "j-0").status()).isEqualTo(200);
    assertThat(cluster.phase(1, "j-300")).isEqualTo("cancelled");
    cluster.advance(0.6 * cluster.nodes.get(0).settings.workers().cancelS());
    for (int i = 0; i <= 300; i++) {
      assertThat(cluster.store.finalPhase("j-" + i)).isEqualTo("cancelled");
    }
    assertThat(cluster.violations()).isEmpty();
  }

  @Test
  void dependenciesAreValidatedAgainstTheStore() {
    ControllerNode leader = cluster.awaitLeader(4);
    ControllerNode node = cluster.otherNode(leader);
    accept(node.index, job("j-1", "standing", 1));
    accept(node.index, job("j-2", "array", 1));
    HttpResponse unknownDependency =
        cluster.submit(node.index, dependentJob("j-3", 1, "j-2", "j-77"));
    assertThat(unknownDependency.status()).isEqualTo(422);
    assertThat(new String(unknownDependency.body(), StandardCharsets.UTF_8)).contains("j-77");
    assertThat(cluster.submit(node.index, dependentJob("j-3", 1, "j-3")).status()).isEqualTo(422);
    assertThat(cluster.submit(node.index, dependentJob("j-3", 1, "j-1")).status()).isEqualTo(422);
    assertThat(
            cluster
                .submit(node.index, job("j-3", "array", 1).replace("}", ",\"awaits\":\"j-2\"}"))
                .status())
        .isEqualTo(400);
    accept(node.index, job("j-4", "array", 1).replace("}", ",\"awaits\":[]}"));
    // While the store does not answer, nothing proves that the dependency was never accepted.
    cluster.store.outage = true;
    HttpResponse duringOutage = cluster.submit(leader.index, dependentJob("j-5", 1, "j-66"));
    assertThat(duringOutage.status()).isEqualTo(503);
    assertThat(duringOutage.retryAfterS()).isPositive();
    cluster.store.endOutage();
    cluster.advance(3);
    assertThat(cluster.submit(leader.index, dependentJob("j-5", 1, "j-66")).status())
        .isEqualTo(422);
  }

  @Test
  void leaderWaitsForADependencyItDoesNotKnowYet() {
    ControllerNode leader = cluster.awaitLeader(4);
    accept(leader.index, job("j-9", "array", 1));
    // Both jobs are written by a node whose frames do not arrive, and the watch has not reported
    // them yet.
    ControllerNode node = cluster.otherNode(leader);
    node.peersUnreachable = true;
    accept(node.index, job("j-1", "array", 1));
    accept(node.index, dependentJob("j-2", 1, "j-1"));
    node.peersUnreachable = false;
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    complete("j-1");
    cluster.advance(5);
    complete("j-2");
  }

  @Test
  void repeatedSubmissionGetsTheJobsStateWhateverItDescribes() {
    ControllerNode leader = cluster.awaitLeader(4);
    accept(0, job("j-1", "array", 1));
    cluster.advance(15);
    for (ControllerNode node : cluster.nodes) {
      // Limits, teams and checks may have changed since the job was accepted.
      String changed = ofTeam(job("j-1", "array", 1), "gone");
      assertThat(cluster.submit(node.index, changed).status()).isEqualTo(200);
      assertThat(cluster.submit(node.index, "{\"ref\":\"j-1\"}").status()).isEqualTo(200);
      String longRef = "j-" + "9".repeat(60);
      assertThat(cluster.submit(node.index, dependentJob("j-1", 1, longRef)).status())
          .isEqualTo(200);
    }
    assertThat(cluster.submit(leader.index, "{\"ref\":\"j-8\"}").status()).isEqualTo(400);
  }
}
