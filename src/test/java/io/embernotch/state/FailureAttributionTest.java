package io.embernotch.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.Json;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.settings.SettingsReader;
import io.embernotch.testkit.FakeTime;
import io.embernotch.testkit.SimulatedCluster;
import io.embernotch.testkit.TestJobs;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests whether jobs or machines are found at fault when jobs have mistakes, machines fail, or
 * both.
 */
class FailureAttributionTest {
  private final FakeTime time = new FakeTime();
  private final ClusterState state = new ClusterState();
  private final FailureAttribution failureAttribution =
      new FailureAttribution(SettingsReader.parse(SimulatedCluster.settingsToml(0)), state);

  private Job job(int number) {
    return state.jobs.computeIfAbsent(
        "j-" + number,
        ref ->
            new Job(
                JobCodec.read(
                    Json.parseObject(
                        TestJobs.job(ref, "array", 40).getBytes(StandardCharsets.UTF_8))),
                0));
  }

  private Machine machine(int number) {
    return state.machine("n-" + number, 0);
  }

  private void fail(int jobNumber, int machineNumber) {
    Job job = job(jobNumber);
    Machine machine = machine(machineNumber);
    machine.zone = "z1";
    failureAttribution.recordFailure(
        state.openAttempt(job, job.openAttempts.size(), 1, machine, time.now()),
        machine,
        time.now());
  }

  private void succeed(int jobNumber, int machineNumber) {
    job(jobNumber).done.set(39);
    failureAttribution.recordSuccess(job(jobNumber), machine(machineNumber));
  }

  /**
   * Guards against replacing each machine on which the tasks of a gang with a mistake fail
   * repeatedly.
   */
  @Test
  void jobsWithAMistakeQuarantineNoMachineHoweverOftenTheyFail() {
    for (int job = 1; job <= 12; job++) {
      for (int task = 0; task < 12; task++) {
        fail(job, task / 3 + job);
      }
      assertThat(job(job).isAtFault()).isTrue();
    }
    assertThat(state.machines.values())
        .noneMatch(machine -> machine.cordoned || machine.avoidUntil > time.now());
  }

  @Test
  void aFailingMachineIsFoundAmongJobsWithAMistake() {
    IntStream.range(1, 4).forEach(machine -> fail(1, machine));
    fail(2, 1);
    fail(3, 1);
    assertThat(machine(1).cordoned).isFalse();
    fail(4, 1);
    assertThat(machine(1).cordoned).isTrue();
    assertThat(machine(2).cordoned).isFalse();
    assertThat(job(4).errorMachines).isEmpty();
  }

  /** A correct job fails on several failing machines before it succeeds on another one. */
  @Test
  void machinesThatFailedACorrectJobAreQuarantinedOnceItSucceeds() {
    for (int machine = 1; machine <= 5; machine++) {
      for (int task = 0; task < 3; task++) {
        fail(1, machine);
      }
    }
    assertThat(job(1).isAtFault()).isTrue();
    assertThat(job(1).backoffUntil).isGreaterThan(time.now());
    succeed(1, 9);
    assertThat(job(1).isAtFault()).isFalse();
    assertThat(job(1).backoffUntil).isZero();
    assertThat(IntStream.range(1, 6)).allMatch(machine -> machine(machine).cordoned);
    assertThat(machine(9).cordoned).isFalse();
  }

  @Test
  void aMachineThatSucceedsIsClearedOfAllFailures() {
    fail(1, 1);
    fail(2, 1);
    succeed(3, 1);
    fail(4, 1);
    fail(5, 1);
    assertThat(machine(1).cordoned).isFalse();
  }
}
