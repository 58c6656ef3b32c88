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
 * Fills a new leader's cluster state from the store. Tasks that run are left running: their
 * attempts are open, and unconfirmed until a worker sends a heartbeat under one of this leader's
 * fencing tokens. Owned by the leader's event loop.
 */
public final class FailoverRecovery {
  private static final double MS_PER_S = 1000.0;

  /** A loss counts as recent for so many times the longest lease: times of day may differ. */
  private static final double CLOCK_ALLOWANCE = 2;

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
   * @param baseSnapshot what the present store incarnation began with
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
   * Replaces the cluster state's jobs and machines by what the store holds.
   *
   * @param submissions all {@code job/} entries
   * @param shards all {@code run/} entries
   * @param refinedShards all {@code part/} entries
   */
  public void load(WatchEvents submissions, WatchEvents shards, WatchEvents refinedShards) {
    clearState();
    Map<String, StoredSubmission> recovered =
        new StoredJobReader(state, shardLayout, baseSnapshot.since(), noTaskRunsAfter())
            .read(submissions, shards, refinedShards);
    if (shardLayout.refinedAny()) {
      stateWriter.limitsLowered();
    }
    recordModRevisions(shards, refinedShards, recovered);
    recovered.values().stream()
        .sorted(Comparator.comparingLong(entry -> entry.job().submittedMs))
        .forEach(this::adopt);
    dependencyGraph.rebuild();
    forecastDemand(recovered.values());
  }

  private void clearState() {
    state.jobs.clear();
    state.endedJobs.clear();
    state.machines.clear();
    state.endedJobs.putAll(baseSnapshot.allEnded());
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

  /** Whether entries of the job may yet be written, so that their revisions are needed. */
  private static boolean mayStillBeWritten(StoredSubmission recovered) {
    return recovered != null
        && (recovered.job().finalPhase == null || !recovered.job().openAttempts.isEmpty());
  }

  /**
   * Holds back a job of which starts may be unknown. After a loss of data of which no leader's
   * snapshot is left, tasks that were started before it may run unknown to anybody; they are over
   * once no worker's lease can have been renewed for them any more. Until then what looks like a
   * new job may be the repeat of one that was lost.
   */
  public void delayIfProgressUncertain(Job job) {
    if (!baseSnapshot.complete() && (job.restoredAfterLoss || isLossRecent())) {
      job.notBefore = noTaskRunsAfter();
    }
  }

  /** Whether tasks from before the loss may still run, by times of day of two controllers. */
  private boolean isLossRecent() {
    double sinceLossS = (context.clock().wallMs() - baseSnapshot.madeMs()) / MS_PER_S;
    return sinceLossS < CLOCK_ALLOWANCE * WorkerLeases.longestLeaseS(context.settings());
  }

  /**
   * Whether no task can run that this leader does not know of: nothing of that kind was left by a
   * loss of data, or it is over.
   */
  public boolean allStartsKnown() {
    return baseSnapshot.complete() || context.clock().now() > noTaskRunsAfter();
  }

  /** When, by the steady clock, no task runs any more that only an earlier leader knew of. */
  private double noTaskRunsAfter() {
    return acquiredAt + WorkerLeases.longestLeaseS(context.settings());
  }

  private void adopt(StoredSubmission recovered) {
    Job job = recovered.job();
    String ref = job.spec.ref();
    if (job.finalPhase != null && job.openAttempts.isEmpty()) {
      state.endedJobs.put(ref, ClusterState.EndedJob.of(job));
      return;
    }
    shardLayout.recordShardSize(ref, recovered.shardSize());
    // Attempt numbers are never used twice, whatever an earlier leader left unwritten.
    job.nextAttempt = Math.max(job.nextAttempt, tokenBase);
    state.jobs.put(ref, job);
    job.persistedDone.or(job.done);
    delayIfProgressUncertain(job);
    job.openAttempts.values().forEach(this::adopt);
  }

  private void adopt(Attempt attempt) {
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
