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

/**
 * Tests a controller that is partitioned from the store and the other controllers, but not from its
 * agents.
 */
class IsolatedControllerTest {
  private final SimulatedCluster cluster = new SimulatedCluster(3, 100);

  private Map<String, FakeWorker> startService() {
    cluster.awaitLeader(3);
    for (int i = 0; i < 30; i++) {
      cluster.bootMachine("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    cluster.advance(8);
    // Spread the agents over the controllers.
    int next = 0;
    for (FakeWorker worker : cluster.workers.values()) {
      worker.controllerIndex = next++ % 3;
    }
    assertThat(cluster.submit(0, job("j-1", "standing", 90)).status()).isEqualTo(201);
    cluster.advance(15);
    assertThat(cluster.runningTasks("j-1")).hasSize(90);
    cluster.resetMinRemainingLeaseShare();
    return cluster.runningTasks("j-1");
  }

  private void setIsolated(ControllerNode node, boolean isolated) {
    node.storeUnavailable = isolated;
    node.peersUnreachable = isolated;
  }

  @AfterEach
  void noTaskEverRanTwice() {
    assertThat(cluster.violations()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"true,30", "true,60", "true,150", "false,30", "false,60", "false,150"})
  void redirectsAgentsBeforeTheirLeasesExpire(boolean leader, int seconds) {
    Map<String, FakeWorker> before = startService();
    ControllerNode node = leader ? cluster.leader() : cluster.otherNode(cluster.leader());
    setIsolated(node, true);
    double longestPollS = 0;
    for (int s = 0; s < seconds; s += 5) {
      cluster.advance(5);
      assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
      if (s >= 5) {
        // Polls are refused at once, and the readiness check fails for the load balancer.
        double askedAt = cluster.time.now();
        int status = cluster.poll(node.index, "j-1").status();
        longestPollS = Math.max(longestPollS, cluster.time.now() - askedAt);
        assertThat(status).isEqualTo(503);
        assertThat(node.controller.ready().status()).isEqualTo(503);
      }
    }
    assertThat(longestPollS).isLessThan(1);
    assertThat(cluster.leader()).isNotNull().isNotEqualTo(node);
    setIsolated(node, false);
    cluster.advance(40);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    // The least share of a lease that was left when it was renewed, here by the controller to which
    // an agent had moved.
    assertThat(cluster.minRemainingLeaseShare()).isGreaterThan(0.4);
  }

  /**
   * The partitioned leader sends nothing to the next one. The next leader must nevertheless not
   * take it for one of the former version and shorten the grace period.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void storeOutageAfterALeaderWasPartitionedEndsNoTask(boolean leaderFails) {
    Map<String, FakeWorker> before = startService();
    ControllerNode node = cluster.leader();
    if (leaderFails) {
      node.kill();
    }
    setIsolated(node, true);
    cluster.advance(8);
    assertThat(cluster.leader()).isNotNull().isNotEqualTo(node);
    cluster.store.outage = true;
    cluster.advance(node.settings.gracePeriodS() + 0.6 * node.settings.workers().leaseS());
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
    cluster.store.endOutage();
    setIsolated(node, false);
    if (leaderFails) {
      node.start();
    }
    cluster.advance(40);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }

  /**
   * An agent that reports a later leader's fencing token is redirected at once, since that leader
   * has reached it and serves it.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void redirectsAgentsThatHaveSeenALaterLeader(boolean leader) {
    Map<String, FakeWorker> before = startService();
    ControllerNode node = leader ? cluster.leader() : cluster.otherNode(cluster.leader());
    setIsolated(node, true);
    cluster.advance(10);
    if (!leader) {
      ControllerNode other = cluster.leader();
      other.kill();
      cluster.advance(8);
      other.start();
    }
    cluster.awaitLeader(4);
    // The new leader sends commands to all machines directly.
    assertThat(cluster.submit(cluster.leader().index, job("j-2", "array", 150)).status())
        .isEqualTo(201);
    cluster.advance(6);
    List<FakeWorker> reached =
        cluster.workers.values().stream()
            .filter(
                worker ->
                    worker.controllerIndex == node.index
                        && worker.fencingToken
                            >= FencingTokens.base(cluster.store.modRevision("steward")))
            .toList();
    cluster.advance(1.5);
    assertThat(reached).noneMatch(worker -> worker.controllerIndex == node.index);
    cluster.advance(10);
    assertThat(cluster.runningTasks("j-2")).hasSize(150);
    cluster.advance(50);
    assertThat(cluster.runningTasks("j-1")).isEqualTo(before);
  }
}
