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

  public void forget(long leaderEpoch, String machine) {
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
    views.values().removeIf(h -> now - h.at > forgetS);
    List<MachineView> out = new ArrayList<>();
    for (Held h : views.values()) {
      out.add(aged(h.view, now - h.at));
    }
    return out;
  }

  private static MachineView aged(MachineView m, double by) {
    List<MachineView.TaskView> tasks = new ArrayList<>();
    for (MachineView.TaskView t : m.tasks()) {
      tasks.add(
          new MachineView.TaskView(
              t.ref(),
              t.task(),
              t.attempt(),
              t.elapsedS() + by,
              t.jobMeanS(),
              t.cpus(),
              t.gpus(),
              t.memGb(),
              t.spotAllowed(),
              t.zone(),
              t.types()));
    }
    return new MachineView(
        m.machine(),
        m.type(),
        m.zone(),
        m.spot(),
        m.cores(),
        m.pricePerS(),
        m.usable(),
        m.freeCpus(),
        m.freeGpus(),
        m.freeMemGb(),
        m.busyTasks(),
        m.ratios(),
        tasks);
  }
}
