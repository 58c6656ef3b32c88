package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.Priority;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The graph of jobs that wait for others. A job is let go once every job that it awaits is done in
 * the store, and cancelled once one of them is cancelled there. Both follow from committed ends and
 * from submissions, which never change, so every leader comes to the same.
 *
 * <p>A job names only jobs accepted before it, so the graph has no circles.
 */
public final class DependencyGraph {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyGraph.class);

  /** What becomes of jobs that waited. */
  public interface Listener {
    /** Every job before it is done. */
    void released(Job job);

    /** A job before it is cancelled, and so is it; nothing of it has ever started. */
    void cancelled(Job job);

    /** A job that another one names, and that nobody has told the leader of. */
    void jobFound(VersionedEntry entry);
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final Listener sink;

  /** The jobs that name a job, by the id of the named one, while that has not ended. */
  private final Map<String, Set<Job>> needing = new HashMap<>();

  /** Named jobs that the cluster state does not know, and that are to be looked up in the store. */
  private final Set<String> unknown = new LinkedHashSet<>();

  private final Set<String> lookingUp = new LinkedHashSet<>();
  private boolean changed;

  public DependencyGraph(ControllerContext context, ClusterState state, Listener sink) {
    this.context = context;
    this.state = state;
    this.sink = sink;
  }

  /** All of the cluster state's jobs anew. */
  public void rebuild() {
    needing.clear();
    unknown.clear();
    List.copyOf(state.jobs.values()).forEach(this::add);
  }

  /** A job has become known; it waits from now on if it has to. */
  public void add(Job job) {
    changed = true;
    unknown.remove(job.spec.ref());
    boolean doomed = false;
    for (String ref : job.finalPhase == null ? job.spec.dependencies() : List.<String>of()) {
      ClusterState.EndedJob ended = ended(ref);
      if (ended == null) {
        job.unmetDependencies.add(ref);
        needing.computeIfAbsent(ref, r -> new LinkedHashSet<>()).add(job);
        if (!state.jobs.containsKey(ref)) {
          unknown.add(ref);
        }
      } else if (ended.phase() == JobPhase.CANCELLED) {
        doomed = true;
      } else {
        job.eligibleSinceMs = Math.max(job.eligibleSinceMs, ended.atMs());
      }
    }
    if (doomed) {
      cancel(job);
    }
    resolveUnknown();
  }

  /** The end of a job as the store holds it; null while it has none there. */
  private ClusterState.EndedJob ended(String ref) {
    ClusterState.EndedJob ended = state.endedJobs.get(ref);
    if (ended != null) {
      return ended;
    }
    Job job = state.jobs.get(ref);
    return job != null && job.endPersisted ? ClusterState.EndedJob.of(job) : null;
  }

  /** The store holds the end of a job. */
  public void ended(Job job) {
    Set<Job> after = needing.remove(job.spec.ref());
    if (job.finalPhase == JobPhase.CANCELLED) {
      changed = true;
    }
    if (after == null) {
      return;
    }
    changed = true;
    for (Job next : after) {
      if (next.finalPhase != null) {
        continue;
      }
      if (job.finalPhase == JobPhase.CANCELLED) {
        cancel(next);
        continue;
      }
      next.unmetDependencies.remove(job.spec.ref());
      next.eligibleSinceMs = Math.max(next.eligibleSinceMs, job.endedMs);
      if (!next.blocked()) {
        sink.released(next);
      }
    }
  }

  /** Cancels a job and all that need it; their ends hold at once, since the first one is kept. */
  private void cancel(Job first) {
    Deque<Job> left = new ArrayDeque<>(List.of(first));
    while (!left.isEmpty()) {
      Job job = left.poll();
      if (job.endPersisted) {
        continue;
      }
      job.finalPhase = JobPhase.CANCELLED;
      job.endPersisted = true;
      job.endedMs = context.clock().wallMs();
      sink.cancelled(job);
      Set<Job> after = needing.remove(job.spec.ref());
      if (after != null) {
        left.addAll(after);
      }
    }
  }

  /** Asks the store for named jobs that the leader has not heard of, a few at a time. */
  public void resolveUnknown() {
    int most = (int) Math.max(1, context.settings().minStoreLimits().rps() / 20);
    for (String ref : List.copyOf(unknown)) {
      if (lookingUp.size() >= most) {
        return;
      }
      if (lookingUp.add(ref)) {
        context
            .store()
            .get(JobProgressCodec.JOB + ref)
            .onComplete(
                r -> {
                  lookingUp.remove(ref);
                  if (r.failed() || !unknown.remove(ref)) {
                    return;
                  }
                  if (r.result().present()) {
                    resolveUnknown();
                    sink.jobFound(r.result());
                  } else {
                    // Its node read it before accepting the job that names it, so this cannot be.
                    LOG.error("job {} is a dependency, and is not in the store", ref);
                  }
                });
      }
    }
  }

  /**
   * Has jobs inherit the priority and the latest start of all that need them. To be called before a
   * plan; does nothing unless the graph has changed.
   */
  public void propagateUrgency() {
    if (!changed) {
      return;
    }
    changed = false;
    for (Job job : state.jobs.values()) {
      job.effectivePriority = job.spec.priority();
      job.latestStartMs = ownStartBy(job);
    }
    for (Job job : state.jobs.values()) {
      if (job.finalPhase == null && !job.spec.dependencies().isEmpty()) {
        pass(job);
      }
    }
  }

  private void pass(Job from) {
    Deque<Job> left = new ArrayDeque<>(List.of(from));
    while (!left.isEmpty()) {
      Job job = left.poll();
      // Nothing takes the place of a live service by being needed.
      Priority rank =
          job.effectivePriority == Priority.PRODUCTION ? Priority.HIGH : job.effectivePriority;
      for (String ref : job.unmetDependencies) {
        Job before = state.jobs.get(ref);
        if (before == null || before.finalPhase != null) {
          continue;
        }
        long startBy =
            job.latestStartMs == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : job.latestStartMs - runMs(before);
        if (before.effectivePriority.compareTo(rank) < 0 || startBy < before.latestStartMs) {
          before.effectivePriority =
              before.effectivePriority.compareTo(rank) < 0 ? rank : before.effectivePriority;
          before.latestStartMs = Math.min(before.latestStartMs, startBy);
          left.add(before);
        }
      }
    }
  }

  private static long ownStartBy(Job job) {
    return job.spec.dueS() == null
        ? Long.MAX_VALUE
        : job.submittedMs + Math.round(job.spec.dueS() * 1000) - runMs(job);
  }

  private static long runMs(Job job) {
    return Math.round(job.spec.expectS() * 1000);
  }

  public int blockedCount() {
    int n = 0;
    for (Job job : state.jobs.values()) {
      n += job.finalPhase == null && job.blocked() ? 1 : 0;
    }
    return n;
  }
}
