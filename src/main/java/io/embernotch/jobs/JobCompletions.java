package io.embernotch.jobs;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.persistence.StateWriter;
import io.embernotch.state.ClusterState;
import io.embernotch.store.RateLimiter.RequestPriority;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Completes jobs. The end of a job is decided once and reported only when the store holds it. The
 * job is evicted from memory when it has no open attempt and no unwritten change. Owned by the
 * leader's event loop.
 */
public final class JobCompletions {
  private static final Logger LOG = LoggerFactory.getLogger(JobCompletions.class);

  /** The task whose shard holds the end of its job. */
  static final int FIRST_TASK = 0;

  /** Is notified of jobs that are evicted from the cluster state. */
  public interface EvictionListener {
    /**
     * Called when a job has been evicted; it has ended, without open attempts or unwritten changes.
     */
    void evicted(String ref, ClusterState.EndedJob end);
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final DependencyGraph dependencyGraph;
  private final EvictionListener listener;

  /** Jobs whose end is decided and that are not evicted yet. */
  private final Set<Job> completing = new LinkedHashSet<>();

  /**
   * Creates the completions of the jobs in {@code state}; call {@link #resume} after a failover.
   */
  public JobCompletions(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      DependencyGraph dependencyGraph,
      EvictionListener listener) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.dependencyGraph = dependencyGraph;
    this.listener = listener;
  }

  /** Resumes the completions that an earlier leader decided. */
  public void resume() {
    completing.clear();
    state.jobs.values().stream().filter(job -> job.finalPhase != null).forEach(completing::add);
  }

  /**
   * Decides the final phase of a job and writes it. Jobs that depend on it are released or
   * cancelled once the write is committed, not before.
   */
  public void decide(Job job, JobPhase end) {
    LOG.debug(
        "job {} ends as {}: {} of {} tasks done, {} attempts open",
        job.spec.ref(),
        end,
        job.done.cardinality(),
        job.spec.tasks(),
        job.openAttempts.size());
    job.finalPhase = end;
    job.endedMs = context.clock().wallMs();
    completing.add(job);
    stateWriter.writeNow(
        job,
        FIRST_TASK,
        RequestPriority.HIGH,
        () -> {
          job.endPersisted = true;
          LOG.debug("job {}: its end is in the store", job.spec.ref());
          dependencyGraph.ended(job);
        });
  }

  /**
   * Completes a job whose end follows from the persisted end of a dependency. The end is still
   * written, for other readers of the store.
   */
  public void completedByDependency(Job job) {
    completing.add(job);
    stateWriter.writeSoon(job, FIRST_TASK);
  }

  /** Whether a zone has no open attempt of a job whose cancellation is decided. */
  public boolean zoneHasNoCancelledTasks(String zone) {
    return completing.stream()
        .filter(job -> job.finalPhase == JobPhase.CANCELLED)
        .flatMap(job -> job.openAttempts.values().stream())
        .noneMatch(attempt -> attempt.zone.equals(zone));
  }

  /** Evicts ended jobs that have neither open attempts nor unwritten changes from memory. */
  public void evict() {
    for (Job job : List.copyOf(completing)) {
      if (job.openAttempts.isEmpty() && !stateWriter.isDirty(job)) {
        String ref = job.spec.ref();
        ClusterState.EndedJob end = ClusterState.EndedJob.of(job);
        completing.remove(job);
        state.jobs.remove(ref);
        state.endedJobs.put(ref, end);
        listener.evicted(ref, end);
      }
    }
  }

  /** Runs {@code action} once the store is known to hold the decided end of a job. */
  static void onceEndPersisted(StateWriter stateWriter, Job job, Runnable action) {
    if (job.endPersisted) {
      action.run();
    } else {
      stateWriter.writeNow(job, FIRST_TASK, RequestPriority.HIGH, action);
    }
  }
}
