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

  /** An array without a guarantee must not have every ordinary machine rented. */
  @Test
  void guestsHaveNoOrdinaryMachinesRentedWhileThereAreSpotMachines() {
    fixture.spotFull = true;
    Job array = fixture.add(SchedulerFixture.guestJob("j-1", 50_000));
    fixture.machine("n-1", true);
    SchedulingPlan plan = fixture.plan();
    assertThat(plan.starts().get(0).placements()).hasSize(8);
    assertThat(plan.scaleOuts()).isEmpty();
    fixture.machines.clear();
    // Where there are none at all, they would wait for ever otherwise.
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
    // Machines boot in 60 s and the tasks run 30: two in a row wait no longer than for another
    // boot.
    fixture.add(job("j-1", "array", 24));
    assertThat(rentedMachines()).isEqualTo(1);
    fixture.jobs.clear();
    fixture.add(job("j-2", "array", 24).replace("\"expect_s\":30.0", "\"expect_s\":300.0"));
    assertThat(rentedMachines()).isEqualTo(3);
  }

  @Test
  void spotWorkThatSoonFindsCapacityHasNoOrdinaryMachineRented() {
    fixture.spotFull = true;
    Machine machine = fixture.machine("n-1", true);
    fixture.runFirst(fixture.add(job("j-1", "array", 8)), 8, machine);
    fixture.add(job("j-2", "array", 6));
    assertThat(fixture.plan().scaleOuts()).isEmpty();
    // More than will have ended by then are worth one.
    fixture.add(job("j-3", "array", 6));
    assertThat(fixture.plan().scaleOuts()).hasSize(1);
  }
}
