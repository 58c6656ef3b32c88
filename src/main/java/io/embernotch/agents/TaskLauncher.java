package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.state.ClusterState;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.model.Priority;
import io.embernotch.scheduling.SchedulingPlan;
import io.embernotch.persistence.StateWriter;
import io.embernotch.store.RateLimiter.Rank;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out what a plan starts: opens attempts, has them committed, and only then sends them. */
public final class TaskLauncher {
  private static final Logger LOG = LoggerFactory.getLogger(TaskLauncher.class);

  private final ControllerContext env;
  private final ClusterState ledger;
  private final StateWriter committer;
  private final AgentReconciler workers;
  private final double acquiredAt;
  private final BooleanSupplier mayOrder;
  private final ArrayDeque<Machine> toFlush = new ArrayDeque<>();
  private boolean liveStarted;

  public TaskLauncher(
      ControllerContext env,
      ClusterState ledger,
      StateWriter committer,
      AgentReconciler workers,
      double acquiredAt,
      BooleanSupplier mayOrder) {
    this.env = env;
    this.ledger = ledger;
    this.committer = committer;
    this.workers = workers;
    this.acquiredAt = acquiredAt;
    this.mayOrder = mayOrder;
  }

  public void begin(SchedulingPlan.Start s, double now) {
    Job job = s.job();
    if (job.open.isEmpty() && job.done.isEmpty() && job.restarted.isEmpty()) {
      ledger.largest.begins(job, env.clock().wallMs());
    }
    long number = job.nextAttempt++;
    boolean live = job.spec.priority() == Priority.PRODUCTION;
    for (SchedulingPlan.Placement p : s.placements()) {
      Attempt a = ledger.open(job, p.task(), number, p.machine(), now);
      job.wishes.remove(p.task());
      committer.now(
          job,
          p.task(),
          live ? Rank.FIRST : Rank.USUAL,
          () -> {
            if (ClusterState.isOpen(a) && a.start == Attempt.LaunchState.UNCOMMITTED && job.end == null) {
              a.start = Attempt.LaunchState.READY;
              flushSoon(p.machine());
              if (live && !liveStarted) {
                liveStarted = true;
                double at = env.clock().now();
                LOG.info(
                    "first live start {} ms after the takeover, {} ms after it was planned",
                    Math.round((at - acquiredAt) * 1000),
                    Math.round((at - now) * 1000));
              }
            }
          });
    }
  }

  /** Gathers the starts of one commit, so that each machine gets one command. */
  private void flushSoon(Machine m) {
    if (toFlush.isEmpty()) {
      env.loop()
          .execute(
              () -> {
                Set<Machine> all = Set.copyOf(toFlush);
                toFlush.clear();
                if (mayOrder.getAsBoolean()) {
                  all.forEach(workers::flush);
                }
              });
    }
    toFlush.add(m);
  }
}
