package io.embernotch.jobs;

import io.embernotch.agents.WorkerLeases;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.persistence.ShardLayout;
import io.embernotch.persistence.StateWriter;
import io.embernotch.persistence.StoredSubmission;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.state.ClusterState;
import io.embernotch.state.DemandForecast;
import io.embernotch.store.WatchEvents;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Restores a new leader's cluster state from the store. Running tasks keep running: their attempts
 * are restored as open, and are unconfirmed until a worker sends a heartbeat under one of this
 * leader's fencing tokens. Owned by the leader's event loop.
 */
public final class FailoverRecovery {
  private static final double MS_PER_S = 1000.0;

  /**
   * A loss of data counts as recent for this many times the longest lease: the wall clocks of
   * controllers may differ.
   */
  private static final double RECENT_LOSS_LEASES = 2;

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final ShardLayout shardLayout;
  private final DependencyGraph dependencyGraph;
  private final DemandForecast demandForecast;
  private final long tokenBase;
  private final double acquiredAt;
  private final BaseSnapshot baseSnapshot;

  /**
   * @param tokenBase the lowest fencing token of this leader; those of earlier leaders are below it
   * @param acquiredAt when leadership was acquired, in seconds of the steady clock
   * @param baseSnapshot the contents that the current store incarnation started with
   */
  public FailoverRecovery(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      ShardLayout shardLayout,
      DependencyGraph dependencyGraph,
      DemandForecast demandForecast,
      long tokenBase,
      double acquiredAt,
      BaseSnapshot baseSnapshot) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.shardLayout = shardLayout;
    this.dependencyGraph = dependencyGraph;
    this.demandForecast = demandForecast;
    this.tokenBase = tokenBase;
    this.acquiredAt = acquiredAt;
    this.baseSnapshot = baseSnapshot;
  }

  /**
   * Replaces the cluster state's jobs and machines with those that the store holds.
   *
   * @param submissions all {@code job/} entries
   * @param shards all {@code run/} entries
   * @param refinedShards all {@code part/} entries
   */
  public void load(WatchEvents submissions, WatchEvents shards, WatchEvents refinedShards) {
    clearState();
    Map<String, StoredSubmission> recovered =
        new StoredJobReader(state, shardLayout, baseSnapshot.sinceRevision(), unknownTasksEndAt())
            .read(submissions, shards, refinedShards);
    if (shardLayout.hasRefinedJobs()) {
      stateWriter.recordLimitsLowered();
    }
    recordModRevisions(shards, refinedShards, recovered);
    recovered.values().stream()
        .sorted(Comparator.comparingLong(entry -> entry.job().submittedMs))
        .forEach(this::restore);
    dependencyGraph.rebuild();
    forecastDemand(recovered.values());
  }

  private void clearState() {
    state.jobs.clear();
    state.endedJobs.clear();
    state.machines.clear();
    state.endedJobs.putAll(baseSnapshot.endedJobs());
    state.unreadable.clear();
  }

  private void recordModRevisions(
      WatchEvents shards, WatchEvents refinedShards, Map<String, StoredSubmission> recovered) {
    Stream.concat(shards.events().stream(), refinedShards.events().stream())
        .filter(entry -> mayStillBeWritten(recovered.get(StoredJobReader.refOf(entry))))
        .forEach(entry -> stateWriter.recordModRevision(entry.key(), entry.modRevision()));
  }

  private void forecastDemand(Collection<StoredSubmission> recovered) {
    recovered.stream()
        .map(StoredSubmission::job)
        .filter(job -> !job.blocked())
        .sorted(Comparator.comparingLong(job -> job.eligibleSinceMs))
        .forEach(job -> demandForecast.recordArrival(job.spec, acquiredAt - eligibleForS(job)));
  }

  private double eligibleForS(Job job) {
    return Math.max(0, context.clock().wallMs() - job.eligibleSinceMs) / MS_PER_S;
  }

  /** Whether entries of the job may still be written, so that their revisions are needed. */
  private static boolean mayStillBeWritten(StoredSubmission recovered) {
    return recovered != null
        && (recovered.job().finalPhase == null || !recovered.job().openAttempts.isEmpty());
  }

  /**
   * Delays a job if this leader may not know all its running tasks. After a loss of data of which
   * no leader's snapshot is left, tasks that were started before the loss may run without any
   * controller knowing of them. They have ended once every worker lease renewed for them must have
   * expired. Until then, an apparently new job may be the repeated submission of a lost one.
   */
  public void delayIfProgressUncertain(Job job) {
    if (!baseSnapshot.complete() && (job.restoredAfterLoss || isLossRecent())) {
      job.notBefore = unknownTasksEndAt();
    }
  }

  /**
   * Whether tasks started before the loss may still run, as far as the wall clocks of two
   * controllers show.
   */
  private boolean isLossRecent() {
    double sinceLossS = (context.clock().wallMs() - baseSnapshot.takenAtMs()) / MS_PER_S;
    return sinceLossS < RECENT_LOSS_LEASES * WorkerLeases.longestLeaseS(context.settings());
  }

  /**
   * Whether this leader knows every task that can run: the base snapshot is complete, or all tasks
   * that it may lack must have ended.
   */
  public boolean allRunningTasksKnown() {
    return baseSnapshot.complete() || context.clock().now() > unknownTasksEndAt();
  }

  /**
   * Returns the time, in seconds of the steady clock, after which no task runs that only an earlier
   * leader knew of.
   */
  private double unknownTasksEndAt() {
    return acquiredAt + WorkerLeases.longestLeaseS(context.settings());
  }

  private void restore(StoredSubmission recovered) {
    Job job = recovered.job();
    String ref = job.spec.ref();
    if (job.finalPhase != null && job.openAttempts.isEmpty()) {
      state.endedJobs.put(ref, ClusterState.EndedJob.of(job));
      return;
    }
    shardLayout.recordShardSize(ref, recovered.shardSize());
    // An attempt number is never reused, even one that an earlier leader did not persist.
    job.nextAttempt = Math.max(job.nextAttempt, tokenBase);
    state.jobs.put(ref, job);
    job.persistedDone.or(job.done);
    delayIfProgressUncertain(job);
    job.openAttempts.values().forEach(this::restore);
  }

  private void restore(Attempt attempt) {
    Job job = attempt.job;
    Machine machine = state.machine(attempt.machine, tokenBase);
    machine.zone = attempt.zone;
    machine.openAttempts.put(Machine.taskKey(job.spec.ref(), attempt.task), attempt);
    machine.attemptsChanged();
    attempt.startToken = tokenBase - 1;
    attempt.inherited = true;
    attempt.createdAt = acquiredAt;
    job.restartedTasks.set(attempt.task);
  }
}
