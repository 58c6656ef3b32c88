package io.embernotch.api;

import io.embernotch.codec.JobCodec;
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
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The state of a job as the store alone tells it, while no leader answers. The store answers with
 * the newest it was told, so any node may pass that on: no older answer than one already given can
 * come of it.
 *
 * <p>A job is cancelled as soon as one before it is, though its own end may not be written yet. So
 * what it awaits is read too, up to a number of jobs; beyond that the user is told to come back.
 */
public final class PersistedStatus {
  /** So many jobs before one are read for one answer. */
  private static final int MOST_BEFORE = 8;

  private final ControllerContext context;
  private final CompletedJobCache ended;
  private final Supplier<BaseSnapshot> base;

  public PersistedStatus(
      ControllerContext context, CompletedJobCache ended, Supplier<BaseSnapshot> base) {
    this.base = base;
    this.context = context;
    this.ended = ended;
  }

  /** The answer to a poll: 200, 404 or 503. */
  public Future<HttpResponse> of(String ref) {
    ClusterState.EndedJob left = base.get().ended(ref);
    if (left != null) {
      ended.put(ref, left.phase(), left.done());
      return answer(ended.status(ref));
    }
    return PersistedJob.read(context.store(), base.get(), ref)
        .compose(
            job -> {
              if (job == null) {
                return answer(HttpResponse.error(404, "no such job"));
              }
              if (job.finalPhase != null) {
                return answer(told(job, job.finalPhase));
              }
              return before(
                  job,
                  new ArrayDeque<>(job.spec.dependencies()),
                  new HashSet<>(job.spec.dependencies()),
                  0);
            })
        .otherwise(e -> HttpResponse.later("the state service does not answer"));
  }

  /** Reads what is before a job, the nearest first. */
  private Future<HttpResponse> before(Job job, Deque<String> left, Set<String> seen, int read) {
    if (left.isEmpty()) {
      return answer(told(job, job.openAttempts.isEmpty() ? JobPhase.QUEUED : JobPhase.RUNNING));
    }
    if (read == MOST_BEFORE) {
      return answer(HttpResponse.later("too many jobs before this one, and no steward"));
    }
    String next = left.poll();
    ClusterState.EndedJob ofBase = base.get().ended(next);
    if (ofBase != null && ofBase.phase() == JobPhase.CANCELLED) {
      return answer(told(job, JobPhase.CANCELLED));
    }
    if (ofBase != null || ended.phase(next) == JobPhase.DONE) {
      return before(job, left, seen, read);
    }
    return PersistedJob.read(context.store(), base.get(), next)
        .compose(
            other -> {
              if (other != null && other.finalPhase == JobPhase.CANCELLED) {
                return answer(told(job, JobPhase.CANCELLED));
              }
              if (other != null && other.finalPhase == JobPhase.DONE) {
                ended.put(next, JobPhase.DONE, other.done.cardinality());
              }
              // All that was before a job that is done is done too.
              List<String> more =
                  other == null || other.finalPhase == JobPhase.DONE
                      ? List.of()
                      : other.spec.dependencies();
              more.stream().filter(seen::add).forEach(left::add);
              return before(job, left, seen, read + 1);
            });
  }

  private HttpResponse told(Job job, JobPhase phase) {
    if (phase.isFinal()) {
      ended.put(job.spec.ref(), phase, job.done.cardinality());
    }
    int running = phase == JobPhase.RUNNING ? job.openAttempts.size() : 0;
    return HttpResponse.of(
        200, JobCodec.status(job.spec.ref(), phase, job.done.cardinality(), running));
  }

  private static Future<HttpResponse> answer(HttpResponse a) {
    return Future.succeededFuture(a);
  }
}
