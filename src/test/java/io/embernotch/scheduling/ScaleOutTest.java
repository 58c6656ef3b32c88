package io.embernotch.scheduling;

import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import org.junit.jupiter.api.Test;

/** Which machines a plan rents and returns. */
class ScaleOutTest {
  private final SchedulerFixture fixture = new SchedulerFixture();

  private int rentedMachines() {
    return fixture.plan().scaleOuts().stream()
        .mapToInt(SchedulingPlan.ScaleOutRequest::number)
        .sum();
  }

  /**
   * Large arrays of teams without a guarantee must not cause every ordinary machine to be rented.
   */
  @Test
  void noOrdinaryMachinesAreRentedForGuestsWhileThereAreSpotMachines() {
    fixture.spotExhausted = true;
    Job array = fixture.add(SchedulerFixture.guestJob("j-1", 50_000));
    fixture.machine("n-1", true);
    SchedulingPlan plan = fixture.plan();
    assertThat(plan.starts().get(0).placements()).hasSize(8);
    assertThat(plan.scaleOuts()).isEmpty();
    fixture.machines.clear();
    // If there are no spot machines at all, guests would otherwise wait forever.
    assertThat(fixture.plan().scaleOuts()).isNotEmpty();
    array.cancelRequested = true;
    fixture.add(job("j-2", "array", 50));
    fixture.machine("n-2", true);
    assertThat(fixture.plan().scaleOuts()).isNotEmpty();
  }

  @Test
  void anIdleMachineIsReturnedAfterAWhile() {
    Machine machine = fixture.machine("n-1", true);
    assertThat(fixture.plan().scaleIns()).isEmpty();
    machine.idleSince = 900;
    assertThat(fixture.plan().scaleIns()).containsExactly(machine);
  }

  @Test
  void shortTasksQueueForMachinesThatBootLongerThanTheyRun() {
    // Machines boot in 60 s and tasks run for 30 s: two tasks in a row wait no longer than another
    // boot takes.
    fixture.add(job("j-1", "array", 24));
    assertThat(rentedMachines()).isEqualTo(1);
    fixture.jobs.clear();
    fixture.add(job("j-2", "array", 24).replace("\"expect_s\":30.0", "\"expect_s\":300.0"));
    assertThat(rentedMachines()).isEqualTo(3);
  }

  @Test
  void noOrdinaryMachineIsRentedForSpotWorkThatSoonFindsCapacity() {
    fixture.spotExhausted = true;
    Machine machine = fixture.machine("n-1", true);
    fixture.runFirst(fixture.add(job("j-1", "array", 8)), 8, machine);
    fixture.add(job("j-2", "array", 6));
    assertThat(fixture.plan().scaleOuts()).isEmpty();
    // More tasks wait than end before an ordinary machine boots, so one is rented.
    fixture.add(job("j-3", "array", 6));
    assertThat(fixture.plan().scaleOuts()).hasSize(1);
  }
}
