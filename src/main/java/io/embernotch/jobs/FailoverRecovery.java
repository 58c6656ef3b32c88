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
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fills a new leader's cluster state from the store. What runs is let be: its attempts are open,
 * and unsure until a worker reports under one of this leader's tokens.
 */
public final class FailoverRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverRecovery.class);

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final ShardLayout shardLayout;
  private final DependencyGraph dependencyGraph;
  private final DemandForecast demandForecast;
  private final long tokenBase;
  private final double acquiredAt;
  private final BaseSnapshot baseSnapshot;

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

  public void load(WatchEvents jobs, WatchEvents runs, WatchEvents parts) {
    state.jobs.clear();
    state.endedJobs.clear();
    state.machines.clear();
    state.endedJobs.putAll(baseSnapshot.allEnded());
    Map<String, Job> all = new LinkedHashMap<>();
    Map<String, Integer> sizes = new HashMap<>();
    state.unreadable.clear();
    for (VersionedEntry entry : jobs.events()) {
      String ref = entry.key().substring(JobProgressCodec.JOB.length());
      if (!readable(
          entry,
          () -> {
            Job job = JobProgressCodec.readJob(entry.value());
            sizes.put(ref, JobProgressCodec.readShardSize(entry.value()));
            all.put(ref, job);
            job.restoredAfterLoss |= entry.modRevision() <= baseSnapshot.since();
          })) {
        state.unreadable.add(ref);
      }
    }
    for (VersionedEntry entry : runs.events()) {
      String ref = entry.key().split("/")[1];
      Job job = all.get(ref);
      if (job != null
          && !readable(
              entry,
              () ->
                  JobProgressCodec.readShard(
                      entry.value(), job, sizes.get(ref), JobProgressCodec.shardOf(entry.key())))) {
        // What runs of it is not known, so it waits until nothing can.
        job.notBefore = acquiredAt + WorkerLeases.longestLeaseS(context.settings());
      }
    }
    Map<String, List<ProgressShard>> partsOf = new HashMap<>();
    for (VersionedEntry entry : parts.events()) {
      ProgressShard part = ProgressShard.of(entry);
      partsOf.computeIfAbsent(part.ref(), r -> new ArrayList<>()).add(part);
    }
    partsOf.forEach(
        (ref, list) -> {
          Job job = all.get(ref);
          if (job != null) {
            stateWriter.limitsLowered();
            ProgressShard.applyAll(job, list);
            list.forEach(p -> shardLayout.recordRefinedSize(ref, p.size()));
          }
        });
    Stream.concat(runs.events().stream(), parts.events().stream())
        .filter(entry -> mayStillBeWritten(all.get(entry.key().split("/")[1])))
        .forEach(entry -> stateWriter.recordModRevision(entry.key(), entry.modRevision()));
    all.values().stream()
        .sorted(Comparator.comparingLong(job -> job.submittedMs))
        .forEach(job -> adopt(job, sizes.get(job.spec.ref())));
    dependencyGraph.rebuild();
    all.values().stream()
        .filter(job -> !job.blocked())
        .sorted(Comparator.comparingLong(job -> job.eligibleSinceMs))
        .forEach(
            job ->
                demandForecast.seen(
                    job.spec,
                    acquiredAt
                        - Math.max(0, context.clock().wallMs() - job.eligibleSinceMs) / 1000.0));
  }

  /**
   * One value that can't be read keeps no other from being taken over; a new leader once tried
   * again for good.
   */
  private static boolean readable(VersionedEntry entry, Runnable read) {
    try {
      read.run();
      return true;
    } catch (RuntimeException bad) {
      LOG.error("the value of {} can't be read: {}", entry.key(), bad.toString());
      return false;
    }
  }

  /** Something of the job may yet be written. */
  private static boolean mayStillBeWritten(Job job) {
    return job != null && (job.finalPhase == null || !job.openAttempts.isEmpty());
  }

  /**
   * After a loss of which no leader's copy is left, tasks that were started before it may run where
   * nobody knows. They are over once no worker can have been renewed for them any more.
   */
  public void delayIfProgressUncertain(Job job) {
    if (job.restoredAfterLoss && !baseSnapshot.complete()) {
      job.notBefore = acquiredAt + WorkerLeases.longestLeaseS(context.settings());
    }
  }

  private void adopt(Job job, int shardSize) {
    String ref = job.spec.ref();
    if (job.finalPhase != null && job.openAttempts.isEmpty()) {
      state.endedJobs.put(ref, ClusterState.EndedJob.of(job));
      return;
    }
    shardLayout.recordShardSize(ref, shardSize);
    // Numbers of attempts are never used twice, whatever an earlier leader left unwritten.
    job.nextAttempt = Math.max(job.nextAttempt, tokenBase);
    state.jobs.put(ref, job);
    job.persistedDone.or(job.done);
    delayIfProgressUncertain(job);
    for (Attempt attempt : job.openAttempts.values()) {
      Machine machine = state.machine(attempt.machine, tokenBase);
      machine.zone = attempt.zone;
      machine.openAttempts.put(Machine.taskKey(ref, attempt.task), attempt);
      machine.attemptsChanged();
      attempt.startToken = tokenBase - 1;
      attempt.inherited = true;
      attempt.createdAt = acquiredAt;
      job.restartedTasks.set(attempt.task);
    }
  }
}
