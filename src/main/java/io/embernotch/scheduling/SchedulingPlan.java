package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the leader is to do now. The scheduler fills it; later it must not be changed. */
public final class SchedulingPlan {
  /**
   * A task and the machine that it is to start on.
   *
   * @param task number of the task within its job
   * @param machine a machine that is up
   */
  public record Placement(int task, Machine machine) {}

  /**
   * Tasks of one job to start together.
   *
   * @param job the job
   * @param placements all tasks of a gang, or some of an array or service; never empty
   */
  public record Start(Job job, List<Placement> placements) {}

  /**
   * An attempt that is to stop.
   *
   * @param attempt the attempt
   * @param graceS seconds that it has to save its progress
   * @param why the reason, for the log
   */
  public record Stop(Attempt attempt, double graceS, String why) {}

  /**
   * Machines to be rented.
   *
   * @param type name of the machine type
   * @param zone their zone
   * @param spot whether they are spot machines
   * @param number how many
   */
  public record ScaleOutRequest(String type, String zone, boolean spot, int number) {}

  /** Tasks to start, in the order of their jobs. */
  public final List<Start> starts = new ArrayList<>();

  /** Attempts to stop, in the order in which they were chosen. */
  public final List<Stop> stops = new ArrayList<>();

  /** Machines to rent. */
  public final List<ScaleOutRequest> scaleOuts = new ArrayList<>();

  /** Idle machines to return. */
  public final List<Machine> scaleIns = new ArrayList<>();

  /**
   * What is to be reserved, by machine name and index of the reservation; null: unchanged, the plan
   * was for production jobs alone.
   */
  public Map<String, Resources[]> reserved;
}
