package io.embernotch.forwarding;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.agents.FencingTokens;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A controller that loses the store and the other controllers, but not its workers. */
class IsolatedControllerTest {
  private final SimulatedCluster world = new SimulatedCluster(3, 100);

  private Map<String, FakeWorker> service() {
    world.settle(3);
    for (int i = 0; i < 30; i++) {
      world.boot("g8", i % 2 == 0 ? "z1" : "z2", true);
    }
    world.pass(8);
    // Workers are spread over the controllers.
    int next = 0;
    for (FakeWorker w : world.workers.values()) {
      w.node = next++ % 3;
    }
    assertThat(world.submit(0, job("j-1", "standing", 90)).status()).isEqualTo(201);
    world.pass(15);
    assertThat(world.running("j-1")).hasSize(90);
    world.leastLeft = 1;
    return world.running("j-1");
  }

  private void alone(Node n, boolean is) {
    n.noState = is;
    n.noPeers = is;
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(world.broken()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"true,30", "true,60", "true,150", "false,30", "false,60", "false,150"})
  void keepsNoWorkerToItsDeath(boolean leader, int seconds) {
    Map<String, FakeWorker> before = service();
    Node n = leader ? world.leader() : world.other(world.leader());
    alone(n, true);
    double told = 0;
    for (int s = 0; s < seconds; s += 5) {
      world.pass(5);
      assertThat(world.running("j-1")).isEqualTo(before);
      if (s >= 5) {
        // Who asks here is told at once to ask elsewhere, and the balancer to send nobody.
        double at = world.time.now();
        int status = world.poll(n.index, "j-1").status();
        told = Math.max(told, world.time.now() - at);
        assertThat(status).isEqualTo(503);
        assertThat(n.controller.ready().status()).isEqualTo(503);
      }
    }
    assertThat(told).isLessThan(1);
    assertThat(world.leader()).isNotNull().isNotEqualTo(n);
    alone(n, false);
    world.pass(40);
    assertThat(world.running("j-1")).isEqualTo(before);
    // Of a lease that was last renewed there, this was left when another controller renewed it.
    assertThat(world.leastLeft).isGreaterThan(0.4);
  }

  /**
   * The next leader held workers for as long as the former version counts on, since the one
   * partitioned had not written to it.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void anOutageAfterALeaderWasCutOffEndsNothing(boolean ends) {
    Map<String, FakeWorker> before = service();
    Node n = world.leader();
    if (ends) {
      n.kill();
    }
    alone(n, true);
    world.pass(8);
    assertThat(world.leader()).isNotNull().isNotEqualTo(n);
    world.state.outage = true;
    world.pass(n.settings.gracePeriodS() + 0.6 * n.settings.workers().leaseS());
    assertThat(world.running("j-1")).isEqualTo(before);
    world.state.recover();
    alone(n, false);
    if (ends) {
      n.start();
    }
    world.pass(40);
    assertThat(world.running("j-1")).isEqualTo(before);
  }

  /**
   * Where the next leader has reached a worker it serves it too: one that shows its token is sent
   * away at once.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void sendsAwayWhoHasSeenALaterLeader(boolean leader) {
    Map<String, FakeWorker> before = service();
    Node n = leader ? world.leader() : world.other(world.leader());
    alone(n, true);
    world.pass(10);
    if (!leader) {
      Node other = world.leader();
      other.kill();
      world.pass(8);
      other.start();
    }
    world.settle(4);
    // The new leader reaches all machines directly.
    assertThat(world.submit(world.leader().index, job("j-2", "array", 150)).status())
        .isEqualTo(201);
    world.pass(6);
    List<FakeWorker> reached =
        world.workers.values().stream()
            .filter(
                w ->
                    w.node == n.index
                        && w.token >= FencingTokens.base(world.state.modRevision("steward")))
            .toList();
    world.pass(1.5);
    assertThat(reached).noneMatch(w -> w.node == n.index);
    world.pass(10);
    assertThat(world.running("j-2")).hasSize(150);
    world.pass(50);
    assertThat(world.running("j-1")).isEqualTo(before);
  }
}
