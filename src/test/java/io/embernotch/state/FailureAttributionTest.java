package io.embernotch.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.actor.EventLoopProfile;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Jobs with a mistake, sick machines, and both at once. */
class FailureAttributionTest {
  private final FakeTime time = new FakeTime();
  private final ClusterState state = new ClusterState();
  private final FailureAttribution failureAttribution =
      new FailureAttribution(
          new ControllerContext(
              SettingsReader.parse(SimulatedCluster.toml(0)),
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
          state);

  private Job job(int i) {
    return state.jobs.computeIfAbsent(
        "j-" + i,
        ref ->
            new Job(
                JobCodec.read(Json.parseObject(SimulatedCluster.job(ref, "array", 40).getBytes())),
                0));
  }

  private Machine machine(int i) {
    return state.machine("n-" + i, 0);
  }

  private void fail(int job, int machineNumber) {
    Machine machine = machine(machineNumber);
    machine.zone = "z1";
    failureAttribution.failed(
        state.openAttempt(job(job), job(job).openAttempts.size(), 1, machine, time.now()),
        machine,
        time.now());
  }

  private void succeed(int job, int machine) {
    job(job).done.set(39);
    failureAttribution.succeeded(job(job), machine(machine));
  }

  /** A gang with a mistake had each machine returned on which its tasks failed three times. */
  @Test
  void jobsWithAMistakeHaveNoMachineReturnedHoweverOftenTheyFail() {
    for (int job = 1; job <= 12; job++) {
      for (int task = 0; task < 12; task++) {
        fail(job, task / 3 + job);
      }
      assertThat(job(job).failsEverywhere()).isTrue();
    }
    assertThat(state.machines.values())
        .noneMatch(machine -> machine.cordoned || machine.avoidUntil > time.now());
  }

  @Test
  void aSickMachineIsFoundAmongJobsWithAMistake() {
    IntStream.range(1, 4).forEach(m -> fail(1, m));
    fail(2, 1);
    fail(3, 1);
    assertThat(machine(1).cordoned).isFalse();
    fail(4, 1);
    assertThat(machine(1).cordoned).isTrue();
    assertThat(machine(2).cordoned).isFalse();
    assertThat(job(4).errorMachines).isEmpty();
  }

  /**
   * Among many sick machines a sound job fails on several as well; once it succeeds, they are
   * known.
   */
  @Test
  void aSoundJobThatFailedOnManySickMachinesSpeaksAgainstThemOnceItSucceeds() {
    for (int m = 1; m <= 5; m++) {
      for (int task = 0; task < 3; task++) {
        fail(1, m);
      }
    }
    assertThat(job(1).failsEverywhere()).isTrue();
    assertThat(job(1).backoffUntil).isGreaterThan(time.now());
    succeed(1, 9);
    assertThat(job(1).failsEverywhere()).isFalse();
    assertThat(job(1).backoffUntil).isZero();
    assertThat(IntStream.range(1, 6)).allMatch(m -> machine(m).cordoned);
    assertThat(machine(9).cordoned).isFalse();
  }

  @Test
  void aMachineThatSucceedsIsClearedOfAll() {
    fail(1, 1);
    fail(2, 1);
    succeed(3, 1);
    fail(4, 1);
    fail(5, 1);
    assertThat(machine(1).cordoned).isFalse();
  }
}
