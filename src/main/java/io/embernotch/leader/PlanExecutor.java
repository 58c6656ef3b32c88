package io.embernotch.leader;

import io.embernotch.agents.TaskLauncher;
import io.embernotch.agents.TaskStopper;
import io.embernotch.fleet.FleetManager;
import io.embernotch.model.Machine;
import io.embernotch.scheduling.SchedulingPlan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Executes scheduling plans: stops and starts tasks, and rents and returns machines. */
final class PlanExecutor {
  /** The logger of the scheduling loop: operators filter these log lines by its name. */
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingLoop.class);

  private final FleetManager fleetManager;
  private final TaskLauncher launcher;
  private final TaskStopper stopper;

  PlanExecutor(FleetManager fleetManager, TaskLauncher launcher, TaskStopper stopper) {
    this.fleetManager = fleetManager;
    this.launcher = launcher;
    this.stopper = stopper;
  }

  /**
   * Executes the plan. Machines are rented and returned only as far as the state of the cloud is
   * known.
   *
   * @param now when planning began, in seconds of the monotonic clock
   */
  void execute(SchedulingPlan plan, double now) {
    for (SchedulingPlan.Stop stop : plan.stops()) {
      LOG.info("stopping {}: {}", stop.attempt(), stop.reason());
      stopper.stopWithGang(stop.attempt(), stop.graceS());
    }
    for (SchedulingPlan.Start start : plan.starts()) {
      launcher.launch(start, now);
    }
    if (fleetManager.hasReceivedMachineList()) {
      plan.scaleOuts().forEach(fleetManager::rent);
    }
    if (fleetManager.isCloudReachable()) {
      for (Machine machine : plan.scaleIns()) {
        LOG.debug("machine {} is idle", machine.name);
        fleetManager.scaleIn(machine);
      }
    }
  }
}
