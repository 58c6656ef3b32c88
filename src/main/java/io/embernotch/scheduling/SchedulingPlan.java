package io.embernotch.scheduling;

import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import java.util.List;
import java.util.Map;

/**
 * The actions that the leader takes next, as computed by {@link Scheduler}.
 *
 * @param starts tasks to start, in the order of their jobs
 * @param stops attempts to stop, in the order in which they were chosen
 * @param scaleOuts machines to rent
 * @param scaleIns idle machines to return
 * @param reserved amounts to reserve, by machine name; null if reservations stay unchanged, because
 *     the plan is for production jobs only
 * @param failures jobs that were left out because planning them failed
 * @param waits the jobs and tasks that were not started, by reason
 */
public record SchedulingPlan(
    List<Start> starts,
    List<Stop> stops,
    List<ScaleOutRequest> scaleOuts,
    List<Machine> scaleIns,
    Map<String, ReservationAmounts> reserved,
    List<Failure> failures,
    WaitSummary waits) {
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
   * An attempt to stop.
   *
   * @param attempt the attempt
   * @param graceS seconds that it has to save its progress
   * @param reason the reason, for the log
   */
  public record Stop(Attempt attempt, double graceS, String reason) {}

  /**
   * Machines to rent.
   *
   * @param type name of the machine type
   * @param zone their zone
   * @param spot whether they are spot machines
   * @param number how many
   */
  public record ScaleOutRequest(String type, String zone, boolean spot, int number) {}

  /**
   * A job that could not be planned because of a bug in the scheduler.
   *
   * @param job the job
   * @param cause the exception that planning it threw
   */
  public record Failure(Job job, RuntimeException cause) {}
}
