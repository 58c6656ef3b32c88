package io.embernotch.rounds;

import io.embernotch.actor.Clock;
import io.embernotch.agents.TaskStopper;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.JobShape;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.TaskState;
import io.embernotch.persistence.StateWriter;
import io.embernotch.state.ClusterState;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.straggler.Restart;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reviews the restarts that straggler rounds propose: checks each against the cluster state of the
 * moment, and limits how many batches of them a second are carried out.
 */
public final class RestartReviewer {
  private static final Logger LOG = LoggerFactory.getLogger(RestartReviewer.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final TaskStopper stopper;
  private final Map<String, Deque<List<Restart>>> queues = new HashMap<>();
  private final Map<String, Double> nextBatchAt = new HashMap<>();

  /** A reviewer without proposals. */
  public RestartReviewer(
      ControllerContext context, ClusterState state, StateWriter stateWriter, TaskStopper stopper) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.stopper = stopper;
  }

  /**
   * Queues a round's proposals in batches that one commit can hold. They replace what is left of an
   * earlier round of the same controller.
   *
   * @param from name of the controller whose round it was
   */
  public void propose(String from, List<Restart> restarts) {
    int batchSize = Math.max(1, context.settings().minStoreLimits().txnOps() - 1);
    Deque<List<Restart>> queue = new ArrayDeque<>();
    for (int i = 0; i < restarts.size(); i += batchSize) {
      queue.add(restarts.subList(i, Math.min(restarts.size(), i + batchSize)));
    }
    queues.put(from, queue);
  }

  /**
   * Carries out the restarts that are due: commits the machine that the round prefers, then stops
   * the attempt.
   */
  public void commitDue() {
    due().forEach(this::restart);
  }

  private void restart(Restart restart) {
    Job job = state.jobs.get(restart.ref());
    Attempt attempt = job.openAttempts.get(restart.task());
    LOG.info(
        "restarting straggler {} on {} (gain {})",
        attempt,
        restart.target(),
        String.format("%.4f", restart.gain()));
    job.preferredMachines.put(restart.task(), restart.target());
    stateWriter.writeNow(
        job,
        restart.task(),
        RequestPriority.NORMAL,
        () -> {
          if (ClusterState.isOpen(attempt) && !attempt.stopping && job.finalPhase == null) {
            stopper.requestStop(
                attempt, attempt.job.spec.checkpointS() > 0 ? attempt.job.spec.saveS() : 0);
          }
        });
  }

  private List<Restart> due() {
    double now = context.clock().now();
    List<Restart> due = new ArrayList<>();
    queues.forEach(
        (from, queue) -> {
          if (!queue.isEmpty() && now >= nextBatchAt.getOrDefault(from, Clock.NEVER)) {
            nextBatchAt.put(from, now + 1 / context.operatorSettings().batchesPerS());
            for (Restart restart : queue.poll()) {
              if (valid(restart)) {
                due.add(restart);
              }
            }
          }
        });
    return due;
  }

  /**
   * The cluster may have changed since the round: the attempt must still run, and the target have
   * room.
   */
  private boolean valid(Restart restart) {
    Job job = state.jobs.get(restart.ref());
    Machine target = state.machines.get(restart.target());
    if (job == null
        || job.finalPhase != null
        || job.spec.shape() != JobShape.ARRAY
        || target == null
        || target.type == null) {
      return false;
    }
    Attempt attempt = job.openAttempts.get(restart.task());
    JobSpec spec = job.spec;
    return attempt != null
        && attempt.number == restart.attempt()
        && attempt.state == TaskState.RUNNING
        && !attempt.stopping
        && !attempt.machine.equals(restart.target())
        && target.up()
        && !target.deleting
        && !target.cordoned
        && target.reclaimAt < 0
        && spec.allows(target.type.name(), target.zone, target.spot)
        && (!spec.oneZone() || job.openAttempts.size() == 1 || attempt.zone.equals(target.zone))
        && FreeCapacity.of(target).fits(spec);
  }
}
