package io.embernotch.jobs;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.state.ClusterState;
import io.embernotch.store.VersionedEntry;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The dependency graph of the jobs. A job is released once the store holds every dependency as
 * done, and cancelled once the store holds one of them as cancelled. Both follow from committed
 * completions and from submissions, which never change, so every leader comes to the same result.
 *
 * <p>A job depends only on jobs that were accepted before it, so the graph is acyclic. Owned by the
 * leader's event loop.
 */
public final class DependencyGraph {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyGraph.class);

  /** Receives the release and cancellation of blocked jobs, and dependencies found in the store. */
  public interface Listener {
    /** Called when every dependency of the job is done. */
    void released(Job job);

    /** Called when the job is cancelled because a dependency is; no task of it ever started. */
    void cancelled(Job job);

    /** Called when the store holds a dependency that is not in the cluster state. */
    void jobFound(VersionedEntry entry);
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final Listener listener;
  private final DependencyLookup lookup;
  private final PriorityInheritance priorityInheritance;

  /** By the id of a job that has not ended: the jobs that depend on it. */
  private final Map<String, Set<Job>> dependents = new HashMap<>();

  /** Whether the graph has changed since priorities were last propagated. */
  private boolean changedSincePropagation;

  /** Creates an empty graph; {@code listener} is called on the caller's thread. */
  public DependencyGraph(ControllerContext context, ClusterState state, Listener listener) {
    this.context = context;
    this.state = state;
    this.listener = listener;
    this.lookup = new DependencyLookup(context, listener::jobFound);
    this.priorityInheritance = new PriorityInheritance(state);
  }

  /** Rebuilds the graph from all jobs of the cluster state. */
  public void rebuild() {
    dependents.clear();
    lookup.clear();
    List.copyOf(state.jobs.values()).forEach(this::add);
  }

  /**
   * Adds a job of the cluster state. The job is blocked while one of its dependencies is not done.
   */
  public void add(Job job) {
    changedSincePropagation = true;
    lookup.remove(job.spec.ref());
    boolean dependencyCancelled = false;
    for (String ref : job.finalPhase == null ? job.spec.dependencies() : List.<String>of()) {
      Optional<ClusterState.EndedJob> ended = state.persistedEnd(ref);
      if (ended.isEmpty()) {
        addUnmetDependency(job, ref);
      } else if (ended.get().phase() == JobPhase.CANCELLED) {
        dependencyCancelled = true;
      } else {
        job.eligibleSinceMs = Math.max(job.eligibleSinceMs, ended.get().atMs());
      }
    }
    if (dependencyCancelled) {
      cancelWithDependents(job);
    }
    lookup.resolve();
  }

  private void addUnmetDependency(Job job, String dependency) {
    job.unmetDependencies.add(dependency);
    dependents.computeIfAbsent(dependency, ref -> new LinkedHashSet<>()).add(job);
    switch (state.knowledgeOf(dependency)) {
      case NOT_SEEN -> lookup.add(dependency);
      case END_UNREADABLE, SUBMISSION_UNREADABLE ->
          LOG.warn("job {} waits for {}, whose entries can't be read", job.spec.ref(), dependency);
      case LIVE, ENDED -> {}
    }
  }

  /** Releases or cancels the dependents of a job whose end is in the store. */
  public void ended(Job job) {
    boolean cancelled = job.finalPhase == JobPhase.CANCELLED;
    Set<Job> waiting = dependents.remove(job.spec.ref());
    if (cancelled) {
      changedSincePropagation = true;
    }
    if (waiting == null) {
      return;
    }
    changedSincePropagation = true;
    for (Job dependent : waiting) {
      if (dependent.finalPhase != null) {
        continue;
      }
      if (cancelled) {
        cancelWithDependents(dependent);
      } else {
        dependencyDone(dependent, job);
      }
    }
  }

  private void dependencyDone(Job dependent, Job dependency) {
    dependent.unmetDependencies.remove(dependency.spec.ref());
    dependent.eligibleSinceMs = Math.max(dependent.eligibleSinceMs, dependency.endedMs);
    if (!dependent.blocked()) {
      listener.released(dependent);
    }
  }

  /**
   * Cancels a job and all jobs that depend on it, directly or indirectly. Their ends count as
   * persisted at once, since the cancellation that implies them is in the store.
   */
  private void cancelWithDependents(Job first) {
    Deque<Job> queue = new ArrayDeque<>(List.of(first));
    while (!queue.isEmpty()) {
      Job job = queue.poll();
      if (job.endPersisted) {
        continue;
      }
      LOG.debug("job {} is cancelled because a dependency is cancelled", job.spec.ref());
      job.finalPhase = JobPhase.CANCELLED;
      job.endPersisted = true;
      job.endedMs = context.clock().wallMs();
      listener.cancelled(job);
      Set<Job> waiting = dependents.remove(job.spec.ref());
      if (waiting != null) {
        queue.addAll(waiting);
      }
    }
  }

  /**
   * Returns a direct or indirect dependency of the job whose cancellation is decided and not yet
   * known to be in the store; empty if there is none.
   */
  public Optional<Job> cancellationBeingWritten(Job job) {
    return cancellationBeingWritten(job.unmetDependencies);
  }

  /** Returns the same for a job of which only the ids of its dependencies are known. */
  Optional<Job> cancellationBeingWritten(Collection<String> dependencies) {
    Deque<String> queue = new ArrayDeque<>(dependencies);
    Set<String> seen = new HashSet<>(queue);
    while (!queue.isEmpty()) {
      Job dependency = state.jobs.get(queue.poll());
      if (dependency == null) {
        continue;
      }
      if (dependency.finalPhase == JobPhase.CANCELLED && !dependency.endPersisted) {
        return Optional.of(dependency);
      }
      dependency.unmetDependencies.stream().filter(seen::add).forEach(queue::add);
    }
    return Optional.empty();
  }

  /** Looks up dependencies that are not in the cluster state, a few at a time, in the store. */
  public void resolveUnknown() {
    lookup.resolve();
  }

  /**
   * Propagates the priority and the latest start of each job to its dependencies. To be called
   * before a scheduling round; does nothing unless the graph has changed.
   */
  public void propagateUrgency() {
    if (!changedSincePropagation) {
      return;
    }
    changedSincePropagation = false;
    priorityInheritance.propagate();
  }

  /** Returns the number of jobs that have not ended and wait for a dependency. */
  public int blockedCount() {
    return (int)
        state.jobs.values().stream().filter(job -> job.finalPhase == null && job.blocked()).count();
  }
}
