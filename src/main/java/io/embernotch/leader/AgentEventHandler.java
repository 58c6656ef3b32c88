package io.embernotch.leader;

import io.embernotch.agents.AgentReconciler;
import io.embernotch.agents.FencingTokens;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.persistence.StateWriter;

/** Reacts to what agents' heartbeats reveal of attempts and of other leaders. */
final class AgentEventHandler implements AgentReconciler.Listener {
  private final LeaderComponents components;

  AgentEventHandler(LeaderComponents components) {
    this.components = components;
  }

  @Override
  public void taskRunning(Attempt attempt, Machine machine) {}

  @Override
  public void taskExited(Attempt attempt, Machine machine, ExitCause cause, boolean saved) {
    components.attemptOutcomes.handleExit(attempt, machine, cause, saved);
  }

  @Override
  public void attemptLost(Attempt attempt, Machine machine, String reason) {
    components.attemptOutcomes.handleLost(attempt, machine, reason);
  }

  @Override
  public void superseded(long token) {
    components.leaderContext.observeEpoch(FencingTokens.epochOf(token));
    components.leaderContext.reportNewerLeader("a worker has seen fencing token " + token);
  }

  @Override
  public void unissuedTokenSeen(Machine machine, long token) {
    components.storeRolledBack(
        machine.name + " has seen fencing token " + token + ", which this term has not issued");
  }

  @Override
  public void unexpectedTaskReported(Machine machine, String ref) {
    // If a data loss has left jobs unknown, agents may report tasks of those jobs.
    if (components.lifecycle.isLoaded() && !components.term.baseSnapshot().jobsMissing()) {
      components.rollbackDetector.unexpectedTaskReported(machine, ref);
    }
  }

  @Override
  public void clusterChanged() {
    components.schedulingLoop.scheduleSoon();
  }

  @Override
  public boolean isLeading() {
    return components.isLeading();
  }

  @Override
  public boolean isOutcomePersisted(String ref, int task) {
    Job job = components.state.jobs.get(ref);
    StateWriter stateWriter = components.stateWriter;
    return job == null
        || !(stateWriter.isDirty(job, task)
            || stateWriter.isDirty(job, LeaderComponents.FIRST_TASK));
  }
}
