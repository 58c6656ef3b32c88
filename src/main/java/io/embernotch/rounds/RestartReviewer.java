package io.embernotch.rounds;

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

/** Takes proposals to restart slow tasks, checks them, and lets a few batches a second through. */
public final class RestartReviewer {
  private static final Logger LOG = LoggerFactory.getLogger(RestartReviewer.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final TaskStopper stopper;
  private final Map<String, Deque<List<Restart>>> proposed = new HashMap<>();
  private final Map<String, Double> nextAt = new HashMap<>();

  public RestartReviewer(
      ControllerContext context, ClusterState state, StateWriter stateWriter, TaskStopper stopper) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.stopper = stopper;
  }

  /**
   * A round's proposals, cut into batches that one commit can hold. A newer round replaces an older
   * one.
   */
  public void propose(String from, List<Restart> restarts) {
    int batch = Math.max(1, context.settings().minStoreLimits().txnOps() - 1);
    Deque<List<Restart>> queue = new ArrayDeque<>();
    for (int i = 0; i < restarts.size(); i += batch) {
      queue.add(restarts.subList(i, Math.min(restarts.size(), i + batch)));
    }
    proposed.put(from, queue);
  }

  /**
   * Commits what is due, and has it stopped where it runs; it starts anew where the round wished.
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
    proposed.forEach(
        (from, queue) -> {
          if (!queue.isEmpty() && now >= nextAt.getOrDefault(from, -1e9)) {
            nextAt.put(from, now + 1 / context.operator().batchesPerS());
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
   * The world may have moved since the round: the task must still run there, and the room be free.
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
        && roomOn(target, spec);
  }

  private static boolean roomOn(Machine machine, JobSpec spec) {
    // Reserved capacity takes no restart.
    double cpus = machine.type.cpus() - machine.reservedCpus;
    double gpus = machine.type.gpus() - machine.reservedGpus;
    double mem = machine.type.memGb() - machine.reservedMemGb;
    for (Attempt attempt : machine.openAttempts.values()) {
      cpus -= attempt.job.spec.cpus();
      gpus -= attempt.job.spec.gpus();
      mem -= attempt.job.spec.memGb();
    }
    return cpus >= spec.cpus() && gpus >= spec.gpus() && mem >= spec.memGb();
  }
}
