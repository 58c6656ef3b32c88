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
import java.util.function.BiConsumer;

/**
 * How jobs end: decided once, told once the store holds it, and let go when nothing of them is
 * left.
 */
public final class JobCompletions {
  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final DependencyGraph dependencyGraph;

  /** Is told of ends with nothing open or unwritten behind them. */
  private final BiConsumer<String, ClusterState.EndedJob> evicted;

  /** Jobs whose end is decided, until nothing of them is open or unwritten. */
  private final Set<Job> completing = new LinkedHashSet<>();

  public JobCompletions(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      DependencyGraph dependencyGraph,
      BiConsumer<String, ClusterState.EndedJob> letGo) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.dependencyGraph = dependencyGraph;
    this.evicted = letGo;
  }

  /** Ends that an earlier leader has decided. */
  public void resume() {
    completing.clear();
    state.jobs.values().stream().filter(job -> job.finalPhase != null).forEach(completing::add);
  }

  /** Decides an end. Jobs that need this one learn of it when it is committed, not before. */
  public void decide(Job job, JobPhase end) {
    job.finalPhase = end;
    job.endedMs = context.clock().wallMs();
    completing.add(job);
    stateWriter.writeNow(
        job,
        0,
        RequestPriority.HIGH,
        () -> {
          job.endPersisted = true;
          dependencyGraph.ended(job);
        });
  }

  /** The end of a job follows from one that is kept; it is written for those who read the store. */
  public void completedByDependency(Job job) {
    completing.add(job);
    stateWriter.writeSoon(job, 0);
  }

  /** Nothing of a job that is told to be cancelled is left in a zone. */
  public boolean zoneHasNoCancelledTasks(String zone) {
    return completing.stream()
        .filter(job -> job.finalPhase == JobPhase.CANCELLED)
        .allMatch(
            job ->
                job.openAttempts.values().stream().noneMatch(attempt -> attempt.zone.equals(zone)));
  }

  /** Lets go of jobs that have ended, once nothing of them is open or unwritten. */
  public void evict() {
    for (Job job : List.copyOf(completing)) {
      if (job.openAttempts.isEmpty() && !stateWriter.isDirty(job)) {
        String ref = job.spec.ref();
        ClusterState.EndedJob end = ClusterState.EndedJob.of(job);
        completing.remove(job);
        state.jobs.remove(ref);
        state.endedJobs.put(ref, end);
        evicted.accept(ref, end);
      }
    }
  }
}
