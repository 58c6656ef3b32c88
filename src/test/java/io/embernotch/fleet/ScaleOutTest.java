package io.embernotch.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.cloud.CloudClient;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpReply;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.settings.Settings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.state.ClusterState;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestContexts;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Tests rentals of machines whose type is not known yet. Such a response once caused a
 * NullPointerException: the machines were paid for, but unknown until a machine list contained
 * them.
 */
class ScaleOutTest {
  @Test
  void machinesOfAnUnknownTypeAreExpected() {
    FakeTime time = new FakeTime();
    Settings settings = SettingsReader.parse(SimulatedCluster.settingsToml(0));
    byte[] rented = "{\"hearths\":[\"n-1\"]}".getBytes(StandardCharsets.UTF_8);
    CloudClient cloud =
        new CloudClient(
            (method, to, path, body, timeoutS) ->
                Future.succeededFuture(new HttpReply(200, rented)),
            time,
            time,
            settings);
    ControllerContext context = TestContexts.withCloud(settings, time, cloud);
    ClusterState state = new ClusterState();
    int[] changes = {0};
    ScaleOut scaleOut = new ScaleOut(context, state, 7, 1, () -> changes[0]++);
    scaleOut.rent(new SchedulingPlan.ScaleOutRequest("g9", "z1", true, 1));
    time.advance(2);
    assertThat(changes[0]).isEqualTo(1);
    assertThat(state.machines.get("n-1").zone).isEqualTo("z1");
    assertThat(state.machines.get("n-1").expectedUntil).isGreaterThan(time.now());
  }
}
