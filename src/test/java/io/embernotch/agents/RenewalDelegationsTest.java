package io.embernotch.agents;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.peer.Frame;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.SimulatedCluster;
import java.util.HashSet;
import org.junit.jupiter.api.Test;

/** Tests the bound on a controller's lease renewals, derived from its heartbeats. */
class RenewalDelegationsTest {
  @Test
  void boundsTheTimeUntilWhichAControllerMayHaveRenewedLeases() {
    Settings settings = SettingsReader.parse(SimulatedCluster.settingsToml(0));
    RenewalDelegations delegations = new RenewalDelegations(settings, 100, new HashSet<>());
    double gracePeriodS = settings.gracePeriodS() * (1 + Settings.DRIFT);
    // c2 has sent nothing: it may have a delegation from a former leader.
    assertThat(delegations.latestPossibleRenewalAt("z2", 110)).isEqualTo(110);
    assertThat(delegations.latestPossibleRenewalAt("z2", 500)).isEqualTo(100 + gracePeriodS);
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
    // Message 3 acknowledges 2, which acknowledged 1, which was answered at 200. Until the contact
    // timeout after that, c2 renewed nothing.
    assertThat(delegations.latestPossibleRenewalAt("z2", 200 + settings.contactTimeoutS()))
        .isEqualTo(100 + gracePeriodS);
    // After that, c2 may have renewed leases until the delegation granted at 204 ends.
    assertThat(delegations.latestPossibleRenewalAt("z2", 220)).isEqualTo(220);
    assertThat(delegations.latestPossibleRenewalAt("z2", 900)).isEqualTo(204 + gracePeriodS);
    // c2 is in contact again, and reports a renewal.
    for (int i = 4; i < 8; i++) {
      delegations.heartbeatReceived(
          new Frame.DelegateHeartbeat("c2", i, i - 1, 10 + 2 * i), 7, true, 230 + 2 * i);
    }
    assertThat(delegations.latestPossibleRenewalAt("z2", 245)).isEqualTo(220);
    // A new process of c2 cannot report what the previous one renewed.
    delegations.heartbeatReceived(new Frame.DelegateHeartbeat("c2", 50, 0, -1), 7, true, 260);
    assertThat(delegations.latestPossibleRenewalAt("z2", 300)).isGreaterThanOrEqualTo(260);
  }
}
