package io.embernotch.controller;

import static io.embernotch.testkit.TestJobs.inZone;
import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.spreadOverZones;
import static io.embernotch.testkit.TestJobs.withoutSpot;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.Test;

/** Tasks run only where the quota of their team and the zones and shape of their job allow. */
class TaskPlacementTest extends ClusterTest {
  TaskPlacementTest() {
    super(new SimulatedCluster(3));
  }

  @Test
  void gangIsPlacedWholeOrNotAtAll() {
    cluster.awaitLeader(2);
    cluster.cloud.bootDisabled = true;
    String gang =
        job("j-2", "group", 2)
            .replace("\"cards\":1.0", "\"cards\":8.0")
            .replace("\"cores\":4.0", "\"cores\":40.0");
    assertThat(cluster.submit(0, gang).status()).isEqualTo(201);
    cluster.advance(3);
    cluster.cloud.bootDisabled = false;
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(8);
    assertThat(cluster.runningTasks("j-2")).isEmpty();
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(8);
    assertThat(cluster.runningTasks("j-2")).hasSize(2);
  }

  @Test
  void teamNeverUsesMoreThanItsQuota() {
    cluster.awaitLeader(2);
    assertThat(cluster.submit(0, job("j-3", "array", 60)).status()).isEqualTo(201);
    cluster.advance(30);
    assertThat(cluster.runningTasks("j-3")).hasSize(24);
    assertThat(cluster.submit(0, job("j-4", "group", 25)).status()).isEqualTo(422);
  }

  @Test
  void taskRunsOnlyWhereItsJobAllows() {
    cluster.awaitLeader(2);
    cluster.bootMachine("g8", "z1", true);
    cluster.bootMachine("g8", "z2", false);
    cluster.advance(8);
    String job = inZone(withoutSpot(job("j-20", "standing", 2)), "z1");
    cluster.submit(0, job);
    cluster.advance(12);
    assertThat(cluster.runningTasks("j-20")).hasSize(2);
    assertThat(cluster.runningTasks("j-20").values())
        .allMatch(worker -> worker.zone.equals("z1") && !worker.spot);
  }

  @Test
  void spreadServiceHasAtMostHalfInAZone() {
    cluster.awaitLeader(2);
    cluster.bootMachine("g8", "z1", true);
    cluster.advance(8);
    cluster.submit(0, spreadOverZones(job("j-21", "standing", 5)));
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-21")).hasSize(5);
    assertThat(
            cluster.runningTasks("j-21").values().stream()
                .filter(worker -> worker.zone.equals("z1"))
                .count())
        .isBetween(2L, 3L);
  }

  @Test
  void slowTasksAreRestartedOnTheFastMachine() {
    cluster.nodes.get(1).kill();
    cluster.nodes.get(2).kill();
    cluster.advance(8);
    String fast = cluster.bootMachine("g8", "z1", true);
    cluster.advance(6);
    runJob(job("j-29", "standing", 1), "j-29", 1);
    runTwelveTasks("j-30");
    FakeWorker fastWorker = cluster.workers.get(fast);
    completeTasksOn(fastWorker, "j-30");
    cluster.advance(200);
    cluster.completeTasks("j-30");
    cluster.advance(4);
    // The other machine has proven slow: it took 200 s for tasks that the fast one ran in about 10.
    runTwelveTasks("j-31");
    completeTasksOn(fastWorker, "j-31");
    cluster.advance(40);
    assertThat(cluster.runningTasks("j-31")).hasSize(5);
    assertThat(cluster.runningTasks("j-31").values()).allMatch(worker -> worker == fastWorker);
  }

  private static void completeTasksOn(FakeWorker worker, String ref) {
    assertThat(worker.runningTasks()).hasSize(8);
    worker.runningTasks().stream()
        .filter(task -> task.startsWith(ref))
        .forEach(task -> worker.exitTask(task, "done"));
  }

  /** Runs a job of twelve tasks: seven fill the fast machine, the others run on another machine. */
  private void runTwelveTasks(String ref) {
    assertThat(cluster.submit(0, job(ref, "array", 12)).status()).isEqualTo(201);
    cluster.advance(10);
    assertThat(cluster.runningTasks(ref)).hasSize(12);
  }
}
