package io.embernotch.forwarding;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.agents.FencingTokens;
import io.embernotch.testkit.ControllerNode;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A controller that loses the store and the other controllers, but not its workers. */
class IsolatedControllerTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 100);

  private Map<String, FakeWorker> service() {
    cluster.awaitLeader(3);
    for (int i = 0; i < 30; i++) {
      cluster.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    // Workers are spread over the controllers.
    int next = 0;
    for (FakeWorker w : cluster.workers.values()) {
      w.controllerIndex = next++ % 3;
    }
    assertThat(cluster.submit(0, job("j-1", "standing", 90)).status()).isEqualTo(201);
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-1")).hasSize(90);
    cluster.resetMinRemainingLeaseShare();
    return cluster.runningTasks("j-1");
  }

  private void alone(ControllerNode n, boolean is) {
    n.storeUnavailable = is;
    n.peersUnreachable = is;
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(cluster.violations()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"true,30", "true,60", "true,150", "false,30", "false,60", "false,150"})
  void keepsNoWorkerToItsDeath(boolean leader, int seconds) {
    Map<String, FakeWorker> before = service();
    ControllerNode n = leader ? cluster.leader() : cluster.otherNode(cluster.leader());
    alone(n, true);
    double told = 0;
    for (int s = 0; s < seconds; s += 5) {
      cluster.advance(5);
      assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
      if (s >= 5) {
        // Who asks here is told at once to ask elsewhere, and the balancer to send nobody.
        double at = cluster.time.now();
        int status = cluster.poll(n.index, "j-1").status();
        told = Math.max(told, cluster.time.now() - at);
        assertThat(status).isEqualTo(503);
        assertThat(n.controller.ready().status()).isEqualTo(503);
      }
    }
    assertThat(told).isLessThan(1);
    assertThat(cluster.leader()).isNotNull().isNotEqualTo(n);
    alone(n, false);
    cluster.advance(40);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    // Of a lease that was last renewed there, this was left when another controller renewed it.
    assertThat(cluster.minRemainingLeaseShare()).isGreaterThan(0.4);
  }

  /**
   * The next leader held workers for as long as the former version counts on, since the one
   * partitioned had not written to it.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void anOutageAfterALeaderWasCutOffEndsNothing(boolean ends) {
    Map<String, FakeWorker> before = service();
    ControllerNode n = cluster.leader();
    if (ends) {
      n.kill();
    }
    alone(n, true);
    cluster.advance(8);
    assertThat(cluster.leader()).isNotNull().isNotEqualTo(n);
    cluster.store.outage = true;
    cluster.advance(n.settings.gracePeriodS() + 0.6 * n.settings.workers().leaseS());
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    cluster.store.endOutage();
    alone(n, false);
    if (ends) {
      n.start();
    }
    cluster.advance(40);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }

  /**
   * Where the next leader has reached a worker it serves it too: one that shows its token is sent
   * away at once.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void sendsAwayWhoHasSeenALaterLeader(boolean leader) {
    Map<String, FakeWorker> before = service();
    ControllerNode n = leader ? cluster.leader() : cluster.otherNode(cluster.leader());
    alone(n, true);
    cluster.advance(10);
    if (!leader) {
      ControllerNode other = cluster.leader();
      other.kill();
      cluster.advance(8);
      other.start();
    }
    cluster.awaitLeader(4);
    // The new leader reaches all machines directly.
    assertThat(cluster.submit(cluster.leader().index, job("j-2", "array", 150)).status())
        .isEqualTo(201);
    cluster.advance(6);
    List<FakeWorker> reached =
        cluster.workers.values().stream()
            .filter(
                w ->
                    w.controllerIndex == n.index
                        && w.fencingToken
                            >= FencingTokens.base(cluster.store.modRevision("steward")))
            .toList();
    cluster.advance(1.5);
    assertThat(reached).noneMatch(w -> w.controllerIndex == n.index);
    cluster.advance(10);
    assertThat(cluster.runningTasks("j-2")).hasSize(150);
    cluster.advance(50);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }
}
