package io.embernotch.faultcombinations;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayDeque;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One-task jobs come four a second for minutes, a quarter of them cancelled, at the limits of a
 * small store.
 */
class SmallJobsTest {
  private static final double EVERY_S = 0.25;
  private static final int JOBS = 600;
  private static final int RUNS_FOR = 60;
  private static final double WRITES_PER_S = 30;

  /** {@code troubles}: the leader ends twice, and the store is away for 20 s in between. */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void oneTaskJobsForMinutes(boolean troubles) {
    SimulatedCluster cluster = SimulatedCluster.withStoreLimits(100, WRITES_PER_S);
    cluster.store.setMaxChangesPerS(WRITES_PER_S);
    FaultScenario scenario = new FaultScenario(cluster);
    cluster.awaitLeader(3);
    ArrayDeque<String> under = new ArrayDeque<>();
    int mostKnown = 0;
    for (int i = 0; i < JOBS; i++) {
      String ref = "j-" + i;
      cluster.submitAsync(
          i % 3, job(ref, "array", 1).replace("\"rank\":\"standard\"", "\"rank\":\"high\""));
      under.add(ref);
      if (i % 4 == 3) {
        scenario.cancelUntilConfirmed(ref, i % 3, 3);
      }
      if (under.size() > RUNS_FOR) {
        cluster.completeTasks(under.poll());
      }
      if (troubles && (i == JOBS / 4 || i == JOBS * 3 / 4)) {
        ControllerNode leader = cluster.awaitLeader(4);
        leader.kill();
        cluster.time.after(8, leader::start);
      }
      if (troubles && i == JOBS / 2) {
        cluster.store.outage = true;
        cluster.time.after(20, cluster.store::endOutage);
      }
      cluster.advance(EVERY_S);
      if (i % 40 == 39 && !troubles) {
        mostKnown = Math.max(mostKnown, unfinished(cluster));
      }
    }
    // What was refused for want of changes is sent again, as users do.
    for (int i = 0; i < JOBS; i++) {
      scenario.answers.submit(i % 3, "j-" + i, "array", 1);
      scenario.answers.cancel((i + 1) % 3, i % 4 == 3 ? "j-" + i : "j-3");
      cluster.completeTasks("j-" + i);
      cluster.advance(0.1);
    }
    if (!troubles) {
      double mean =
          cluster.invariants.cancellationDelays().stream()
              .mapToDouble(w -> w)
              .average()
              .orElseThrow();
      assertThat(mean).isLessThan(scenario.settings().workers().heartbeatIntervalS());
      // Jobs that have ended are let go: what the leader knows does not grow with the minutes.
      assertThat(mostKnown).isLessThan(3 * RUNS_FOR);
    }
    cluster.advance(30);
    cluster.invariants.faultsOver = true;
    assertThat(cluster.invariants.startsAfterCancellation()).isEmpty();
    assertThat(cluster.store.malformedCount).isZero();
    scenario.verifyRecovery();
  }

  private static int unfinished(SimulatedCluster cluster) {
    ControllerNode leader = cluster.awaitLeader(0);
    ObjectNode overview = Json.parseObject(cluster.await(leader.controller.overview()).body());
    return overview.path("cluster").path("queue").path("c").path("jobs").asInt();
  }
}
