package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.Priority;
import io.embernotch.persistence.StateWriter;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.state.ClusterState;
import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts the tasks that the scheduler has placed. Opens an attempt for each, writes it to the
 * store, and sends its start command once the write is committed. Confined to the leader's event
 * loop.
 */
public final class TaskLauncher {
  private static final Logger LOG = LoggerFactory.getLogger(TaskLauncher.class);

  private static final int MS_PER_S = 1000;

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final AgentReconciler agents;
  private final double acquiredAt;
  private final BooleanSupplier isLeading;
  private final ArrayDeque<Machine> machinesWithDueStarts = new ArrayDeque<>();
  private boolean productionStarted;

  /**
   * Creates the launcher of a term.
   *
   * @param acquiredAt when the term began, in seconds of the steady clock
   * @param isLeading whether the leader's lease is proven
   */
  public TaskLauncher(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      AgentReconciler agents,
      double acquiredAt,
      BooleanSupplier isLeading) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.agents = agents;
    this.acquiredAt = acquiredAt;
    this.isLeading = isLeading;
  }

  /**
   * Opens an attempt for each placement of the start. Each start command is sent once its attempt
   * is committed.
   *
   * @param now when the start was scheduled, in seconds of the steady clock
   */
  public void launch(SchedulingPlan.Start start, double now) {
    Job job = start.job();
    if (job.openAttempts.isEmpty() && job.done.isEmpty() && job.restartedTasks.isEmpty()) {
      state.largestJobWaitTimes.recordStart(job, context.clock().wallMs());
    }
    long number = job.nextAttempt++;
    RequestPriority priority = isProduction(job) ? RequestPriority.HIGH : RequestPriority.NORMAL;
    for (SchedulingPlan.Placement placement : start.placements()) {
      Machine machine = placement.machine();
      Attempt attempt = state.openAttempt(job, placement.task(), number, machine, now);
      job.preferredMachines.remove(placement.task());
      LOG.debug("{} opened on machine {}: no other attempt is open", attempt, machine.name);
      stateWriter.writeNow(
          job, placement.task(), priority, () -> attemptCommitted(attempt, machine, now));
    }
  }

  private static boolean isProduction(Job job) {
    return job.spec.priority() == Priority.PRODUCTION;
  }

  private void attemptCommitted(Attempt attempt, Machine machine, double scheduledAt) {
    if (!ClusterState.isOpen(attempt)
        || attempt.launchState != Attempt.LaunchState.UNCOMMITTED
        || attempt.job.finalPhase != null) {
      return;
    }
    attempt.launchState = Attempt.LaunchState.READY;
    LOG.debug("{} committed: its start command may be sent", attempt);
    sendSoon(machine);
    if (isProduction(attempt.job) && !productionStarted) {
      productionStarted = true;
      double now = context.clock().now();
      LOG.info(
          "first start of a production job {} ms after the term began, {} ms after scheduling",
          Math.round((now - acquiredAt) * MS_PER_S),
          Math.round((now - scheduledAt) * MS_PER_S));
    }
  }

  /** Collects the starts of one commit, so that each machine gets them in one call. */
  private void sendSoon(Machine machine) {
    if (machinesWithDueStarts.isEmpty()) {
      context.coreLoop().execute(this::sendCollected);
    }
    machinesWithDueStarts.add(machine);
  }

  private void sendCollected() {
    // In commit order, so that a simulation with the same seed takes the same course.
    Set<Machine> machines = new LinkedHashSet<>(machinesWithDueStarts);
    machinesWithDueStarts.clear();
    if (isLeading.getAsBoolean()) {
      machines.forEach(agents::sendDueCommands);
    }
  }
}
