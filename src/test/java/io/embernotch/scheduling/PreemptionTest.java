package io.embernotch.scheduling;

import static io.embernotch.scheduling.SchedulerFixture.gang;
import static io.embernotch.scheduling.SchedulerFixture.liveService;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import org.junit.jupiter.api.Test;

/** Which attempts are preempted for which jobs, and which never are. */
class PreemptionTest {
  private final SchedulerFixture fixture = new SchedulerFixture();

  /** An array without a guarantee on every machine would keep guaranteed gangs waiting. */
  @Test
  void guaranteedWorkPreemptsGuestsOnceNoMachineCanBeRented() {
    Machine machine = fixture.machine("n-1", false);
    Job array = fixture.guestArray("j-1", 8, machine);
    Job tiny =
        fixture.add(
            SchedulerFixture.guestJob("j-2", 1)
                .replace("\"cards\":1.0", "\"cards\":0.0")
                .replace("standard", "idle"));
    fixture.run(tiny, 0, machine);
    fixture.add(gang("j-3").replace("\"cores\":4.0", "\"cores\":8.0"));
    assertThat(fixture.plan().stops()).isEmpty();
    fixture.cloudExhausted = true;
    SchedulingPlan plan = fixture.plan();
    // Attempts that need not stop keep running, and those that can save their progress get a grace
    // period.
    assertThat(plan.stops())
        .hasSize(8)
        .allMatch(stop -> stop.attempt().job == array && stop.graceS() > 0);
    array.openAttempts.values().forEach(attempt -> attempt.stopping = true);
    machine.attemptsChanged();
    assertThat(fixture.plan().stops()).isEmpty();
  }

  @Test
  void nothingIsPreemptedForGangsThatWouldNotFitOrHaveNoGuarantee() {
    fixture.cloudExhausted = true;
    Machine machine = fixture.machine("n-1", false);
    fixture.guestArray("j-1", 4, machine);
    Job array = fixture.add(job("j-4", "array", 4));
    fixture.runFirst(array, 4, machine);
    Job two =
        fixture.add(
            gang("j-2")
                .replace("\"shards\":1", "\"shards\":2")
                .replace("\"cards\":8.0", "\"cards\":4.0"));
    assertThat(fixture.plan().stops()).isEmpty();
    fixture.jobs.remove(two);
    fixture.add(gang("j-3").replace("\"owner\":\"blue\"", "\"owner\":\"guests\""));
    assertThat(fixture.plan().stops()).isEmpty();
  }

  @Test
  void guaranteedWorkIsNotPreemptedForOthers() {
    fixture.cloudExhausted = true;
    Machine machine = fixture.machine("n-1", false);
    fixture.runFirst(fixture.add(job("j-1", "array", 8)), 8, machine);
    fixture.add(gang("j-2"));
    assertThat(fixture.plan().stops()).isEmpty();
  }

  @Test
  void liveServicesPreemptLowerPriorityAtOnce() {
    fixture.cloudExhausted = true;
    Machine machine = fixture.machine("n-1", false);
    fixture.runFirst(fixture.add(job("j-1", "array", 8)), 8, machine);
    fixture.add(liveService("j-2", 1));
    SchedulingPlan plan = fixture.plan();
    assertThat(plan.stops()).hasSize(1);
    assertThat(plan.stops().get(0).graceS()).isZero();
    assertThat(plan.starts()).isEmpty();
  }

  @Test
  void workOfEqualPriorityIsNeverPreempted() {
    fixture.cloudExhausted = true;
    Machine machine = fixture.machine("n-1", false);
    fixture.runFirst(fixture.add(job("j-1", "array", 8)), 8, machine);
    fixture.add(job("j-2", "standing", 1));
    assertThat(fixture.plan().stops()).isEmpty();
  }

  /**
   * Guaranteed work would take the capacity back in the next plan and be preempted again, without
   * end.
   */
  @Test
  void guaranteedWorkIsNotPreemptedForWorkOrderedAfterIt() {
    fixture.cloudExhausted = true;
    Machine machine = fixture.machine("n-1", false);
    Job array = fixture.add(job("j-1", "array", 8));
    fixture.runFirst(array, 8, machine);
    Job first = fixture.add(gang("j-2"));
    fixture.run(first, 0, fixture.machine("n-2", false));
    fixture.add(gang("j-3"));
    SchedulingPlan plan = fixture.plan();
    assertThat(array.withinGuarantee).isTrue();
    assertThat(fixture.jobs.get(2).withinGuarantee).isFalse();
    assertThat(plan.stops()).isEmpty();
  }

  @Test
  void aLostReplicaPreemptsLowerPriorityWhereItsImageIs() {
    Machine empty = fixture.machine("n-1", false);
    Machine cached = fixture.machine("n-2", false);
    cached.images.add("img");
    Job array =
        fixture.add(job("j-1", "array", 8).replace("\"bundle\":\"img\"", "\"bundle\":\"other\""));
    fixture.runFirst(array, 8, cached);
    Job service = fixture.add(liveService("j-2", 1));
    // A new service takes the empty machine; nothing is preempted to save a fetch.
    assertThat(fixture.plan().starts().get(0).placements().get(0).machine()).isSameAs(empty);
    service.restartedTasks.set(0);
    SchedulingPlan plan = fixture.plan();
    assertThat(plan.starts()).isEmpty();
    assertThat(plan.stops()).hasSize(1);
    plan.stops().get(0).attempt().stopping = true;
    cached.attemptsChanged();
    // Until the capacity is free the replica keeps its claim, and no second attempt is stopped.
    SchedulingPlan later = fixture.plan();
    assertThat(later.starts()).isEmpty();
    assertThat(later.stops()).isEmpty();
  }
}
