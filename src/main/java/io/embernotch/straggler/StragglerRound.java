package io.embernotch.straggler;

import io.embernotch.straggler.MachineView.TaskView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One round over a partition: flag slow tasks (section 3.1, Mantri's test), keep those on slow
 * machines (section 5), and restart them, worst first, where the energy saved is largest (section
 * 6, algorithm 1). A pure function.
 */
public final class StragglerRound {
  private final double flagRatio;
  private final double beta;
  private final double roundS;

  /**
   * @param flagRatio a task that has run for longer than this many times its job's mean is flagged
   * @param beta a machine below this share of the partition's average performance is slow (section
   *     5)
   * @param roundS seconds between two rounds, the least time that a running task is taken to need
   */
  public StragglerRound(double flagRatio, double beta, double roundS) {
    this.flagRatio = flagRatio;
    this.beta = beta;
    this.roundS = roundS;
  }

  private record Straggler(MachineView host, TaskView task) {
    /** Equation 4 (section 5) with the job's mean as the work: less is worse. */
    double performance() {
      return task.jobMeanS() / task.elapsedS();
    }
  }

  /** The restarts to propose, worst straggler first; each is given room for those after it. */
  public List<Restart> run(Collection<MachineView> partition) {
    double average = averagePerformance(partition);
    Map<String, MachineView> machines = new HashMap<>();
    partition.forEach(view -> machines.put(view.machine(), view));
    List<Restart> restarts = new ArrayList<>();
    for (Straggler straggler : stragglers(partition, average)) {
      Restart best = bestRestart(straggler, machines.values(), average);
      if (best != null) {
        restarts.add(best);
        machines.computeIfPresent(
            best.target(), (name, target) -> target.withPlaced(straggler.task));
      }
    }
    return restarts;
  }

  /** Flagged tasks on slow machines, worst first. */
  private List<Straggler> stragglers(Collection<MachineView> partition, double average) {
    List<Straggler> stragglers = new ArrayList<>();
    for (MachineView host : partition) {
      if (performance(host, average) >= beta * average) {
        continue;
      }
      for (TaskView task : host.tasks()) {
        if (flagged(task)) {
          stragglers.add(new Straggler(host, task));
        }
      }
    }
    stragglers.sort(Comparator.comparingDouble(Straggler::performance));
    return stragglers;
  }

  /** The restart that saves most energy (section 6, algorithm 1); null if none saves any. */
  private Restart bestRestart(
      Straggler straggler, Collection<MachineView> machines, double average) {
    TaskView task = straggler.task;
    Restart best = null;
    for (MachineView target : machines) {
      if (target.machine().equals(straggler.host.machine()) || !target.hasRoomFor(task)) {
        continue;
      }
      double gain = gain(straggler.host, task, target, average);
      if (gain > (best == null ? 0 : best.gain())) {
        best = new Restart(task.ref(), task.task(), task.attempt(), target.machine(), gain);
      }
    }
    return best;
  }

  /** Mantri's test (section 3.1): it has run for much longer than its job's tasks do. */
  boolean flagged(TaskView task) {
    return task.jobMeanS() > 0 && task.elapsedS() > flagRatio * task.jobMeanS();
  }

  /**
   * Equation 6 (section 6): energy saved by running a copy on {@code target} instead of waiting on
   * {@code host}. Names are the paper's: {@code ts} and {@code tc} are the terms of equation 5,
   * {@code k} the host and {@code j} the target.
   */
  double gain(MachineView host, TaskView task, MachineView target, double average) {
    double ts = Math.max(roundS, task.jobMeanS() / performance(host, average) - task.elapsedS());
    double alpha = EnergyModel.slowdown(target.busyTasks() + 1, target.cores());
    double tc = alpha * task.jobMeanS() / performance(target, average);
    double pk = EnergyModel.power(host.pricePerS(), host.busyTasks(), host.cores());
    double pj = EnergyModel.power(target.pricePerS(), target.busyTasks(), target.cores());
    double pjWithCopy =
        EnergyModel.power(target.pricePerS(), target.busyTasks() + 1, target.cores());
    return pk * (ts - tc) + pj * ts - pjWithCopy * tc;
  }

  /**
   * Performance of a machine (section 5): the mean over what it finished lately, or the partition's
   * average if it finished nothing.
   */
  static double performance(MachineView view, double average) {
    return view.ratios().isEmpty() ? average : mean(view.ratios());
  }

  /** Mean performance of the machines that finished something lately; 1 if none did. */
  static double averagePerformance(Collection<MachineView> partition) {
    double sum = 0;
    int count = 0;
    for (MachineView view : partition) {
      if (!view.ratios().isEmpty()) {
        sum += mean(view.ratios());
        count++;
      }
    }
    return count == 0 ? 1.0 : sum / count;
  }

  private static double mean(List<Double> values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.size();
  }
}
