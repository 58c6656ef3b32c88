package io.embernotch.calendar;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.embernotch.codec.Json;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
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
  private static final int SEEDS = Integer.getInteger("calendar.seeds", 40);

  private SimulatedCluster cluster;

  private static String file(int generation, String more) {
    return "reserve_live: false generation: "
        + generation
        + " calendar { release { id: 'morning' zone: 'UTC' time: '00:24' "
        + more
        + " day: [MONDAY, TUESDAY, WEDNESDAY, THURSDAY, FRIDAY, SATURDAY, SUNDAY] orders { job_class: 'wire' } }"
        + " release { id: 'late' zone: 'UTC' time: '00:40' day: THURSDAY orders { job_class: 'desk' } } }";
  }

  private void begin(String file) {
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
        .filter(index -> !index.down)
        .map(index -> cluster.poll(index.index, ref))
        .filter(a -> a.status() == 200)
        .findFirst()
        .map(a -> (JsonNode) Json.parseObject(a.body()))
        .orElse(Json.object());
  }

  /**
   * One machine, taken, and more pending work than any guarantee covers: three jobs are pending
   * that were submitted in the reverse order of their urgency.
   */
  private void submitThreePendingJobs() {
    cluster.bootMachine("g8", "z1", false);
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
  void pendingJobsAreOrderedByTheirReleaseDeadlines() {
    begin(file(1, "").replace("00:24", "00:21"));
    submitThreePendingJobs();
    assertThat(poll("j-4").get("release").asText()).isEqualTo("morning/1970-01-01");
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:21:00Z");
    assertThat(poll("j-4").get("in_time").asBoolean()).isTrue();
    assertThat(poll("j-3").get("release").asText()).isEqualTo("late/1970-01-01");
    // Shortly before its deadline the morning's job goes before jobs that have waited longer; the
    // others by age.
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
   * A newer file moves, advances or lifts an embargo, and is in force once the store holds it; the
   * release of a job never changes.
   */
  @Test
  void aMovedEmbargoReordersPendingJobsAndNoOlderFileMovesItBack() {
    begin(file(1, ""));
    submitThreePendingJobs();
    restartWith(file(2, "moved { date: '1970-01-01' time: '00:50' }"));
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:50:00Z");
    assertThat(poll("j-4").get("release").asText()).isEqualTo("morning/1970-01-01");
    restartWith(file(1, ""));
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:50:00Z");
    restartWith(file(3, "moved { date: '1970-01-01' lifted: true }"));
    assertThat(poll("j-4").get("lifted").asBoolean()).isTrue();
  }

  /**
   * Not even where a newer file has another release order the job, or has its embargo advanced to
   * before the job's submission.
   */
  @Test
  void aSettledReleaseStaysAndMovesChangeNoJobsRelease() {
    begin(file(1, ""));
    submitThreePendingJobs();
    for (int i = 0; i < 2; i++) {
      restartWith(
          file(2, "moved { date: '1970-01-01' time: '00:17' }")
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
  void theResultOfAReleaseIsStored() {
    begin(file(1, ""));
    submitThreePendingJobs();
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
    JsonNode over = cluster.store.value("shared/release/morning/1970-01-01");
    assertThat(over.get("over").asBoolean()).isTrue();
    assertThat(over.get("jobs").asInt()).isEqualTo(1);
    assertThat(over.get("in_time").asInt()).isEqualTo(1);
  }

  /** A commit is lost, held or late, some tasks end, or a controller restarts. */
  private void injectFault(SplittableRandom random) {
    switch (random.nextInt(6)) {
      case 0 -> {
        cluster.faults.commitDeliveryFilter = random.nextBoolean() ? "shared/" : "run/";
        cluster.faults.commitDelivery = Delivery.draw(random);
      }
      case 1 -> cluster.deliverDelayed();
      case 2 -> cluster.completeTasks("j-" + random.nextInt(12));
      default -> {
        ControllerNode node = cluster.nodes.get(random.nextInt(3));
        node.kill();
        cluster.advance(random.nextDouble(0.6));
        node.start();
      }
    }
  }

  /**
   * Controllers end around every commit, commits of the shared state are lost or late, the store
   * loses all data: each job keeps its release.
   */
  @Test
  void aSettledReleaseIsNeverAnother() {
    List<String> violations = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      begin(file(1, ""));
      String[] reported = new String[12];
      for (int step = 0; step < 24; step++) {
        int index = step / 2;
        if (step % 2 == 0 && !cluster.nodes.get(index % 3).down) {
          cluster.submit(
              index % 3,
              jobOfClass(index % 4 == 0 ? "desk" : "wire", "j-" + index, 1 + random.nextInt(4)));
        }
        injectFault(random);
        cluster.advance(random.nextDouble(20));
        for (int j = 0; j <= index; j++) {
          String release = poll("j-" + j).path("release").asText(null);
          if (reported[j] != null && release != null && !release.equals(reported[j])) {
            violations.add(
                seed + ": j-" + j + " was for " + reported[j] + " and is for " + release);
          }
          reported[j] = reported[j] == null ? release : reported[j];
        }
      }
      violations.addAll(cluster.violations());
    }
    assertThat(violations).isEmpty();
  }

  @Test
  void aLossOfTheStoreLosesNoRelease() {
    begin(file(2, "moved { date: '1970-01-01' time: '00:50' }"));
    submitThreePendingJobs();
    // No controller's file says it any more.
    restartWith(file(1, ""));
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:50:00Z");
    cluster.store.wipe();
    cluster.advance(50);
    cluster.awaitLeader(5);
    assertThat(poll("j-4").get("deadline").asText()).isEqualTo("1970-01-01T00:50:00Z");
  }
}
