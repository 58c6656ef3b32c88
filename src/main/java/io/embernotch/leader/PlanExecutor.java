package io.embernotch.leader;

import io.embernotch.agents.TaskLauncher;
import io.embernotch.agents.TaskStopper;
import io.embernotch.fleet.FleetManager;
import io.embernotch.model.Machine;
import io.embernotch.scheduling.SchedulingPlan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Has a scheduling plan carried out: stops, starts, and changes of the fleet. */
final class PlanExecutor {
  /** The scheduling loop's, so that these log lines keep the name that they are filtered by. */
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
   * Carries the plan out, as far as the cloud's state is known.
   *
   * @param now when the plan was begun, in seconds of the steady clock
   */
  void execute(SchedulingPlan plan, double now) {
    for (SchedulingPlan.Stop stop : plan.stops()) {
      LOG.info("stopping {}: {}", stop.attempt(), stop.reason());
      stopper.stopWithGang(stop.attempt(), stop.graceS());
    }
    for (SchedulingPlan.Start start : plan.starts()) {
      launcher.launch(start, now);
    }
    if (fleetManager.listedOnce()) {
      plan.scaleOuts().forEach(fleetManager::rent);
    }
    if (fleetManager.cloudAnswers()) {
      for (Machine machine : plan.scaleIns()) {
        LOG.debug("machine {} is idle", machine.name);
        fleetManager.scaleIn(machine);
      }
    }
  }
}
