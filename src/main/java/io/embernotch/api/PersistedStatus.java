package io.embernotch.api;

import io.embernotch.codec.JobCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.persistence.PersistedJob;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.state.ClusterState;
import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The status of a job as the store alone proves it, while no leader answers. Reads of the store are
 * linearizable, so any controller may pass the result on: it cannot be older than a status that was
 * given before.
 *
 * <p>A job is cancelled as soon as one of its dependencies is, though its own end may not be
 * written yet. So the dependencies are read too, up to a number of jobs; beyond that the user is
 * told to come back. Owned by the controller's event loop.
 */
public final class PersistedStatus {
  /** So many direct and indirect dependencies are read for one response. */
  private static final int MAX_DEPENDENCY_READS = 8;

  private final ControllerContext context;
  private final CompletedJobCache completedJobs;
  private final Supplier<BaseSnapshot> baseSnapshot;

  /**
   * @param completedJobs receives the ends of jobs that are read
   * @param baseSnapshot what the present store incarnation began with
   */
  public PersistedStatus(
      ControllerContext context,
      CompletedJobCache completedJobs,
      Supplier<BaseSnapshot> baseSnapshot) {
    this.context = context;
    this.completedJobs = completedJobs;
    this.baseSnapshot = baseSnapshot;
  }

  /** The response to a poll: 200, 404 or 503. */
  public Future<HttpResponse> of(String ref) {
    ClusterState.EndedJob ended = baseSnapshot.get().endedJob(ref);
    if (ended != null) {
      completedJobs.put(ref, ended.phase(), ended.done());
      return Future.succeededFuture(completedJobs.status(ref));
    }
    return PersistedJob.read(context.store(), baseSnapshot.get(), ref)
        .compose(this::statusOf)
        .otherwise(PersistedStatus::unknown);
  }

  /** The response where a read failed, or what it brought can't be read. */
  private static HttpResponse unknown(Throwable failure) {
    return HttpResponse.unavailable(
        failure instanceof MalformedInputException
            ? "what the state service holds of it can't be read"
            : "the state service does not answer");
  }

  /** {@code job} is null if it was never accepted. */
  private Future<HttpResponse> statusOf(Job job) {
    if (job == null) {
      return Future.succeededFuture(HttpResponse.error(404, "no such job"));
    }
    if (job.finalPhase != null) {
      return status(job, job.finalPhase);
    }
    return new DependencySearch(job).run();
  }

  private Future<HttpResponse> status(Job job, JobPhase phase) {
    int done = job.done.cardinality();
    if (phase.isFinal()) {
      completedJobs.put(job.spec.ref(), phase, done);
    }
    int running = phase == JobPhase.RUNNING ? job.openAttempts.size() : 0;
    return Future.succeededFuture(
        HttpResponse.of(200, JobCodec.statusResponse(job.spec.ref(), phase, done, running)));
  }

  /** A breadth-first search for a cancelled dependency of a job that has no end of its own. */
  private final class DependencySearch {
    private final Job job;
    private final Deque<String> queue;
    private final Set<String> seen;
    private int reads;

    DependencySearch(Job job) {
      this.job = job;
      this.queue = new ArrayDeque<>(job.spec.dependencies());
      this.seen = new HashSet<>(job.spec.dependencies());
    }

    Future<HttpResponse> run() {
      if (queue.isEmpty()) {
        return status(job, job.openAttempts.isEmpty() ? JobPhase.QUEUED : JobPhase.RUNNING);
      }
      if (reads == MAX_DEPENDENCY_READS) {
        return Future.succeededFuture(
            HttpResponse.unavailable("too many jobs before this one, and no steward"));
      }
      String ref = queue.poll();
      ClusterState.EndedJob ended = baseSnapshot.get().endedJob(ref);
      if (ended != null && ended.phase() == JobPhase.CANCELLED) {
        return status(job, JobPhase.CANCELLED);
      }
      if (ended != null || completedJobs.isDone(ref)) {
        return run();
      }
      return PersistedJob.read(context.store(), baseSnapshot.get(), ref)
          .compose(dependency -> visit(ref, dependency));
    }

    /**
     * {@code dependency} is null if the store does not hold it: it was accepted before this job, so
     * it is lost, and may have been cancelled.
     */
    private Future<HttpResponse> visit(String ref, Job dependency) {
      reads++;
      if (dependency == null) {
        return Future.succeededFuture(
            HttpResponse.unavailable("what the state service holds is not known yet"));
      }
      if (dependency.finalPhase == JobPhase.CANCELLED) {
        return status(job, JobPhase.CANCELLED);
      }
      if (dependency.finalPhase == JobPhase.DONE) {
        // All dependencies of a job that is done are done too, so they need not be read.
        completedJobs.put(ref, JobPhase.DONE, dependency.done.cardinality());
      } else {
        dependency.spec.dependencies().stream().filter(seen::add).forEach(queue::add);
      }
      return run();
    }
  }
}
