package io.embernotch.jobs;

import io.embernotch.model.Job;
import io.embernotch.model.Priority;
import io.embernotch.state.ClusterState;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Priority inheritance over the dependency graph: a job gets the highest priority and the earliest
 * of the latest start times of itself and all jobs that depend on it. Owned by the leader's event
 * loop.
 */
final class PriorityInheritance {
  private static final int MS_PER_S = 1000;

  private final ClusterState state;

  PriorityInheritance(ClusterState state) {
    this.state = state;
  }

  /** Recomputes the effective priority and the latest start of every job. */
  void propagate() {
    for (Job job : state.jobs.values()) {
      job.effectivePriority = job.spec.priority();
      job.latestStartMs = ownLatestStartMs(job);
    }
    for (Job job : state.jobs.values()) {
      if (job.finalPhase == null && !job.spec.dependencies().isEmpty()) {
        propagateFrom(job);
      }
    }
  }

  private void propagateFrom(Job origin) {
    Deque<Job> queue = new ArrayDeque<>(List.of(origin));
    while (!queue.isEmpty()) {
      Job dependent = queue.poll();
      Priority inherited = inheritedPriority(dependent);
      for (String ref : dependent.unmetDependencies) {
        Job dependency = state.jobs.get(ref);
        if (dependency != null
            && dependency.finalPhase == null
            && raise(dependency, inherited, latestStartMs(dependency, dependent))) {
          queue.add(dependency);
        }
      }
    }
  }

  /** Returns whether the dependency has become more urgent. */
  private static boolean raise(Job dependency, Priority priority, long latestStartMs) {
    boolean higher = dependency.effectivePriority.compareTo(priority) < 0;
    if (!higher && latestStartMs >= dependency.latestStartMs) {
      return false;
    }
    if (higher) {
      dependency.effectivePriority = priority;
    }
    dependency.latestStartMs = Math.min(dependency.latestStartMs, latestStartMs);
    return true;
  }

  /**
   * A dependency of a live service is not itself a live service, so it must not preempt services.
   */
  private static Priority inheritedPriority(Job dependent) {
    return dependent.effectivePriority == Priority.PRODUCTION
        ? Priority.HIGH
        : dependent.effectivePriority;
  }

  private static long latestStartMs(Job dependency, Job dependent) {
    return dependent.latestStartMs == Long.MAX_VALUE
        ? Long.MAX_VALUE
        : dependent.latestStartMs - expectedRunMs(dependency);
  }

  private static long ownLatestStartMs(Job job) {
    return job.spec.dueS() == null
        ? Long.MAX_VALUE
        : job.submittedMs + Math.round(job.spec.dueS() * MS_PER_S) - expectedRunMs(job);
  }

  private static long expectedRunMs(Job job) {
    return Math.round(job.spec.expectS() * MS_PER_S);
  }
}
