package io.embernotch.rounds;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Machine;
import io.embernotch.model.MachineType;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.state.ClusterState;
import io.embernotch.straggler.MachineView;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What machine views show to straggler rounds. */
class MachineViewPublisherTest {
  private final FakeTime time = new FakeTime();
  private final ClusterState state = new ClusterState();
  private final List<MachineView> views = new ArrayList<>();
  private final MachineViewPublisher machineViewPublisher =
      new MachineViewPublisher(
          new ControllerContext(
              SettingsReader.parse(SimulatedCluster.settingsToml(0)),
              OperatorSettings.DEFAULTS,
              time,
              time,
              time,
              EventLoopProfile.NONE,
              null,
              null,
              null,
              null,
              null),
          state,
          (owner, view) -> views.add(view),
          (owner, machine) -> {});

  /** Restarts are proposed for free capacity; what is reserved is not free. */
  @Test
  void reservedCapacityIsHiddenAndEveryMachineIsPublishedInARound() {
    for (int i = 0; i < 40; i++) {
      Machine machine = state.machine("n-" + i, 1);
      machine.type = new MachineType("g8", 48, 8, 288, 100, 1, 12, 4, 60, List.of("z1"));
      machine.zone = "z1";
      machine.lastHeartbeatAt = time.now();
      machine.reservedGpus = 3;
      machine.reservedCpus = 12;
    }
    for (double at = 0; at < OperatorSettings.DEFAULTS.roundS(); at += 0.4) {
      machineViewPublisher.publish(Set.of("c0", "c1", "c2"));
      time.advance(0.4);
    }
    assertThat(views).hasSize(40);
    assertThat(views)
        .allSatisfy(
            view -> {
              assertThat(view.freeGpus()).isEqualTo(5);
              assertThat(view.freeCpus()).isEqualTo(36);
            });
  }
}
