package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.dependentJob;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.testkit.SimulatedCluster;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * 4,000 machines full of services, in fake time: users repeat, ask and cancel at all nodes while
 * the store is slow, its responses are late or lost, and leaders end.
 */
class AnswersAtScaleTest {
  private static final int MACHINES = 4000;
  private static final int TASKS_PER_SERVICE = 100;
  private static final int QUOTA_SCALE = 1500;
  private static final int JOBS = 40;
  private static final double CLOSE_LOOK_S = 0.3;

  private final FaultScenario scenario = new FaultScenario(new SimulatedCluster(3, QUOTA_SCALE));
  private final SimulatedCluster cluster = scenario.cluster;

  @BeforeEach
  void startServicesOnAllMachines() {
    cluster.awaitLeader(3);
    for (int i = 0; i < MACHINES; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(cluster.cloud.bootS + 3);
    for (int i = 0; i < MACHINES / TASKS_PER_SERVICE; i++) {
      String ref = "j-service-" + i;
      String service = job(ref, "standing", TASKS_PER_SERVICE).replace("1.0,\"mem", "8.0,\"mem");
      scenario.submitAccepted(i % 3, ref, service);
    }
    cluster.advance(20);
    assertThat(cluster.runningTasks("j-service-0")).hasSize(TASKS_PER_SERVICE);
  }

  private void lookClosely(String ref, String json) {
    for (int look = 0; look < 12; look++) {
      int node = cluster.faults.random.nextInt(3);
      double at = cluster.faults.random.nextDouble(CLOSE_LOOK_S);
      cluster.time.after(at, () -> cluster.pollAsync(node, ref));
      cluster.time.after(at / 2, () -> cluster.submitAsync(node, json));
    }
  }

  private void submitAskAndCancel(int number) {
    String first = "j-" + number;
    String second = "j-after-" + number;
    String json = job(first, "array", 2);
    cluster.submitAsync(number % 3, json);
    lookClosely(first, json);
    cluster.advance(0.5);
    String dependent = dependentJob(second, 1, first);
    cluster.submitAsync((number + 1) % 3, dependent);
    cluster.advance(0.2);
    lookClosely(second, dependent);
    if (number % 3 > 0) {
      cluster.cancelAsync(number % 3, first);
      lookClosely(first, json);
      lookClosely(second, dependent);
    }
    cluster.advance(0.4);
  }

  @Test
  void noAnswerGoesBack() {
    cluster.faults.maxUserDelayS = 0.05;
    for (int number = 0; number < JOBS; number++) {
      cluster.faults.storeLatencyS = number % 4 == 1 ? 0.2 : 0;
      cluster.faults.lateCommitResponseShare = number % 4 == 2 ? 0.5 : 0;
      cluster.faults.lostCommitResponseShare = number % 4 == 3 ? 0.4 : 0;
      if (number % 10 == 5) {
        cluster.restartAfter(cluster.nodes.get(number % 3), 0.2);
      }
      submitAskAndCancel(number);
    }
    scenario.endAllFaults();
    cluster.advance(10);
    assertThat(cluster.leader()).isNotNull();
    assertThat(cluster.workers).hasSizeGreaterThanOrEqualTo(MACHINES);
    assertThat(cluster.violations()).isEmpty();
  }
}
