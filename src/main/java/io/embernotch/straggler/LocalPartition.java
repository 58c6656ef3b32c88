package io.embernotch.straggler;

import io.embernotch.actor.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A controller's part: the latest view of each machine in it, as the leader streams them. The views
 * of an earlier leader, and those that are not renewed, are forgotten.
 */
public final class LocalPartition {
  private record Held(MachineView view, double at) {}

  private final Clock clock;
  private final double forgetS;
  private final Map<String, Held> views = new HashMap<>();
  private long epoch;

  public LocalPartition(Clock clock, double forgetS) {
    this.clock = clock;
    this.forgetS = forgetS;
  }

  public void put(long leaderEpoch, MachineView view) {
    if (leaderEpoch < epoch) {
      return;
    }
    if (leaderEpoch > epoch) {
      epoch = leaderEpoch;
      views.clear();
    }
    views.put(view.machine(), new Held(view, clock.now()));
  }

  public void remove(long leaderEpoch, String machine) {
    if (leaderEpoch == epoch) {
      views.remove(machine);
    }
  }

  public long epoch() {
    return epoch;
  }

  public int size() {
    return views.size();
  }

  /** The part now: run times have gone on since each view was made. */
  public List<MachineView> current() {
    double now = clock.now();
    views.values().removeIf(entry -> now - entry.at > forgetS);
    List<MachineView> out = new ArrayList<>();
    for (Held entry : views.values()) {
      out.add(aged(entry.view, now - entry.at));
    }
    return out;
  }

  private static MachineView aged(MachineView view, double by) {
    List<MachineView.TaskView> tasks = new ArrayList<>();
    for (MachineView.TaskView task : view.tasks()) {
      tasks.add(
          new MachineView.TaskView(
              task.ref(),
              task.task(),
              task.attempt(),
              task.elapsedS() + by,
              task.jobMeanS(),
              task.cpus(),
              task.gpus(),
              task.memGb(),
              task.spotAllowed(),
              task.zone(),
              task.types()));
    }
    return new MachineView(
        view.machine(),
        view.type(),
        view.zone(),
        view.spot(),
        view.cores(),
        view.pricePerS(),
        view.usable(),
        view.freeCpus(),
        view.freeGpus(),
        view.freeMemGb(),
        view.busyTasks(),
        view.ratios(),
        tasks);
  }
}
