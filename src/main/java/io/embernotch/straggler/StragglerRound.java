package io.embernotch.straggler;

import io.embernotch.straggler.MachineView.TaskView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One round over a part: flag (section 3.1, Mantri's test), keep those on slow machines (section
 * 5), worst first, and best fit by the change of energy (section 6, algorithm 1). Pure.
 */
public final class StragglerRound {
  private final double flagRatio;
  private final double beta;
  private final double roundS;

  public StragglerRound(double flagRatio, double beta, double roundS) {
    this.flagRatio = flagRatio;
    this.beta = beta;
    this.roundS = roundS;
  }

  private record Straggler(MachineView host, TaskView task) {
    /** Equation 4 with the job's mean as the work: less is worse. */
    double performance() {
      return task.jobMeanS() / task.elapsedS();
    }
  }

  public List<Restart> run(Collection<MachineView> partition) {
    double average = partAverage(partition);
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
    Map<String, MachineView> room = new HashMap<>();
    partition.forEach(view -> room.put(view.machine(), view));
    List<Restart> out = new ArrayList<>();
    for (Straggler straggler : stragglers) {
      Restart best = null;
      for (MachineView j : room.values()) {
        if (j.machine().equals(straggler.host.machine()) || !j.hasRoomFor(straggler.task)) {
          continue;
        }
        double gain = gain(straggler.host, straggler.task, j, average);
        if (gain > (best == null ? 0 : best.gain())) {
          best =
              new Restart(
                  straggler.task.ref(),
                  straggler.task.task(),
                  straggler.task.attempt(),
                  j.machine(),
                  gain);
        }
      }
      if (best != null) {
        out.add(best);
        room.computeIfPresent(best.target(), (name, view) -> without(view, straggler.task));
      }
    }
    return out;
  }

  boolean flagged(TaskView task) {
    return task.jobMeanS() > 0 && task.elapsedS() > flagRatio * task.jobMeanS();
  }

  /** Equation 6: energy saved by running a copy on {@code j} instead of waiting on {@code k}. */
  double gain(MachineView k, TaskView task, MachineView j, double average) {
    double ts = Math.max(roundS, task.jobMeanS() / performance(k, average) - task.elapsedS());
    double alpha = EnergyModel.slowdown(j.busyTasks() + 1, j.cores());
    double tc = alpha * task.jobMeanS() / performance(j, average);
    double pk = EnergyModel.power(k.pricePerS(), k.busyTasks(), k.cores());
    double pj = EnergyModel.power(j.pricePerS(), j.busyTasks(), j.cores());
    double pjWith = EnergyModel.power(j.pricePerS(), j.busyTasks() + 1, j.cores());
    return pk * (ts - tc) + pj * ts - pjWith * tc;
  }

  /** Mean over what the machine finished lately, or its part's average if it finished nothing. */
  static double performance(MachineView view, double average) {
    return view.ratios().isEmpty() ? average : mean(view.ratios());
  }

  static double partAverage(Collection<MachineView> partition) {
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
    for (double v : values) {
      sum += v;
    }
    return sum / values.size();
  }

  private static MachineView without(MachineView view, TaskView task) {
    return new MachineView(
        view.machine(),
        view.type(),
        view.zone(),
        view.spot(),
        view.cores(),
        view.pricePerS(),
        view.usable(),
        view.freeCpus() - task.cpus(),
        view.freeGpus() - task.gpus(),
        view.freeMemGb() - task.memGb(),
        view.busyTasks() + 1,
        view.ratios(),
        view.tasks());
  }
}
