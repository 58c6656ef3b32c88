package io.embernotch.forwarding;

import static io.embernotch.testkit.SimulatedCluster.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.agents.RenewalDelegations;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.FakeWorker;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.SimulatedCluster.Node;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A zone that is partitioned: what runs there runs on, and no rule gives way for it. Node 2 is in
 * zone z2.
 */
class DelegatedRenewalTest {
  private static final double CUT_S = 56;

  private final SimulatedCluster world = new SimulatedCluster(3, 4);
  private final Settings settings = world.nodes.get(0).settings;

  /** A leader outside of z2, and a service with replicas in both zones. */
  private Map<String, FakeWorker> spreadService(String ref) {
    world.pass(2);
    if (world.leader() == world.nodes.get(2)) {
      world.nodes.get(2).kill();
      world.pass(6);
      world.nodes.get(2).start();
    }
    assertThat(
            world
                .submit(0, job(ref, "standing", 6).replace("\"scatter\":false", "\"scatter\":true"))
                .status())
        .isEqualTo(201);
    world.pass(15);
    Map<String, FakeWorker> on = world.running(ref);
    assertThat(on).hasSize(6);
    assertThat(on.values().stream().filter(w -> w.zone.equals("z2"))).hasSize(3);
    return on;
  }

  private boolean anyInZ2(String ref) {
    return world.running(ref).values().stream().anyMatch(w -> w.zone.equals("z2"));
  }

  @AfterEach
  void nothingEverRanTwice() {
    assertThat(world.broken()).isEmpty();
  }

  @Test
  void replicasBehindACutRunOnUntilItIsOver() {
    Map<String, FakeWorker> before = spreadService("j-1");
    world.cutZone = "z2";
    for (int i = 0; i < CUT_S; i++) {
      world.pass(1);
      assertThat(world.running("j-1")).isEqualTo(before);
    }
    world.cutZone = null;
    world.pass(20);
    assertThat(world.running("j-1")).isEqualTo(before);
  }

  /**
   * What an earlier cut left behind had a worker sent away at the next one before it was renewed
   * once.
   */
  @Test
  void eachCutRenewsWorkersBeforeItSendsThemAway() {
    FakeTime time = new FakeTime();
    Settings far = world.nodes.get(2).settings;
    DelegatedRenewal delegatedRenewal =
        new DelegatedRenewal(
            new ControllerContext(
                far,
                OperatorSettings.DEFAULTS,
                time,
                time,
                time,
                EventLoopProfile.NONE,
                null,
                null,
                null,
                () -> "x",
                null));
    Heartbeat heartbeat =
        new Heartbeat("n-1", "10.0.0.9:9", "g8", "z2", false, 1, 1, 5, null, List.of());
    for (int cut = 0; cut < 2; cut++) {
      delegatedRenewal.acknowledged(
          new Frame.DelegateHeartbeatAck(1, delegatedRenewal.nextHeartbeat().seq(), true));
      time.pass(far.contactTimeoutS() * 1.1);
      assertThat(delegatedRenewal.renew(heartbeat, "c0").orElseThrow().status()).isEqualTo(200);
      time.pass(far.workers().leaseS() / 2);
      assertThat(delegatedRenewal.renew(heartbeat, "c0").orElseThrow().status()).isEqualTo(421);
      time.pass(far.workers().leaseS() / 2);
    }
  }

  @Test
  void theyRunOnThoughTheLeaderEndsDuringTheCut() {
    Map<String, FakeWorker> before = spreadService("j-1");
    world.cutZone = "z2";
    world.pass(10);
    world.leader().kill();
    world.pass(CUT_S - 10);
    world.cutZone = null;
    world.pass(20);
    assertThat(world.running("j-1")).isEqualTo(before);
  }

  @Test
  void aLongerCutEndsThemAndOnlyThenTheyStartElsewhere() {
    spreadService("j-1");
    world.submit(0, job("j-2", "standing", 4).replace("\"room\":null", "\"room\":\"z2\""));
    world.pass(15);
    assertThat(world.running("j-2")).hasSize(4);
    world.cutZone = "z2";
    world.cloud.down = true;
    // The renewals end, and then the leases; the checker sees to it that nothing starts before.
    world.pass(settings.gracePeriodS() + settings.workers().leaseS() + 5);
    assertThat(anyInZ2("j-1")).isFalse();
    world.cutZone = null;
    world.cloud.down = false;
    world.pass(25);
    assertThat(world.running("j-1")).hasSize(6);
    assertThat(world.running("j-2")).hasSize(4);
  }

