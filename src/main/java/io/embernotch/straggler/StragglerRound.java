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

  public List<Restart> run(Collection<MachineView> part) {
    double average = partAverage(part);
    List<Straggler> stragglers = new ArrayList<>();
    for (MachineView host : part) {
      if (performance(host, average) >= beta * average) {
        continue;
      }
      for (TaskView t : host.tasks()) {
        if (flagged(t)) {
          stragglers.add(new Straggler(host, t));
        }
      }
    }
    stragglers.sort(Comparator.comparingDouble(Straggler::performance));
    Map<String, MachineView> room = new HashMap<>();
    part.forEach(m -> room.put(m.machine(), m));
    List<Restart> out = new ArrayList<>();
    for (Straggler s : stragglers) {
      Restart best = null;
      for (MachineView j : room.values()) {
        if (j.machine().equals(s.host.machine()) || !j.hasRoomFor(s.task)) {
          continue;
        }
        double gain = gain(s.host, s.task, j, average);
        if (gain > (best == null ? 0 : best.gain())) {
          best = new Restart(s.task.ref(), s.task.task(), s.task.attempt(), j.machine(), gain);
        }
      }
      if (best != null) {
        out.add(best);
        room.computeIfPresent(best.target(), (name, m) -> without(m, s.task));
      }
    }
    return out;
  }

  boolean flagged(TaskView t) {
    return t.jobMeanS() > 0 && t.elapsedS() > flagRatio * t.jobMeanS();
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
  static double performance(MachineView m, double average) {
    return m.ratios().isEmpty() ? average : mean(m.ratios());
  }

  static double partAverage(Collection<MachineView> part) {
    double sum = 0;
    int n = 0;
    for (MachineView m : part) {
      if (!m.ratios().isEmpty()) {
        sum += mean(m.ratios());
        n++;
      }
    }
    return n == 0 ? 1.0 : sum / n;
  }

  private static double mean(List<Double> values) {
    double sum = 0;
    for (double v : values) {
      sum += v;
    }
    return sum / values.size();
  }

  private static MachineView without(MachineView m, TaskView t) {
    return new MachineView(
        m.machine(),
        m.type(),
        m.zone(),
        m.spot(),
        m.cores(),
        m.pricePerS(),
        m.usable(),
        m.freeCpus() - t.cpus(),
        m.freeGpus() - t.gpus(),
        m.freeMemGb() - t.memGb(),
        m.busyTasks() + 1,
        m.ratios(),
        m.tasks());
  }
}
