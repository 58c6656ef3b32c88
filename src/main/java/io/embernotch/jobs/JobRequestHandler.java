package io.embernotch.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import io.embernotch.state.ClusterState;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.persistence.StateWriter;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.RateLimiter.Rank;
import io.vertx.core.Promise;
import java.util.function.BooleanSupplier;

/** Answers what users ask the leader about their jobs. */
public final class JobRequestHandler {
  /** What the answers need of the leader. */
  public interface Host {
    /** A job that the store holds and nobody has told the leader of. */
    void found(VersionedEntry job);

    /** Has a job's tasks stopped, and answers once it is cancelled or done, or cannot be yet. */
    void cancel(Job job, Promise<HttpResponse> reply);

    boolean over();

    /** Adds what else is to be told of a job that has not ended. */
    void describe(Job job, ObjectNode into);
  }

  private final ControllerContext env;
  private final ClusterState ledger;
  private final StateWriter committer;
  private final BooleanSupplier live;
  private final Host host;

  public JobRequestHandler(ControllerContext env, ClusterState ledger, StateWriter committer, BooleanSupplier live, Host host) {
    this.env = env;
    this.ledger = ledger;
    this.committer = committer;
    this.live = live;
    this.host = host;
  }

  public void poll(String ref, Promise<HttpResponse> reply) {
    ClusterState.Ended ended = ledger.ended.get(ref);
    if (ended != null) {
      reply.complete(HttpResponse.of(200, JobCodec.status(ref, ended.phase(), ended.done(), 0)));
      return;
    }
    if (!live.getAsBoolean()) {
      reply.complete(HttpResponse.later("leadership is not proven"));
      return;
    }
    Job job = ledger.jobs.get(ref);
    if (job == null && ledger.unreadable.contains(ref)) {
      reply.complete(HttpResponse.of(200, JobCodec.status(ref, JobPhase.QUEUED, 0, 0)));
    } else if (job == null) {
      lookUp(ref, reply, () -> poll(ref, reply));
    } else if (job.end == null && job.held()) {
      reply.complete(HttpResponse.of(200, JobCodec.waiting(ref, job.waitingFor.size())));
    } else if (job.end != null && !job.endKept) {
      // Its end may be in the store before we have the answer, and be told from there by another
      // controller
      // that we did not answer in time. So nothing older is told any more: a drawn run of losses
      // once had
      // a job done, then running, then done.
      HttpResponse later = HttpResponse.later("its end is being written");
      boolean waits = committer.whenWritten(job, 0, () -> again(ref, reply));
      env.timers()
          .after(
              waits ? env.settings().workers().reportS() / 6 : 0, () -> reply.tryComplete(later));
    } else if (job.end == null && committer.whenDoneMarksAreKnown(job, () -> again(ref, reply))) {
      // The same holds for the count of done tasks.
      HttpResponse later = HttpResponse.later("what is done of it is being written");
      env.timers().after(env.settings().workers().reportS() / 6, () -> reply.tryComplete(later));
    } else {
      double answered = env.clock().now() - env.settings().workers().reportS() / 6;
      JobPhase phase = job.endKept ? job.end : job.mayRun(answered) ? JobPhase.RUNNING : JobPhase.QUEUED;
      int done = (job.endKept ? job.done : job.storedDone).cardinality();
      reply.complete(
          HttpResponse.of(
              200,
              job.fails() && !job.endKept
                  ? JobCodec.failing(ref, phase, done, job.running(), job.errorMachines)
                  : job.release != null && !job.endKept
                      ? JobCodec.status(ref, phase, done, job.running(), o -> host.describe(job, o))
                      : JobCodec.status(ref, phase, done, job.running())));
    }
  }

  private void again(String ref, Promise<HttpResponse> reply) {
    if (!reply.future().isComplete()) {
      poll(ref, reply);
    }
  }

  /** Only the store can tell that a job was never accepted. */
  private void lookUp(String ref, Promise<HttpResponse> reply, Runnable found) {
    env.store()
        .getSurely(JobProgressCodec.JOB + ref)
        .onSuccess(
            entry -> {
              if (!entry.present()) {
                reply.complete(HttpResponse.error(404, "no such job"));
              } else if (host.over()) {
                reply.complete(HttpResponse.later("no steward"));
              } else {
                host.found(entry);
                found.run();
              }
            })
        .onFailure(e -> reply.complete(HttpResponse.later("the state service does not answer")));
  }

  public void abort(String ref, Promise<HttpResponse> reply) {
    ClusterState.Ended ended = ledger.ended.get(ref);
    if (ended != null) {
      reply.complete(HttpResponse.of(200, JobCodec.brief(ref, ended.phase())));
      return;
    }
    Job job = ledger.jobs.get(ref);
    if (job == null) {
      lookUp(ref, reply, () -> abort(ref, reply));
      return;
    }
    if (job.end == null) {
      host.cancel(job, reply);
      return;
    }
    HttpResponse answer = HttpResponse.of(200, JobCodec.brief(ref, job.end));
    if (job.endKept) {
      reply.complete(answer);
    } else {
      committer.now(job, 0, Rank.FIRST, () -> reply.tryComplete(answer));
      env.timers()
          .after(
              env.settings().workers().reportS(),
              () -> reply.tryComplete(HttpResponse.later("not in the store yet")));
    }
  }
}
