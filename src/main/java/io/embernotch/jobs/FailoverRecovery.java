package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.ProgressShard;
import io.embernotch.context.ControllerContext;
import io.embernotch.state.DemandForecast;
import io.embernotch.state.ClusterState;
import io.embernotch.agents.WorkerLeases;
import io.embernotch.model.Attempt;
import io.embernotch.model.Job;
import io.embernotch.model.Machine;
import io.embernotch.persistence.StateWriter;
import io.embernotch.persistence.ShardLayout;
import io.embernotch.store.WatchEvents;
import io.embernotch.store.VersionedEntry;
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
 * Fills a new leader's ledger from the store. What runs is let be: its attempts are open, and
 * unsure until a worker reports under one of this leader's tokens.
 */
public final class FailoverRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverRecovery.class);

  private final ControllerContext env;
  private final ClusterState ledger;
  private final StateWriter committer;
  private final ShardLayout layout;
  private final DependencyGraph chains;
  private final DemandForecast demand;
  private final long baseToken;
  private final double acquiredAt;
  private final BaseSnapshot base;

  public FailoverRecovery(
      ControllerContext env,
      ClusterState ledger,
      StateWriter committer,
      ShardLayout layout,
      DependencyGraph chains,
      DemandForecast demand,
      long baseToken,
      double acquiredAt,
      BaseSnapshot base) {
    this.env = env;
    this.ledger = ledger;
    this.committer = committer;
    this.layout = layout;
    this.chains = chains;
    this.demand = demand;
    this.baseToken = baseToken;
    this.acquiredAt = acquiredAt;
    this.base = base;
  }

  public void read(WatchEvents jobs, WatchEvents runs, WatchEvents parts) {
    ledger.jobs.clear();
    ledger.ended.clear();
    ledger.machines.clear();
    ledger.ended.putAll(base.allEnded());
    Map<String, Job> all = new LinkedHashMap<>();
    Map<String, Integer> sizes = new HashMap<>();
    ledger.unreadable.clear();
    for (VersionedEntry e : jobs.events()) {
      String ref = e.key().substring(JobProgressCodec.JOB.length());
      if (!readable(
          e,
          () -> {
            Job job = JobProgressCodec.readJob(e.value());
            sizes.put(ref, JobProgressCodec.readPiece(e.value()));
            all.put(ref, job);
            job.again |= e.stamp() <= base.since();
          })) {
        ledger.unreadable.add(ref);
      }
    }
    for (VersionedEntry e : runs.events()) {
      String ref = e.key().split("/")[1];
      Job job = all.get(ref);
      if (job != null
          && !readable(
              e,
              () -> JobProgressCodec.readRun(e.value(), job, sizes.get(ref), JobProgressCodec.pieceOf(e.key())))) {
        // What runs of it is not known, so it waits until nothing can.
        job.notBefore = acquiredAt + WorkerLeases.longestS(env.settings());
      }
    }
    Map<String, List<ProgressShard>> partsOf = new HashMap<>();
    for (VersionedEntry e : parts.events()) {
      ProgressShard part = ProgressShard.of(e);
      partsOf.computeIfAbsent(part.ref(), r -> new ArrayList<>()).add(part);
    }
    partsOf.forEach(
        (ref, list) -> {
          Job job = all.get(ref);
          if (job != null) {
            committer.limitsAreLowered();
            ProgressShard.add(job, list);
            list.forEach(p -> layout.knowPart(ref, p.size()));
          }
        });
    Stream.concat(runs.events().stream(), parts.events().stream())
        .filter(e -> isLeft(all.get(e.key().split("/")[1])))
        .forEach(e -> committer.know(e.key(), e.stamp()));
    all.values().stream()
        .sorted(Comparator.comparingLong(j -> j.submittedMs))
        .forEach(j -> take(j, sizes.get(j.spec.ref())));
    chains.rebuild();
    all.values().stream()
        .filter(j -> !j.held())
        .sorted(Comparator.comparingLong(j -> j.sinceMs))
        .forEach(
            j ->
                demand.seen(
                    j.spec, acquiredAt - Math.max(0, env.clock().wallMs() - j.sinceMs) / 1000.0));
  }

  /**
   * One value that can't be read keeps no other from being taken over; a new leader once tried
   * again for good.
   */
  private static boolean readable(VersionedEntry e, Runnable read) {
    try {
      read.run();
      return true;
    } catch (RuntimeException bad) {
      LOG.error("the value of {} can't be read: {}", e.key(), bad.toString());
      return false;
    }
  }

  /** Something of the job may yet be written. */
  private static boolean isLeft(Job job) {
    return job != null && (job.end == null || !job.open.isEmpty());
  }

  /**
   * After a loss of which no leader's copy is left, tasks that were started before it may run
   * where nobody knows. They are over once no worker can have been renewed for them any more.
   */
  public void waitIfUnsure(Job job) {
    if (job.again && !base.complete()) {
      job.notBefore = acquiredAt + WorkerLeases.longestS(env.settings());
    }
  }

  private void take(Job job, int pieceSize) {
    String ref = job.spec.ref();
    if (job.end != null && job.open.isEmpty()) {
      ledger.ended.put(ref, ClusterState.Ended.of(job));
      return;
    }
    layout.know(ref, pieceSize);
    // Numbers of attempts are never used twice, whatever an earlier leader left unwritten.
    job.nextAttempt = Math.max(job.nextAttempt, baseToken);
    ledger.jobs.put(ref, job);
    job.storedDone.or(job.done);
    waitIfUnsure(job);
    for (Attempt a : job.open.values()) {
      Machine m = ledger.machine(a.machine, baseToken);
      m.zone = a.zone;
      m.open.put(Machine.taskKey(ref, a.task), a);
      m.touched();
      a.startToken = baseToken - 1;
      a.inherited = true;
      a.createdAt = acquiredAt;
      job.restarted.set(a.task);
    }
  }
}
