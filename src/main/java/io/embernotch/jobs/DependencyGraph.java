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
 * The graph of jobs and the jobs that they depend on. A job is released once every dependency of it
 * is done in the store, and cancelled once one of them is cancelled there. Both follow from
 * committed completions and from submissions, which never change, so every leader comes to the same
 * result.
 *
 * <p>A job names only jobs that were accepted before it, so the graph is acyclic. Owned by the
 * leader's event loop.
 */
public final class DependencyGraph {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyGraph.class);

  /** What becomes of blocked jobs and of jobs that are named as dependencies. */
  public interface Listener {
    /** Every dependency of the job is done. */
    void released(Job job);

    /** A dependency of the job is cancelled, and so is the job; no task of it ever started. */
    void cancelled(Job job);

    /** The store holds a job that is a dependency and that the cluster state does not know. */
    void jobFound(VersionedEntry entry);
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final Listener listener;
  private final DependencyLookup lookup;
  private final PriorityInheritance priorityInheritance;

  /** By the id of a job that has not ended: the jobs that depend on it. */
  private final Map<String, Set<Job>> dependents = new HashMap<>();

  /** Whether effective priorities may differ from what the graph demands. */
  private boolean changed;

  /** An empty graph; {@code listener} is called on the caller's thread. */
  public DependencyGraph(ControllerContext context, ClusterState state, Listener listener) {
    this.context = context;
    this.state = state;
    this.listener = listener;
    this.lookup = new DependencyLookup(context, listener::jobFound);
    this.priorityInheritance = new PriorityInheritance(state);
  }

  /** Builds the graph anew from all jobs of the cluster state. */
  public void rebuild() {
    dependents.clear();
    lookup.clear();
    List.copyOf(state.jobs.values()).forEach(this::add);
  }

  /** Adds a job of the cluster state; it is blocked from now on if a dependency is not done. */
  public void add(Job job) {
    changed = true;
    lookup.remove(job.spec.ref());
    boolean dependencyCancelled = false;
    for (String ref : job.finalPhase == null ? job.spec.dependencies() : List.<String>of()) {
      Optional<ClusterState.EndedJob> ended = state.persistedEnd(ref);
      if (ended.isEmpty()) {
        addUnmet(job, ref);
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

  private void addUnmet(Job job, String dependency) {
    job.unmetDependencies.add(dependency);
    dependents.computeIfAbsent(dependency, ref -> new LinkedHashSet<>()).add(job);
    switch (state.knowledgeOf(dependency)) {
      case NOT_SEEN -> lookup.add(dependency);
      case END_UNREADABLE, SUBMISSION_UNREADABLE ->
          LOG.warn("job {} waits for {}, whose entries can't be read", job.spec.ref(), dependency);
      case LIVE, ENDED -> {}
    }
  }

  /** The store holds the end of the job: its dependents are released or cancelled. */
  public void ended(Job job) {
    boolean cancelled = job.finalPhase == JobPhase.CANCELLED;
    Set<Job> waiting = dependents.remove(job.spec.ref());
    if (cancelled) {
      changed = true;
    }
    if (waiting == null) {
      return;
    }
    changed = true;
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
   * Cancels a job and all that depend on it. Their ends count as persisted at once, since the
   * cancellation that implies them is in the store.
   */
  private void cancelWithDependents(Job first) {
    Deque<Job> queue = new ArrayDeque<>(List.of(first));
    while (!queue.isEmpty()) {
      Job job = queue.poll();
      if (job.endPersisted) {
        continue;
      }
      LOG.debug("job {} is cancelled: a job that it depends on is", job.spec.ref());
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
   * A job that the given one depends on, directly or through others, and whose cancellation is
   * decided and not known to be in the store; empty if there is none.
   */
  public Optional<Job> cancellationBeingWritten(Job job) {
    return cancellationBeingWritten(job.unmetDependencies);
  }

  /** The same of a job, of which only the jobs that it depends on are known. */
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

  /** Reads dependencies that the cluster state does not know from the store, a few at a time. */
  public void resolveUnknown() {
    lookup.resolve();
  }

  /**
   * Has jobs inherit the priority and the latest start of all that depend on them. To be called
   * before a scheduling round; does nothing unless the graph has changed.
   */
  public void propagateUrgency() {
    if (!changed) {
      return;
    }
    changed = false;
    priorityInheritance.propagate();
  }

  /** How many jobs that have not ended wait for a dependency. */
  public int blockedCount() {
    return (int)
        state.jobs.values().stream().filter(job -> job.finalPhase == null && job.blocked()).count();
  }
}
