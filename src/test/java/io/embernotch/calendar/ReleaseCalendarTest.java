package io.embernotch.calendar;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.SeedRange;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * The embargo calendar, with three controllers that fail. The fake day begins at 00:16:40 of 1
 * January 1970.
 */
class ReleaseCalendarTest {
  private static final SeedRange SEEDS = SeedRange.fromProperties("calendar", 40);
  private static final int JOBS = 12;

  private SimulatedCluster cluster;

  private static String operatorFile(int generation, String more) {
    return "reserve_live: false generation: "
        + generation
        + " calendar { release { id: 'morning' zone: 'UTC' time: '00:24' "
        + more
        + " day: [MONDAY, TUESDAY, WEDNESDAY, THURSDAY, FRIDAY, SATURDAY, SUNDAY] orders { job_class: 'wire' } }"
        + " release { id: 'late' zone: 'UTC' time: '00:40' day: THURSDAY orders { job_class: 'desk' } } }";
  }

  private void startCluster(String file) {
    cluster = new SimulatedCluster(OperatorSettings.parse(file));
    cluster.awaitLeader(4);
  }

  private static String jobOfClass(String jobClass, String ref, int tasks) {
    return job(ref, "array", tasks)
        .replace("\"jobclass\":\"c\"", "\"jobclass\":\"" + jobClass + "\"")
        .replace("red", "blue");
  }

  private JsonNode poll(String ref) {
    return cluster.nodes.stream()
        .filter(node -> !node.down)
        .map(node -> cluster.poll(node.index, ref))
        .filter(response -> response.status() == 200)
        .findFirst()
        .map(response -> (JsonNode) Json.parseObject(response.body()))
        .orElse(Json.object());
  }

  /**
   * One machine, in use, and more work than any guarantee covers: three jobs wait, the most urgent
   * submitted last.
   */
  private void submitThreeWaitingJobs() {
    cluster.boot("g8", "z1", false);
    cluster.advance(7);
    cluster.cloud.outOfCapacity = true;
    cluster.submit(0, jobOfClass("c", "j-1", 8));
    cluster.advance(4);
    assertThat(cluster.runningTasks("j-1")).hasSize(8);
    cluster.submit(0, jobOfClass("c", "j-2", 16));
    cluster.advance(1);
    cluster.submit(1, jobOfClass("desk", "j-3", 16));
    cluster.advance(1);
    cluster.submit(2, jobOfClass("wire", "j-4", 16));
    cluster.advance(4);
  }

  @Test
  void waitingJobsAreOrderedByTheirRelease() {
    startCluster(operatorFile(1, "").replace("00:24", "00:21"));
    submitThreeWaitingJobs();
    assertThat(poll("j-4").get("release").asText()).isEqualTo("morning/1970-01-01");
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:21:00Z");
    assertThat(poll("j-4").get("in_time").asBoolean()).isTrue();
    assertThat(poll("j-3").get("release").asText()).isEqualTo("late/1970-01-01");
    // Some time before its deadline the morning's job goes before older ones; the rest go by age.
    cluster.advance(100);
    cluster.completeTasks("j-1");
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-4")).hasSize(8);
    cluster.completeTasks("j-4");
    cluster.advance(5);
    cluster.completeTasks("j-4");
    cluster.advance(5);
    assertThat(cluster.runningTasks("j-2")).hasSize(8);
  }

  /**
   * A release is moved, advanced or lifted by a newer file, in effect once it is stored; the
   * release of a job never changes.
   */
  @Test
  void movedReleaseReordersWaitingJobsAndNoOlderFileMovesItBack() {
    startCluster(operatorFile(1, ""));
    submitThreeWaitingJobs();
    restartWith(operatorFile(2, "moved { date: '1970-01-01' time: '00:50' }"));
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:50:00Z");
    assertThat(poll("j-4").get("release").asText()).isEqualTo("morning/1970-01-01");
    restartWith(operatorFile(1, ""));
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:50:00Z");
    restartWith(operatorFile(3, "moved { date: '1970-01-01' lifted: true }"));
    assertThat(poll("j-4").get("lifted").asBoolean()).isTrue();
  }

