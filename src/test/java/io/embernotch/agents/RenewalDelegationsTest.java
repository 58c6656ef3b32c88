package io.embernotch.agents;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.peer.Frame;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import java.util.HashSet;
import org.junit.jupiter.api.Test;

/** The bound on lease renewals by a controller, from the heartbeats that it sends. */
class RenewalDelegationsTest {
  @Test
  void leaderKnowsUntilWhenAControllerMayHaveRenewed() {
    Settings settings = SettingsReader.parse(SimulatedCluster.settingsToml(0));
    RenewalDelegations delegations = new RenewalDelegations(settings, 100, new HashSet<>());
    double gracePeriodS = settings.gracePeriodS() * (1 + Settings.DRIFT);
    // Nothing was received: it may have a delegation of a former leader.
    assertThat(delegations.renewedUntil("z2", 110)).isEqualTo(110);
    assertThat(delegations.renewedUntil("z2", 500)).isEqualTo(100 + gracePeriodS);
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
    // 3 acknowledges 2, which acknowledged 1, answered at 200: up to the contact timeout after that
    // it renewed nothing.
    assertThat(delegations.renewedUntil("z2", 200 + settings.contactTimeoutS()))
        .isEqualTo(100 + gracePeriodS);
    // From then on it may have, until the delegation that was granted at 204 ends.
    assertThat(delegations.renewedUntil("z2", 220)).isEqualTo(220);
    assertThat(delegations.renewedUntil("z2", 900)).isEqualTo(204 + gracePeriodS);
    // It reports a renewal, and is in contact again.
    for (int i = 4; i < 8; i++) {
      delegations.heartbeatReceived(
          new Frame.DelegateHeartbeat("c2", i, i - 1, 10 + 2 * i), 7, true, 230 + 2 * i);
    }
    assertThat(delegations.renewedUntil("z2", 245)).isEqualTo(220);
    // A new process knows nothing of what the one before it renewed.
    delegations.heartbeatReceived(new Frame.DelegateHeartbeat("c2", 50, 0, -1), 7, true, 260);
    assertThat(delegations.renewedUntil("z2", 300)).isGreaterThanOrEqualTo(260);
  }
}
