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
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out what a plan starts: opens attempts, has them committed, and only then sends them. */
public final class TaskLauncher {
  private static final Logger LOG = LoggerFactory.getLogger(TaskLauncher.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final AgentReconciler agents;
  private final double acquiredAt;
  private final BooleanSupplier mayOrder;
  private final ArrayDeque<Machine> toFlush = new ArrayDeque<>();
  private boolean liveStarted;

  public TaskLauncher(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      AgentReconciler agents,
      double acquiredAt,
      BooleanSupplier mayOrder) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.agents = agents;
    this.acquiredAt = acquiredAt;
    this.mayOrder = mayOrder;
  }

  public void launch(SchedulingPlan.Start s, double now) {
    Job job = s.job();
    if (job.openAttempts.isEmpty() && job.done.isEmpty() && job.restartedTasks.isEmpty()) {
      state.largestJobWaits.begins(job, context.clock().wallMs());
    }
    long number = job.nextAttempt++;
    boolean live = job.spec.priority() == Priority.PRODUCTION;
    for (SchedulingPlan.Placement p : s.placements()) {
      Attempt attempt = state.openAttempt(job, p.task(), number, p.machine(), now);
      job.preferredMachines.remove(p.task());
      stateWriter.writeNow(
          job,
          p.task(),
          live ? RequestPriority.HIGH : RequestPriority.NORMAL,
          () -> {
            if (ClusterState.isOpen(attempt)
                && attempt.launchState == Attempt.LaunchState.UNCOMMITTED
                && job.finalPhase == null) {
              attempt.launchState = Attempt.LaunchState.READY;
              flushSoon(p.machine());
              if (live && !liveStarted) {
                liveStarted = true;
                double at = context.clock().now();
                LOG.info(
                    "first service start {} ms after the failover, {} ms after it was scheduled",
                    Math.round((at - acquiredAt) * 1000),
                    Math.round((at - now) * 1000));
              }
            }
          });
    }
  }

  /** Gathers the starts of one commit, so that each machine gets one command. */
  private void flushSoon(Machine machine) {
    if (toFlush.isEmpty()) {
      context
          .loop()
          .execute(
              () -> {
                Set<Machine> all = Set.copyOf(toFlush);
                toFlush.clear();
                if (mayOrder.getAsBoolean()) {
                  all.forEach(agents::sendDueCommands);
                }
              });
    }
    toFlush.add(machine);
  }
}
