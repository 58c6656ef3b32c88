package io.embernotch.scheduling;

import static io.embernotch.scheduling.SchedulerFixture.gang;
import static io.embernotch.scheduling.SchedulerFixture.liveService;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.Priority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of jobs, and the machines that their tasks go to. */
class SchedulerTest {
  private final SchedulerFixture fixture = new SchedulerFixture();

  /** After a failover, live services must not wait for a full plan. */
  @Test
  void aPlanForLiveServicesPlacesThemLikeAFullPlanAndDoesNothingElse() {
    fixture.machine("n-1", false);
    fixture.machine("n-2", true);
    Job array = fixture.add(job("j-1", "array", 8));
    Job live = fixture.add(liveService("j-2", 2));
    SchedulingPlan all = fixture.plan();
    SchedulingPlan first = fixture.scheduler.planProduction(fixture.input());
    assertThat(all.starts()).extracting(start -> start.job()).containsExactly(live, array);
    assertThat(first.starts()).containsExactly(all.starts().get(0));
    assertThat(first.scaleIns()).isEmpty();
    assertThat(first.stops()).isEmpty();
  }

  @Test
  void spotWorkAvoidsIdleOrdinaryMachinesButUsesCapacityBesideServices() {
    Machine idle = fixture.machine("n-1", false);
    Machine pinned = fixture.machine("n-2", false);
    fixture.run(fixture.add(job("j-1", "standing", 1)), 0, pinned);
    fixture.add(job("j-2", "array", 9));
    SchedulingPlan plan = fixture.plan();
    assertThat(plan.starts()).hasSize(1);
    assertThat(plan.starts().get(0).placements())
        .hasSize(7)
        .allMatch(placement -> placement.machine() == pinned);
    assertThat(plan.scaleOuts())
        .containsExactly(
            new SchedulingPlan.ScaleOutRequest("g8", plan.scaleOuts().get(0).zone(), true, 1));
    assertThat(idle.openAttempts).isEmpty();
  }

  @Test
  void theMachineWithTheImageIsPreferred() {
    fixture.machine("n-1", true);
    Machine cached = fixture.machine("n-2", true);
    cached.images.add("img");
    fixture.add(job("j-1", "array", 1));
    assertThat(fixture.plan().starts().get(0).placements().get(0).machine()).isSameAs(cached);
  }

  private static String withoutGpus(String ref, int tasks) {
    return job(ref, "array", tasks)
        .replace("\"cards\":1.0", "\"cards\":0.0")
        .replace("\"cores\":4.0", "\"cores\":2.0")
        .replace("\"mem_gb\":20.0", "\"mem_gb\":4.0");
  }

  private static long placedOn(Machine machine, SchedulingPlan plan) {
    return plan.starts().get(0).placements().stream()
        .filter(placement -> placement.machine() == machine)
        .count();
  }

  /** On machines with free GPUs, work without GPUs would take the CPUs that GPU tasks need. */
  @Test
  void workWithoutGpusPrefersMachinesWhoseGpusAreTaken() {
    Machine taken = fixture.machine("n-1", false);
    Job gang = fixture.add(gang("j-1"));
    fixture.run(gang, 0, taken);
    Machine spot = fixture.machine("n-2", true);
    fixture.add(withoutGpus("j-2", 4));
    SchedulingPlan plan = fixture.plan();
    assertThat(plan.starts()).hasSize(1);
    assertThat(plan.starts().get(0).placements())
        .hasSize(4)
        .allMatch(placement -> placement.machine() == taken);
    assertThat(plan.scaleOuts()).isEmpty();
    // The gang takes 4 CPUs here, so 22 such tasks have capacity beside it.
    fixture.jobs.remove(1);
    fixture.add(withoutGpus("j-3", 30));
    plan = fixture.plan();
    assertThat(placedOn(taken, plan)).isEqualTo(22);
    assertThat(placedOn(spot, plan)).isEqualTo(8);
  }

  @Test
  void anInheritedPriorityAndTheEarliestLatestStartComeFirst() {
    fixture.cloudExhausted = true;
    fixture.spotExhausted = true;
    fixture.machine("n-1", true);
    // Nine tasks each, so that none is within the team's guarantee: such a job would come first.
    fixture.add(job("j-1", "array", 9));
    Job early = fixture.add(job("j-2", "array", 9));
    early.latestStartMs = 5;
    Job high = fixture.add(job("j-3", "array", 9));
    high.effectivePriority = Priority.HIGH;
    Job waiting = fixture.add(job("j-4", "array", 9));
    waiting.effectivePriority = Priority.HIGH;
    waiting.unmetDependencies.add("j-1");
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      SchedulingPlan plan = fixture.plan();
      assertThat(plan.starts()).hasSize(1);
      Job next = plan.starts().get(0).job();
      order.add(next.spec.ref());
      fixture.jobs.remove(next);
    }
    assertThat(order).containsExactly("j-3", "j-2", "j-1");
    assertThat(fixture.jobs).containsExactly(waiting);
    assertThat(fixture.plan().starts()).isEmpty();
  }
}
