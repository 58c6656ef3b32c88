package io.embernotch.straggler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.embernotch.straggler.MachineView.TaskView;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The paper's filter, order and change of energy on examples worked by hand. */
class StragglerRoundTest {
  private final StragglerRound round = new StragglerRound(1.5, 0.5, 5);

  private static TaskView task(String ref, double elapsed, double mean) {
    return new TaskView(ref, 0, 1, elapsed, mean, 5, 1, 10, true, null, null);
  }

  private static MachineView machine(
      String name, double price, int busy, double gpus, List<Double> ratios, TaskView... tasks) {
    return new MachineView(
        name, "g8", "z1", false, 4, price, true, 40, gpus, 100, busy, ratios, List.of(tasks));
  }

  @Test
  void flagsTasksThatRunLongerThanTheRatioOfAKnownMean() {
    assertThat(round.flagged(task("a", 61, 40))).isTrue();
    assertThat(round.flagged(task("a", 60, 40))).isFalse();
    assertThat(round.flagged(task("a", 1000, 0))).isFalse();
  }

  @Test
  void changeOfEnergyOnAWorkedExample() {
    // k: performance 0.25, 1 task on 4 cores. j: performance 1, 3 tasks. Static power 2 and 4.
    MachineView host = machine("k", 2, 1, 0, List.of(0.25), task("a", 60, 40));
    MachineView target = machine("j", 4, 3, 1, List.of(1.0));
    // Ts = 40/0.25 - 60 = 100; alpha = 1 for 4 tasks on 4 cores; Tc = 40; dT = 60.
    // Pk = 2 + 1*0.5 = 2.5; Pj = 4 + 3*1 = 7; P'j = 8. dE = 2.5*60 + 7*100 - 8*40 = 530.
    assertThat(round.gain(host, host.tasks().get(0), target, 0.6)).isCloseTo(530, within(1e-9));
    // One more task than cores: alpha = 5/4, Tc = 50, dT = 50, Pj = P'j = 8.
    MachineView full = machine("j", 4, 4, 1, List.of(1.0));
    assertThat(round.gain(host, host.tasks().get(0), full, 0.6))
        .isCloseTo(2.5 * 50 + 8 * 100 - 8 * 50, within(1e-9));
  }

  @Test
  void remainingRunTimeIsAtLeastOneRound() {
    MachineView host = machine("k", 0, 1, 0, List.of(0.9), task("a", 400, 40));
    MachineView target = machine("j", 0, 0, 1, List.of(1.0));
    // Ts = 5, Tc = 40, a free machine counts one unit: dE = 1.25*(5-40) + 1*5 - 1.25*40.
    assertThat(round.gain(host, host.tasks().get(0), target, 1))
        .isCloseTo(1.25 * -35 + 5 - 50, within(1e-9));
  }

  @Test
  void onlyTasksOnSlowMachinesSurviveAndTheWorstGoesFirst() {
    MachineView slow =
        machine("slow", 1, 2, 0, List.of(0.2), task("bad", 70, 40), task("worse", 100, 40));
    MachineView fine = machine("fine", 1, 1, 0, List.of(1.0), task("unlucky", 300, 40));
    MachineView free = machine("free", 1, 0, 1, List.of(1.1));
    List<Restart> restarts = round.run(List.of(slow, fine, free));
    // One place is free: the worst straggler gets it, and the one on the fine machine none.
    assertThat(restarts).extracting(Restart::ref).containsExactly("worse");
    assertThat(restarts.get(0).target()).isEqualTo("free");
  }

  @Test
  void theBestFitWinsAndNothingIsRestartedAtALoss() {
    MachineView slow = machine("slow", 1, 1, 0, List.of(0.1), task("a", 70, 40));
    MachineView good = machine("good", 1, 0, 1, List.of(1.0));
    MachineView better = machine("better", 1, 0, 1, List.of(1.5));
    assertThat(round.run(List.of(slow, good, better)))
        .extracting(Restart::target)
        .containsExactly("better");
    MachineView awful = machine("awful", 1, 0, 1, List.of(0.01));
    assertThat(round.run(List.of(slow, awful, machine("x", 1, 0, 0, List.of(2.0))))).isEmpty();
  }

  @Test
  void aMachineThatFinishedNothingCountsAsAverage() {
    MachineView a = machine("a", 1, 0, 1, List.of(1.0));
    MachineView b = machine("b", 1, 0, 1, List.of(0.5));
    MachineView c = machine("c", 1, 0, 1, List.of());
    double average = StragglerRound.averagePerformance(List.of(a, b, c));
    assertThat(average).isCloseTo(0.75, within(1e-9));
    assertThat(StragglerRound.performance(c, average)).isEqualTo(average);
    assertThat(StragglerRound.averagePerformance(List.of(c))).isEqualTo(1.0);
  }

  @Test
  void partitionsAreBalancedAndOnlyALostControllersPartitionMoves() {
    int[] count = new int[3];
    for (int i = 0; i < 300; i++) {
      String machine = String.format("n-%06d", i);
      String owner = MachinePartitions.owner(machine, Set.of("c0", "c1", "c2"));
      count[owner.charAt(1) - '0']++;
      if (!owner.equals("c2")) {
        assertThat(MachinePartitions.owner(machine, Set.of("c0", "c1"))).isEqualTo(owner);
      }
    }
    assertThat(java.util.Arrays.stream(count).min().getAsInt()).isGreaterThan(50);
  }
}
