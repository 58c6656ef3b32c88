package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the leader should do now. */
public final class SchedulingPlan {
  /** A task and the machine that it is to start on. */
  public record Placement(int task, Machine machine) {}

  /** Tasks of one job to start together; all of a gang, or some of an array or service. */
  public record Start(Job job, List<Placement> placements) {}

  /** An attempt that is to stop, with so many seconds to save its progress. */
  public record Stop(Attempt attempt, double graceS, String why) {}

  /** Machines to be rented. */
  public record ScaleOutRequest(String type, String zone, boolean spot, int number) {}

  public final List<Start> starts = new ArrayList<>();
  public final List<Stop> stops = new ArrayList<>();
  public final List<ScaleOutRequest> scaleOuts = new ArrayList<>();

  /** What is to be held on machines for each reservation, by name; null: as before. */
  public Map<String, Resources[]> reserved;

  /** Idle machines that nothing waits for. */
  public final List<Machine> scaleIns = new ArrayList<>();
}
