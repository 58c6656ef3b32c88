package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static io.embernotch.testkit.TestJobs.withPriority;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayDeque;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One-task jobs are submitted four a second for minutes, a quarter of them cancelled, at the limits
 * of a small store.
 */
class SmallJobsTest {
  private static final double INTERVAL_S = 0.25;
  private static final int JOBS = 600;
  private static final int MAX_RUNNING = 60;
  private static final double REQUESTS_PER_S = 100;
  private static final double WRITES_PER_S = 30;
  private static final int COUNT_INTERVAL = 40;

  private final SimulatedCluster cluster =
      SimulatedCluster.withStoreLimits(REQUESTS_PER_S, WRITES_PER_S);
  private final FaultScenario scenario = new FaultScenario(cluster);

  /** With faults, the leader ends twice, and the store is away for 20 s in between. */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void oneTaskJobsForMinutes(boolean faults) {
    cluster.store.setMaxChangesPerS(WRITES_PER_S);
    cluster.awaitLeader(3);
    int maxUnfinished = submitAll(faults);
    repeatAll();
    if (!faults) {
      double meanDelayS =
          cluster.invariants.cancellationDelays().stream()
              .mapToDouble(delay -> delay)
              .average()
              .orElseThrow();
      assertThat(meanDelayS).isLessThan(scenario.settings().workers().heartbeatIntervalS());
      // Completed jobs are evicted: what the leader knows does not grow with the minutes.
      assertThat(maxUnfinished).isLessThan(3 * MAX_RUNNING);
    }
    cluster.advance(30);
    cluster.invariants.faultsOver = true;
    assertThat(cluster.invariants.startsAfterCancellation()).isEmpty();
    assertThat(cluster.store.malformedCount).isZero();
    scenario.verifyRecovery();
  }

  /** Submits and completes jobs; returns the most that the leader knew as unfinished. */
  private int submitAll(boolean faults) {
    ArrayDeque<String> running = new ArrayDeque<>();
    int maxUnfinished = 0;
    for (int i = 0; i < JOBS; i++) {
      String ref = "j-" + i;
      cluster.submitAsync(i % 3, withPriority(job(ref, "array", 1), "high"));
      running.add(ref);
      if (i % 4 == 3) {
        scenario.cancelUntilConfirmed(ref, i % 3, 3);
      }
      if (running.size() > MAX_RUNNING) {
        cluster.completeTasks(running.poll());
      }
      if (faults) {
        beginFault(i);
      }
      cluster.advance(INTERVAL_S);
      if (i % COUNT_INTERVAL == COUNT_INTERVAL - 1 && !faults) {
        maxUnfinished = Math.max(maxUnfinished, unfinishedJobs());
      }
    }
    return maxUnfinished;
  }

  private void beginFault(int jobs) {
    if (jobs == JOBS / 4 || jobs == JOBS * 3 / 4) {
      cluster.restartAfter(cluster.awaitLeader(4), 8);
    }
    if (jobs == JOBS / 2) {
      cluster.store.outage = true;
      cluster.time.after(20, cluster.store::endOutage);
    }
  }

  /** What was refused for too many changes is sent again, as users do. */
  private void repeatAll() {
    for (int i = 0; i < JOBS; i++) {
      scenario.answers.submit(i % 3, "j-" + i, "array", 1);
      scenario.answers.cancel((i + 1) % 3, i % 4 == 3 ? "j-" + i : "j-3");
      cluster.completeTasks("j-" + i);
      cluster.advance(0.1);
    }
  }

  private int unfinishedJobs() {
    ControllerNode leader = cluster.awaitLeader(0);
    ObjectNode overview = Json.parseObject(cluster.await(leader.controller.overview()).body());
    return overview.path("cluster").path("queue").path("c").path("jobs").asInt();
  }
}