  /**
   * Not even where a newer file would give the job to another release, or advances its release to
   * before its submission.
   */
  @Test
  void assignedReleaseStaysWhenTheCalendarMoves() {
    startCluster(operatorFile(1, ""));
    submitThreeWaitingJobs();
    for (int i = 0; i < 2; i++) {
      restartWith(
          operatorFile(2, "moved { date: '1970-01-01' time: '00:17' }")
              .replace(
                  "calendar {",
                  "calendar { release { id: 'early' zone: 'UTC' time: '00:30' day: THURSDAY orders { job_class: 'desk' } }"));
    }
    assertThat(poll("j-3").get("release").asText()).isEqualTo("late/1970-01-01");
    cluster.submit(cluster.leader().index, jobOfClass("wire", "j-5", 16));
    cluster.advance(4);
    assertThat(poll("j-5").get("release").asText()).isEqualTo("morning/1970-01-01");
  }

  private void restartWith(String file) {
    cluster.setOperatorSettings(OperatorSettings.parse(file));
    cluster.nodes.forEach(ControllerNode::kill);
    cluster.advance(1);
    cluster.nodes.forEach(ControllerNode::start);
    cluster.awaitLeader(8);
    cluster.advance(15);
  }

  @Test
  void outcomeOfAReleaseIsStored() {
    startCluster(operatorFile(1, ""));
    submitThreeWaitingJobs();
    cluster.advance(200);
    cluster.completeTasks("j-1");
    cluster.advance(5);
    for (int i = 0; i < 8; i++) {
      cluster.advance(15);
      cluster.completeTasks("j-2");
      cluster.completeTasks("j-3");
      cluster.completeTasks("j-4");
    }
    cluster.advance(250);
    JsonNode outcome = cluster.store.value("shared/release/morning/1970-01-01");
    assertThat(outcome.get("over").asBoolean()).isTrue();
    assertThat(outcome.get("jobs").asInt()).isEqualTo(1);
    assertThat(outcome.get("in_time").asInt()).isEqualTo(1);
  }

  /** Controllers end around every commit, and commits are lost or late: releases do not change. */
  @Test
  void assignedReleaseNeverChanges() {
    assertThat(SEEDS.violations(this::releaseChanges)).isEmpty();
  }

  /** Twelve jobs in a randomized run; the releases that changed, and other violations. */
  private List<String> releaseChanges(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    startCluster(operatorFile(1, ""));
    List<String> violations = new ArrayList<>();
    String[] releases = new String[JOBS];
    for (int step = 0; step < 2 * JOBS; step++) {
      int job = step / 2;
      if (step % 2 == 0 && !cluster.nodes.get(job % 3).down) {
        String jobClass = job % 4 == 0 ? "desk" : "wire";
        cluster.submit(job % 3, jobOfClass(jobClass, "j-" + job, 1 + random.nextInt(4)));
      }
      randomFault(random);
      cluster.advance(random.nextDouble(20));
      for (int i = 0; i <= job; i++) {
        String release = poll("j-" + i).path("release").asText(null);
        if (releases[i] != null && release != null && !release.equals(releases[i])) {
          violations.add("j-" + i + " was for " + releases[i] + " and is for " + release);
        }
        releases[i] = releases[i] == null ? release : releases[i];
      }
    }
    violations.addAll(cluster.violations());
    return violations;
  }

  private void randomFault(SplittableRandom random) {
    switch (random.nextInt(6)) {
      case 0 -> {
        cluster.faults.commitDeliveryFilter = random.nextBoolean() ? "shared/" : "run/";
        cluster.faults.commitDelivery = Delivery.values()[random.nextInt(3)];
      }
      case 1 -> cluster.deliverDelayed();
      case 2 -> cluster.completeTasks("j-" + random.nextInt(JOBS));
      default -> {
        ControllerNode node = cluster.nodes.get(random.nextInt(3));
        node.kill();
        cluster.advance(random.nextDouble(0.6));
        node.start();
      }
    }
  }

  @Test
  void dataLossLosesNoRelease() {
    startCluster(operatorFile(2, "moved { date: '1970-01-01' time: '00:50' }"));
    submitThreeWaitingJobs();
    // No controller's file has the move any more.
    restartWith(operatorFile(1, ""));
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:50:00Z");
    cluster.store.wipe();
    cluster.advance(50);
    cluster.awaitLeader(5);
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:50:00Z");
  }
}
