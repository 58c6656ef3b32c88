package io.embernotch.leader;

import io.embernotch.fleet.FleetManager;
import io.embernotch.model.Attempt;
import io.embernotch.model.Machine;
import java.util.List;
import java.util.Set;

/** Reacts to events of the fleet: machines that are gone or unreachable. */
final class FleetEventHandler implements FleetManager.Listener {
  private final LeaderComponents components;

  FleetEventHandler(LeaderComponents components) {
    this.components = components;
  }

  @Override
  public void machineDeleted(Machine machine) {
    if (components.state.machines.get(machine.name) != machine) {
      return;
    }
    for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
      components.attemptOutcomes.handleLost(attempt, machine, "its machine was scaled in");
    }
    components.state.machines.remove(machine.name);
    components.imagePublisher.machineRemoved(
        machine.name, components.term.epoch(), components.leaderContext::broadcast);
    components.agents.markDeleted(machine.name);
    components.schedulingLoop.scheduleSoon();
  }

  @Override
  public void clusterChanged() {
    components.schedulingLoop.scheduleSoon();
  }

  @Override
  public Set<String> liveControllers() {
    return components.leaderContext.liveControllers();
  }

  @Override
  public void startUndeliverable(Attempt attempt) {
    components.stopper.stopWithGang(attempt, 0);
  }

  @Override
  public void controllerPartitioned() {
    components.leaderContext.resign("most machines are unresponsive");
  }
}
