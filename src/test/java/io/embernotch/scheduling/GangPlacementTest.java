package io.embernotch.scheduling;

import static io.embernotch.scheduling.SchedulerFixture.gang;
import static io.embernotch.testkit.TestJobs.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Gangs start as a whole, in one zone if required, and capacity is accumulated for them. */
class GangPlacementTest {
  private static final String WHOLE_MACHINES =
      job("j-9", "group", 3)
          .replace("\"cards\":1.0", "\"cards\":8.0")
          .replace("\"loaner\":true", "\"loaner\":false");

  private final SchedulerFixture fixture = new SchedulerFixture();

  /** The second in which each running attempt ends. */
  private final Map<Attempt, Integer> ends = new HashMap<>();

  /**
   * Small tasks take capacity as soon as it is freed, so without accumulation no whole machine ever
   * becomes free.
   */
  @Test
  void capacityAccumulatesForAWaitingGangOfWholeMachines() {
    assertThat(gangStartsAfter(400)).isLessThan(240);
  }

  /**
   * Seconds until a gang of whole machines starts on a full fleet, with an unlimited supply of
   * small tasks of about 20 s each; {@code timeoutS} if it does not start.
   */
  private int gangStartsAfter(int timeoutS) {
    fixture.cloudExhausted = true;
    Job small = fixture.add(job("j-1", "array", 100_000).replace("red", "blue"));
    for (int i = 0; i < 8; i++) {
      fixture.machine("n-" + i, false);
    }
    Job gang = fixture.add(WHOLE_MACHINES);
    for (int second = 0; second < timeoutS; second++) {
      fixture.wallMs = 1000L * second;
      endTasks(small, second);
      for (SchedulingPlan.Start start : fixture.plan().starts()) {
        if (start.job() == gang) {
          return second;
        }
        startTasks(start, small, second);
      }
    }
    return timeoutS;
  }

  private void endTasks(Job small, int second) {
    for (Map.Entry<Attempt, Integer> end : Map.copyOf(ends).entrySet()) {
      if (end.getValue() <= second) {
        Attempt attempt = end.getKey();
        ends.remove(attempt);
        small.done.set(attempt.task);
        small.openAttempts.remove(attempt.task);
        Machine machine =
            fixture.machines.stream()
                .filter(candidate -> candidate.name.equals(attempt.machine))
                .findFirst()
                .orElseThrow();
        machine.openAttempts.remove(Machine.taskKey("j-1", attempt.task));
        machine.attemptsChanged();
      }
    }
  }

  private void startTasks(SchedulingPlan.Start start, Job small, int second) {
    for (SchedulingPlan.Placement placement : start.placements()) {
      int task = placement.task();
      fixture.run(small, task, placement.machine());
      placement.machine().attemptsChanged();
      ends.put(small.openAttempts.get(task), second + 15 + (task * 7) % 11);
    }
  }

  @Test
  void aGangWhoseZoneLacksCapacityWaitsForMachinesInOneZone() {
    fixture.machine("n-1", false);
    fixture.add(
        gang("j-1")
            .replace("\"shards\":1", "\"shards\":3")
            .replace("\"one_zone\":false", "\"one_zone\":true"));
    SchedulingPlan plan = fixture.plan();
    assertThat(plan.starts()).isEmpty();
    assertThat(plan.scaleOuts()).hasSize(1);
    assertThat(plan.scaleOuts().get(0).zone()).isEqualTo("z1");
    assertThat(plan.scaleOuts().get(0).number()).isEqualTo(2);
  }
}
