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
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Restores a new leader's cluster state from the store. Running tasks keep running: their attempts
 * are restored as open, and are unconfirmed until a worker sends a heartbeat under one of this
 * leader's fencing tokens. Owned by the leader's event loop.
 */
public final class FailoverRecovery implements StoredJobReader.Listener {
  private static final double MS_PER_S = 1000.0;

  /**
   * A loss of data counts as recent for this many times the longest lease: the wall clocks of
   * controllers may differ.
   */
  private static final double RECENT_LOSS_LEASES = 2;

  /** The latest submissions among ended jobs that are kept for the demand forecast. */
  private static final int MAX_RECENTLY_ENDED = 2048;

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final ShardLayout shardLayout;
  private final DependencyGraph dependencyGraph;
  private final DemandForecast demandForecast;
  private final long tokenBase;
  private final double acquiredAt;
  private final BaseSnapshot baseSnapshot;

  /** Ended jobs with the latest submissions, the earliest first. */
  private final PriorityQueue<Job> recentlyEnded =
      new PriorityQueue<>(Comparator.comparingLong(job -> job.submittedMs));

  /** Reads the entries of the store; null if none are being received. */
  private StoredJobReader jobReader;

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

  /** Starts to receive the entries of the store, and discards those received before. */
  public void begin() {
    state.endedJobs.clear();
    state.endedJobs.putAll(baseSnapshot.endedJobs());
    state.unreadable.clear();
    recentlyEnded.clear();
    jobReader =
        new StoredJobReader(
            state, shardLayout, this, baseSnapshot.sinceRevision(), unknownTasksEndAt());
  }

  /** Receives submissions, before the shards of these jobs. */
  public void readSubmissions(List<VersionedEntry> submissions) {
    jobReader.readSubmissions(submissions);
  }

  /** Receives {@code run/} entries. */
  public void readShards(List<VersionedEntry> shards) {
    jobReader.readShards(shards);
  }

  /** Called when all shards of the jobs for which {@code isComplete} holds have been received. */
  public void completeJobs(Predicate<String> isComplete) {
    jobReader.completeJobs(isComplete);
  }

  /**
   * Replaces the cluster state's jobs and machines with those that have been received.
   *
   * @param refinedShards all {@code part/} entries
   */
  public void complete(WatchEvents refinedShards) {
    Collection<StoredSubmission> recovered = jobReader.readRefinedShards(refinedShards).values();
    jobReader = null;
    state.jobs.clear();
    state.machines.clear();
    if (shardLayout.hasRefinedJobs()) {
      stateWriter.recordLimitsLowered();
    }
    recovered.stream()
        .sorted(Comparator.comparingLong(entry -> entry.job().submittedMs))
        .forEach(this::restore);
    dependencyGraph.rebuild();
    forecastDemand(recovered);
  }

  @Override
  public void endedJobRead(Job job) {
    state.endedJobs.put(job.spec.ref(), ClusterState.EndedJob.of(job));
    recentlyEnded.add(job);
    if (recentlyEnded.size() > MAX_RECENTLY_ENDED) {
      recentlyEnded.remove();
    }
  }

  @Override
  public void shardRead(String key, long modRevision) {
    stateWriter.recordModRevision(key, modRevision);
  }

  private void forecastDemand(Collection<StoredSubmission> recovered) {
    Stream.concat(recovered.stream().map(StoredSubmission::job), recentlyEnded.stream())
        .filter(job -> !job.blocked())
        .sorted(Comparator.comparingLong(job -> job.eligibleSinceMs))
        .forEach(job -> demandForecast.recordArrival(job.spec, acquiredAt - eligibleForS(job)));
    recentlyEnded.clear();
  }

  private double eligibleForS(Job job) {
    return Math.max(0, context.clock().wallMs() - job.eligibleSinceMs) / MS_PER_S;
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
