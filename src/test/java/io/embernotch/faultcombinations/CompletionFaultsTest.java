package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.Delivery;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.RecordedAnswers;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The completion of a job's last tasks together with failovers and requests of users. */
class CompletionFaultsTest {
  private final FaultScenario scenario = FaultScenario.large();
  private final SimulatedCluster cluster = scenario.cluster;
  private final RecordedAnswers answers = scenario.answers;

  @ParameterizedTest
  @CsvSource({"array", "group"})
  void tasksThatCompleteBeforeAndAfterAFailover(String shape) {
    ControllerNode leader = cluster.awaitLeader(3);
    answers.submit(0, "j-1", shape, 3);
    cluster.advance(12);
    cluster.faults.commitDelivery = Delivery.LOST;
    cluster.runningTasks("j-1").get("j-1/0").exitTask("j-1/0", "done");
    cluster.advance(3);
    leader.kill();
    cluster.faults.commitDelivery = Delivery.DELIVERED;
    cluster.advance(15);
    leader.start();
    answers.poll(0, "j-1");
    if (shape.equals("array")) {
      assertThat(cluster.phase(cluster.awaitLeader(1).index, "j-1")).isEqualTo("running");
    }
    cluster.advance(20);
    for (String task : List.of("j-1/1", "j-1/2")) {
      completeIfRunning(task);
      cluster.advance(8);
    }
    answers.poll(1, "j-1");
    assertThat(cluster.phase(1, "j-1")).isEqualTo("done");
    scenario.verifyRecovery();
  }

  /** At every moment around the end, as it travels from the worker to the store. */
  @Test
  void cancellationPollOrRepeatedSubmissionAsTheLastTaskCompletes() {
    cluster.awaitLeader(3);
    int jobs = 0;
    for (double moment : momentsAroundTheEnd()) {
      for (String shape : List.of("array", "group")) {
        String ref = "j-" + jobs++;
        answers.submit(jobs % 3, ref, shape, 2);
        cluster.advance(jobs == 1 ? 12 : 1.5);
        assertThat(cluster.runningTasks(ref)).hasSize(2);
        boolean cancels = jobs % 4 < 2 || Math.abs(moment) < 0.05;
        completeAndAsk(ref, shape, moment, jobs % 3, cancels);
      }
    }
    scenario.verifyRecovery();
  }

  /**
   * Moments relative to the end: a tenth of a second apart around all of it, and half a millisecond
   * apart where a stop and the end cross.
   */
  private static List<Double> momentsAroundTheEnd() {
    List<Double> moments = new ArrayList<>();
    for (int i = -3; i < 16; i++) {
      moments.add(0.1 * i);
    }
    for (int i = -20; i <= 12; i++) {
      moments.add(0.0005 * i + 0.0002);
    }
    return moments;
  }

  /** The job's last task completes after 0.3 s; users ask {@code moment} seconds later. */
  private void completeAndAsk(String ref, String shape, double moment, int node, boolean cancels) {
    if (shape.equals("array")) {
      cluster.time.after(0.1, () -> completeIfRunning(ref + "/0"));
    }
    cluster.time.after(0.3, () -> cluster.completeTasks(ref));
    cluster.time.after(
        0.3 + moment,
        () -> {
          if (cancels) {
            cluster.cancelAsync(node, ref);
          }
        });
    cluster.advance(0.3 + moment);
    answers.poll((node + 1) % 3, ref);
    assertThat(cluster.submit((node + 2) % 3, job(ref, shape, 2)).status()).isEqualTo(200);
    cluster.advance(4);
    answers.poll(node, ref);
    assertThat(cluster.phase(node, ref)).isIn("done", "cancelled");
  }

  /** A task exits as done, if it is on a machine. */
  private void completeIfRunning(String task) {
    String ref = task.substring(0, task.indexOf('/'));
    FakeWorker worker = cluster.runningTasks(ref).get(task);
    if (worker != null) {
      worker.exitTask(task, "done");
    }
  }
}