  @Test
  void aCancellationIsToldOnlyOnceWhatIsBehindTheCutMustEndInTime() {
    spreadService("j-1");
    world.cutZone = "z2";
    world.cloud.down = true;
    world.pass(12);
    assertThat(world.abort(0, "j-1").status()).isEqualTo(503);
    assertThat(world.phase(0, "j-1")).isNotEqualTo("cancelled");
    // What can be reached ends at once, and nothing starts again.
    assertThat(world.running("j-1").values()).allMatch(w -> w.zone.equals("z2"));
    double waited = 12;
    while (world.abort(1, "j-1").status() != 200) {
      world.pass(1);
      waited += 1;
      assertThat(waited).isLessThan(settings.gracePeriodS());
    }
    assertThat(anyInZ2("j-1")).isTrue();
    world.pass(settings.workers().cancelS() - 1);
    assertThat(world.running("j-1")).isEmpty();
  }

  @Test
  void aCancellationToldBeforeACutLeavesNothingBehindIt() {
    spreadService("j-1");
    assertThat(world.abort(0, "j-1").status()).isEqualTo(200);
    world.cutZone = "z2";
    assertThat(world.running("j-1")).isEmpty();
  }

  @Test
  void noRightIsGivenWhileAControllerMayBeOfTheFormerVersion() {
    spreadService("j-1");
    // It never wrote to this leader, as a former version would not.
    Node silent = world.leader() == world.nodes.get(0) ? world.nodes.get(1) : world.nodes.get(0);
    silent.noPeers = true;
    world.leader().kill();
    world.pass(10);
    world.nodes.stream().filter(n -> n.down).forEach(Node::start);
    world.pass(settings.gracePeriodS() + 10);
    world.cutZone = "z2";
    world.pass(settings.workers().leaseS() + 4);
    assertThat(anyInZ2("j-1")).isFalse();
  }

  /**
   * They began at the time of day, which goes back, so a former incarnation's acknowledgments
   * counted for the next.
   */
  @Test
  void noTwoLivesGiveTheSameNumbers() {
    FakeTime time = new FakeTime();
    Settings far = world.nodes.get(2).settings;
    List<Frame.DelegateHeartbeat> first =
        Stream.of("one", "two")
            .map(
                name ->
                    new DelegatedRenewal(
                        new ControllerContext(
                            far,
                            OperatorSettings.DEFAULTS,
                            time,
                            time,
                            time,
                            EventLoopProfile.NONE,
                            null,
                            null,
                            null,
                            () -> name,
                            null)))
            .map(DelegatedRenewal::nextHeartbeat)
            .toList();
    assertThat(first.get(0).seq()).isNotEqualTo(first.get(1).seq());
    RenewalDelegations delegations = new RenewalDelegations(far, 100, new HashSet<>());
    delegations.heartbeatReceived(first.get(0), 7, true, 200);
    assertThat(delegations.isNewProcess(first.get(0))).isFalse();
    assertThat(delegations.isNewProcess(first.get(1))).isTrue();
  }

  @Test
  void theLeaderKnowsUntilWhenAControllerMayHaveRenewed() {
    Settings s = SettingsReader.parse(SimulatedCluster.toml(0));
    RenewalDelegations delegations = new RenewalDelegations(s, 100, new HashSet<>());
    double hold = s.gracePeriodS() * (1 + Settings.DRIFT);
    // Nothing heard: it may hold a right of an earlier leader.
    assertThat(delegations.renewedUntil("z2", 110)).isEqualTo(110);
    assertThat(delegations.renewedUntil("z2", 500)).isEqualTo(100 + hold);
    assertThat(
            delegations
                .heartbeatReceived(new Frame.DelegateHeartbeat("c2", 1, 0, -1), 7, true, 200)
                .granted())
        .isFalse();
    assertThat(
            delegations
                .heartbeatReceived(new Frame.DelegateHeartbeat("c1", 1, 0, -1), 7, true, 200)
                .granted())
        .isTrue();
    assertThat(
            delegations
                .heartbeatReceived(new Frame.DelegateHeartbeat("c2", 2, 1, -1), 7, true, 202)
                .granted())
        .isTrue();
    delegations.heartbeatReceived(new Frame.DelegateHeartbeat("c2", 3, 2, -1), 7, true, 204);
    // 3 acknowledges 2, which acknowledged 1, answered at 200: until contactS after that it renewed
    // nothing.
    assertThat(delegations.renewedUntil("z2", 200 + s.contactTimeoutS())).isEqualTo(100 + hold);
    // From then on it may have, until the right that it was given at 204 ends.
    assertThat(delegations.renewedUntil("z2", 220)).isEqualTo(220);
    assertThat(delegations.renewedUntil("z2", 900)).isEqualTo(204 + hold);
    // It owns up to a renewal, and is in contact again.
    for (int i = 4; i < 8; i++) {
      delegations.heartbeatReceived(
          new Frame.DelegateHeartbeat("c2", i, i - 1, 10 + 2 * i), 7, true, 230 + 2 * i);
    }
    assertThat(delegations.renewedUntil("z2", 245)).isEqualTo(220);
    // A new process knows nothing of what the one before it did.
    delegations.heartbeatReceived(new Frame.DelegateHeartbeat("c2", 50, 0, -1), 7, true, 260);
    assertThat(delegations.renewedUntil("z2", 300)).isGreaterThanOrEqualTo(260);
  }
}
