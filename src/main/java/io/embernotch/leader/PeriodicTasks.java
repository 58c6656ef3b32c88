package io.embernotch.leader;

import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import java.util.List;

/** The periodic tasks of the leader, which run several times per heartbeat interval. */
final class PeriodicTasks {
  private final LeaderComponents components;

  PeriodicTasks(LeaderComponents components) {
    this.components = components;
  }

  /** Runs the tasks that are due; does nothing while the lease is not proven. */
  void run() {
    if (!components.leaderContext.isLeaseValid()) {
      return;
    }
    double now = components.context.clock().now();
    expireLeases();
    checkMachines();
    components.fleetManager.tick();
    components.cancellations.checkAll();
    components.dependencyGraph.resolveUnknown();
    components.restartReviewer.commitDue();
    if (components.lifecycle.loadedForS(now)
        > components.context.settings().workers().heartbeatIntervalS()) {
      // Right after a failover, tasks that don't benefit live services must not delay them.
      evictAndPublish(now);
    }
    components.sharedState.tick();
    components.statusLogger.tick(now);
    components.schedulingLoop.tick(now);
  }

  private void expireLeases() {
    for (Attempt attempt : components.fleetManager.attemptsWithExpiredLease()) {
      Machine machine = components.state.machines.get(attempt.machine);
      components.attemptOutcomes.handleLost(attempt, machine, "the worker's lease expired");
    }
  }

  private void checkMachines() {
    for (Machine machine : List.copyOf(components.state.machines.values())) {
      if (components.stopper.drain(machine)) {
        components.fleetManager.scaleIn(machine);
      }
      components.agents.sendDueCommands(machine);
    }
  }

  private void evictAndPublish(double now) {
    components.completions.evict();
    components.machineViewPublisher.publish(components.leaderContext.liveControllers());
    components.imagePublisher.publish(
        components.state.machines.values(),
        components.term.epoch(),
        now,
        components.leaderContext::broadcast);
  }
}
