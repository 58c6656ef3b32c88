package io.embernotch.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.persistence.StateWriter;
import io.embernotch.state.ClusterState;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Promise;
import java.util.function.BooleanSupplier;

/** Answers what users ask the leader about their jobs. */
public final class JobRequestHandler {
  /** What the answers need of the leader. */
  public interface Host {
    /** A job that the store holds and nobody has told the leader of. */
    void jobFound(VersionedEntry job);

    /** Has a job's tasks stopped, and answers once it is cancelled or done, or cannot be yet. */
    void cancel(Job job, Promise<HttpResponse> reply);

    boolean isStopped();

    /** Adds what else is to be told of a job that has not ended. */
    void describe(Job job, ObjectNode into);
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final BooleanSupplier live;
  private final Host host;

  public JobRequestHandler(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      BooleanSupplier live,
      Host host) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.live = live;
    this.host = host;
  }

  public void poll(String ref, Promise<HttpResponse> reply) {
    ClusterState.EndedJob ended = state.endedJobs.get(ref);
    if (ended != null) {
      reply.complete(HttpResponse.of(200, JobCodec.status(ref, ended.phase(), ended.done(), 0)));
      return;
    }
    if (!live.getAsBoolean()) {
      reply.complete(HttpResponse.later("leadership is not proven"));
      return;
    }
    Job job = state.jobs.get(ref);
    if (job == null && state.unreadable.contains(ref)) {
      reply.complete(HttpResponse.of(200, JobCodec.status(ref, JobPhase.QUEUED, 0, 0)));
    } else if (job == null) {
      lookUp(ref, reply, () -> poll(ref, reply));
    } else if (job.finalPhase == null && job.blocked()) {
      reply.complete(HttpResponse.of(200, JobCodec.waiting(ref, job.unmetDependencies.size())));
    } else if (job.finalPhase != null && !job.endPersisted) {
      // Its end may be in the store before we have the answer, and be told from there by another
      // controller
      // that we did not answer in time. So nothing older is told any more: a drawn run of losses
      // once had
      // a job done, then running, then done.
      HttpResponse later = HttpResponse.later("its end is being written");
      boolean waits = stateWriter.whenWritten(job, 0, () -> again(ref, reply));
      context
          .timers()
          .after(
              waits ? context.settings().workers().heartbeatIntervalS() / 6 : 0,
              () -> reply.tryComplete(later));
    } else if (job.finalPhase == null
        && stateWriter.whenDoneMarksSettled(job, () -> again(ref, reply))) {
      // The same holds for the count of done tasks.
      HttpResponse later = HttpResponse.later("what is done of it is being written");
      context
          .timers()
          .after(
              context.settings().workers().heartbeatIntervalS() / 6,
              () -> reply.tryComplete(later));
    } else {
      double answered =
          context.clock().now() - context.settings().workers().heartbeatIntervalS() / 6;
      JobPhase phase =
          job.endPersisted
              ? job.finalPhase
              : job.mayRun(answered) ? JobPhase.RUNNING : JobPhase.QUEUED;
      int done = (job.endPersisted ? job.done : job.persistedDone).cardinality();
      reply.complete(
          HttpResponse.of(
              200,
              job.failsEverywhere() && !job.endPersisted
                  ? JobCodec.failing(ref, phase, done, job.runningCount(), job.errorMachines)
                  : job.release != null && !job.endPersisted
                      ? JobCodec.status(
                          ref, phase, done, job.runningCount(), o -> host.describe(job, o))
                      : JobCodec.status(ref, phase, done, job.runningCount())));
    }
  }

  private void again(String ref, Promise<HttpResponse> reply) {
    if (!reply.future().isComplete()) {
      poll(ref, reply);
    }
  }

  /** Only the store can tell that a job was never accepted. */
  private void lookUp(String ref, Promise<HttpResponse> reply, Runnable found) {
    context
        .store()
        .getConfirmed(JobProgressCodec.JOB + ref)
        .onSuccess(
            entry -> {
              if (!entry.present()) {
                reply.complete(HttpResponse.error(404, "no such job"));
              } else if (host.isStopped()) {
                reply.complete(HttpResponse.later("no steward"));
              } else {
                host.jobFound(entry);
                found.run();
              }
            })
        .onFailure(e -> reply.complete(HttpResponse.later("the state service does not answer")));
  }

  public void abort(String ref, Promise<HttpResponse> reply) {
    ClusterState.EndedJob ended = state.endedJobs.get(ref);
    if (ended != null) {
      reply.complete(HttpResponse.of(200, JobCodec.brief(ref, ended.phase())));
      return;
    }
    Job job = state.jobs.get(ref);
    if (job == null) {
      lookUp(ref, reply, () -> abort(ref, reply));
      return;
    }
    if (job.finalPhase == null) {
      host.cancel(job, reply);
      return;
    }
    HttpResponse answer = HttpResponse.of(200, JobCodec.brief(ref, job.finalPhase));
    if (job.endPersisted) {
      reply.complete(answer);
    } else {
      stateWriter.writeNow(job, 0, RequestPriority.HIGH, () -> reply.tryComplete(answer));
      context
          .timers()
          .after(
              context.settings().workers().heartbeatIntervalS(),
              () -> reply.tryComplete(HttpResponse.later("not in the store yet")));
    }
  }
}
