package io.embernotch.jobs;

import io.embernotch.agents.WorkerLeases;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.persistence.ShardLayout;
import io.embernotch.persistence.StateWriter;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.ProgressShard;
import io.embernotch.state.ClusterState;
import io.embernotch.state.DemandForecast;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fills a new leader's cluster state from the store. Tasks that run are left running: their
 * attempts are open, and unconfirmed until a worker sends a heartbeat under one of this leader's
 * fencing tokens. Owned by the leader's event loop.
 */
public final class FailoverRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverRecovery.class);
  private static final double MS_PER_S = 1000.0;

  /** A job whose submission could be read, and the number of tasks in each of its shards. */
  private record RecoveredJob(Job job, int shardSize) {}

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
    Map<String, RecoveredJob> recovered = readSubmissions(submissions);
    readShards(shards, recovered);
    readRefinedShards(refinedShards, recovered);
    recordModRevisions(shards, refinedShards, recovered);
    recovered.values().stream()
        .sorted(Comparator.comparingLong(entry -> entry.job.submittedMs))
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

  private Map<String, RecoveredJob> readSubmissions(WatchEvents submissions) {
    Map<String, RecoveredJob> recovered = new LinkedHashMap<>();
    for (VersionedEntry entry : submissions.events()) {
      String ref = entry.key().substring(JobProgressCodec.JOB.length());
      if (!tryRead(entry, () -> recovered.put(ref, readSubmission(entry)))) {
        state.unreadable.add(ref);
      }
    }
    return recovered;
  }

  private RecoveredJob readSubmission(VersionedEntry entry) {
    Job job = JobProgressCodec.readJob(entry.value());
    int shardSize = JobProgressCodec.readShardSize(entry.value());
    job.restoredAfterLoss |= entry.modRevision() <= baseSnapshot.since();
    return new RecoveredJob(job, shardSize);
  }

  private void readShards(WatchEvents shards, Map<String, RecoveredJob> recovered) {
    for (VersionedEntry entry : shards.events()) {
      RecoveredJob owner = recovered.get(refOf(entry));
      if (owner != null && !tryRead(entry, () -> readShard(entry, owner))) {
        // Which of its tasks run is not known, so the job waits until none can.
        owner.job.notBefore = noTaskRunsAfter();
      }
    }
  }

  private static void readShard(VersionedEntry entry, RecoveredJob owner) {
    JobProgressCodec.readShard(
        entry.value(), owner.job, owner.shardSize, JobProgressCodec.shardOf(entry.key()));
  }

  private void readRefinedShards(WatchEvents refinedShards, Map<String, RecoveredJob> recovered) {
    Map<String, List<ProgressShard>> shardsByJob = new HashMap<>();
    for (VersionedEntry entry : refinedShards.events()) {
      ProgressShard shard = ProgressShard.of(entry);
      shardsByJob.computeIfAbsent(shard.ref(), ref -> new ArrayList<>()).add(shard);
    }
    shardsByJob.forEach(
        (ref, shards) -> {
          RecoveredJob owner = recovered.get(ref);
          if (owner != null) {
            stateWriter.limitsLowered();
            ProgressShard.applyAll(owner.job, shards);
            shards.forEach(shard -> shardLayout.recordRefinedSize(ref, shard.size()));
          }
        });
  }

  private void recordModRevisions(
      WatchEvents shards, WatchEvents refinedShards, Map<String, RecoveredJob> recovered) {
    Stream.concat(shards.events().stream(), refinedShards.events().stream())
        .filter(entry -> mayStillBeWritten(recovered.get(refOf(entry))))
        .forEach(entry -> stateWriter.recordModRevision(entry.key(), entry.modRevision()));
  }

  private void forecastDemand(Collection<RecoveredJob> recovered) {
    recovered.stream()
        .map(RecoveredJob::job)
        .filter(job -> !job.blocked())
        .sorted(Comparator.comparingLong(job -> job.eligibleSinceMs))
        .forEach(job -> demandForecast.recordArrival(job.spec, acquiredAt - eligibleForS(job)));
  }

  private double eligibleForS(Job job) {
    return Math.max(0, context.clock().wallMs() - job.eligibleSinceMs) / MS_PER_S;
  }

  /** The id of the job that a {@code run/} or {@code part/} entry belongs to. */
  private static String refOf(VersionedEntry entry) {
    return entry.key().split("/", -1)[1];
  }

  /** Returns whether {@code read} succeeded; otherwise its entry is logged and left out. */
  private static boolean tryRead(VersionedEntry entry, Runnable read) {
    try {
      read.run();
      return true;
    } catch (RuntimeException e) {
      // Whatever is wrong with one value, the others must be taken over all the same: if it failed
      // the whole load, this and every later leader would retry for ever.
      LOG.error("the value of {} can't be read: {}", entry.key(), e.toString());
      return false;
    }
  }

  /** Whether entries of the job may yet be written, so that their revisions are needed. */
  private static boolean mayStillBeWritten(RecoveredJob recovered) {
    return recovered != null
        && (recovered.job.finalPhase == null || !recovered.job.openAttempts.isEmpty());
  }

  /**
   * Holds back a job whose recorded progress may lack starts. After a loss of data of which no
   * leader's snapshot is left, tasks that were started before it may run unknown to anybody; they
   * are over once no worker's lease can have been renewed for them any more.
   */
  public void delayIfProgressUncertain(Job job) {
    if (job.restoredAfterLoss && !baseSnapshot.complete()) {
      job.notBefore = noTaskRunsAfter();
    }
  }

  /** When, by the steady clock, no task runs any more that only an earlier leader knew of. */
  private double noTaskRunsAfter() {
    return acquiredAt + WorkerLeases.longestLeaseS(context.settings());
  }

  private void adopt(RecoveredJob recovered) {
    Job job = recovered.job;
    String ref = job.spec.ref();
    if (job.finalPhase != null && job.openAttempts.isEmpty()) {
      state.endedJobs.put(ref, ClusterState.EndedJob.of(job));
      return;
    }
    shardLayout.recordShardSize(ref, recovered.shardSize);
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
