package io.embernotch.scheduling;

import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.Priority;
import io.embernotch.settings.OperatorSettings;
import io.embernotch.settings.Settings;
import java.util.List;

/**
 * Decides where tasks run, which attempts are preempted for them, and which machines are rented and
 * returned. It reads the input and changes nothing outside its own working state, except for the
 * fields of {@link Job} that are marked as set by the planner.
 *
 * <p>Jobs are placed in the order of {@link JobOrdering}. The tasks of a job take free capacity on
 * machines that are up; else they claim capacity that is being freed or a machine that is booting;
 * else, if the job may, they preempt other work; else a machine is rented for them. Capacity that
 * is claimed is not given to any later job.
 *
 * <p>Not thread-safe: one instance belongs to the event loop of one leader.
 */
public final class Scheduler {
  /** Heartbeat intervals without contact after which no task is started on a machine. */
  private static final double MAX_MISSED_HEARTBEATS = 2;

  private final Settings settings;
  private final OperatorSettings operatorSettings;

  /** Most machines that one plan rents: the cloud would not take more requests in a second. */
  private final int maxNewMachines;

  /**
   * Creates a scheduler for one leader.
   *
   * @param settings the settings of the cluster: teams, zones, intervals and limits
   * @param operatorSettings the operators' settings of this controller
   */
  public Scheduler(Settings settings, OperatorSettings operatorSettings) {
    this.settings = settings;
    this.operatorSettings = operatorSettings;
    this.maxNewMachines =
        ((int) Math.max(1, settings.cloudLimits().rps())) * Settings.CloudLimits.MAX_RENT;
  }

  /**
   * Computes a full plan: starts, preemptions, scale-out, scale-in and reservations.
   *
   * @param input the state of the cluster; its collections must not change during the call
   * @return the plan, never null
   */
  public SchedulingPlan plan(SchedulingInput input) {
    SchedulingCycle cycle = SchedulingCycle.begin(settings, maxNewMachines, input);
    CapacityAllocator allocator = new CapacityAllocator(cycle);
    JobPlacement placement = new JobPlacement(cycle, allocator);
    List<Job> others = placeProduction(cycle, placement, input);
    // Reservations are planned before the other jobs, which would take their capacity otherwise.
    new ReservationPlanner(input.reservations(), cycle.candidates(), allocator).reserve();
    HeadroomPlanner headroom = new HeadroomPlanner(allocator, input);
    headroom.keepForProduction();
    new GangAccumulation(cycle).selectMachines(others);
    others.forEach(placement::place);
    headroom.keepForOthers();
    SchedulingPlanBuilder plan = cycle.plan();
    cycle.scaleOutPlanner().addTo(plan);
    ScaleInPlanner.addTo(plan, cycle.candidates(), cycle.now(), operatorSettings.keepIdleBoots());
    plan.reserve(cycle.candidates().reserved());
    plan.teamGpus(cycle.usage().gpusByTeam());
    return plan.build();
  }

  /**
   * Computes a plan for production jobs only. That takes a fraction of the time of a full plan, so
   * that these jobs need not wait for one.
   *
   * @param input the state of the cluster; its collections must not change during the call
   * @return the plan, without scale-in and without a change of the reservations
   */
  public SchedulingPlan planProduction(SchedulingInput input) {
    SchedulingCycle cycle = SchedulingCycle.begin(settings, maxNewMachines, input);
    placeProduction(cycle, new JobPlacement(cycle, new CapacityAllocator(cycle)), input);
    cycle.scaleOutPlanner().addTo(cycle.plan());
    return cycle.plan().build();
  }

  /** Places the production jobs, and returns the other jobs in their order. */
  private List<Job> placeProduction(
      SchedulingCycle cycle, JobPlacement placement, SchedulingInput input) {
    List<Job> order = JobOrdering.of(input.jobs(), settings, cycle.candidates(), input.wallMs());
    int next = 0;
    while (next < order.size() && order.get(next).spec.priority() == Priority.PRODUCTION) {
      placement.place(order.get(next));
      next++;
    }
    return order.subList(next, order.size());
  }

  /**
   * Returns whether the state of a machine allows starting tasks on it now.
   *
   * @param now monotonic time in seconds
   */
  public static boolean usable(Machine machine, double now, Settings settings) {
    return machine.avoidUntil <= now
        && !machine.suspectedUnreachable()
        && now - machine.lastSignOfLifeAt()
            < MAX_MISSED_HEARTBEATS * settings.workers().heartbeatIntervalS();
  }

  /**
   * Returns whether a job may be kept waiting for cheap capacity: work of low priority and of teams
   * without a guarantee. Otherwise, for a large {@link JobShape#ARRAY} of such a team, every
   * machine of the cloud would be rented, and none would be left for the others.
   */
  public static boolean mayWaitForCapacity(Settings settings, JobSpec spec) {
    return spec.priority() == Priority.LOW
        || (spec.priority() != Priority.PRODUCTION && settings.guest(spec.team()));
  }
}
