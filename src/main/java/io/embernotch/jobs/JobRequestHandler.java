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
import io.embernotch.state.JobKnowledge;
import io.embernotch.state.UnreadableEntries.UnreadableSubmission;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Answers polls and cancellations at the leader. No end of a job and no done task is reported
 * before the store is known to hold it, so that no later answer of any controller contradicts an
 * earlier one. Owned by the leader's event loop.
 */
public final class JobRequestHandler {
  /** A poll waits at most a heartbeat interval divided by this for a write. */
  private static final int POLL_WAITS_PER_HEARTBEAT = 6;

  /** The leader's part in handling requests. */
  public interface Host {
    /** Adds a job that the store holds and that the leader has not been notified of. */
    void jobFound(VersionedEntry job);

    /**
     * Stops a job's tasks. Completes {@code reply} once the job is cancelled or done, or with 503
     * if it can't be cancelled yet.
     */
    void cancel(Job job, Promise<HttpResponse> reply);

    /** Whether the leader has stopped and must not add jobs any more. */
    boolean isStopped();

    /**
     * Whether a job that the store does not hold was certainly never accepted; false after a loss
     * of data that may have affected accepted jobs.
     */
    boolean mayAnswerNotFound();

    /** Adds further fields to the status of a job that has not ended. */
    void describe(Job job, ObjectNode into);
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final StateWriter stateWriter;
  private final DependencyGraph dependencyGraph;
  private final BooleanSupplier leaseValid;
  private final Host host;

  /**
   * Creates the handler; {@code leaseValid} returns whether leadership is proven at this moment.
   */
  public JobRequestHandler(
      ControllerContext context,
      ClusterState state,
      StateWriter stateWriter,
      DependencyGraph dependencyGraph,
      BooleanSupplier leaseValid,
      Host host) {
    this.context = context;
    this.state = state;
    this.stateWriter = stateWriter;
    this.dependencyGraph = dependencyGraph;
    this.leaseValid = leaseValid;
    this.host = host;
  }

  /** Completes {@code reply} with the state of a job: 200, 404 if never accepted, or 503. */
  public void poll(String ref, Promise<HttpResponse> reply) {
    JobKnowledge knowledge = state.knowledgeOf(ref);
    if (knowledge != JobKnowledge.ENDED && !leaseValid.getAsBoolean()) {
      reply.complete(HttpResponse.unavailable("leadership is not proven"));
      return;
    }
    switch (knowledge) {
      case ENDED -> reply.complete(endedStatus(ref));
      case LIVE -> poll(state.jobs.get(ref), reply);
      case END_UNREADABLE -> reply.complete(unreadable());
      case SUBMISSION_UNREADABLE -> reply.complete(statusByDependencies(ref));
      case NOT_SEEN -> lookUp(ref, reply, () -> poll(ref, reply));
    }
  }

  private HttpResponse endedStatus(String ref) {
    ClusterState.EndedJob ended = state.endedJobs.get(ref);
    return HttpResponse.of(200, JobCodec.statusResponse(ref, ended.phase(), ended.done(), 0));
  }

  /**
   * The status of a job whose submission can't be read, as far as its dependencies prove it: if one
   * of them is cancelled, so is this job, and its user may have been told so.
   */
  private HttpResponse statusByDependencies(String ref) {
    Optional<List<String>> dependencies =
        state.unreadable.submission(ref).flatMap(UnreadableSubmission::dependencies);
    if (dependencies.isEmpty() || state.unreadable.isStarted(ref)) {
      return unreadable();
    }
    return phaseByDependencies(dependencies.get())
        .map(phase -> HttpResponse.of(200, JobCodec.statusResponse(ref, phase, 0, 0)))
        .orElseGet(JobRequestHandler::unreadable);
  }

  /** The phase of a job that has not started; empty if its dependencies don't prove it. */
  private Optional<JobPhase> phaseByDependencies(List<String> dependencies) {
    boolean cancelled =
        dependencies.stream()
            .flatMap(ref -> state.persistedEnd(ref).stream())
            .anyMatch(end -> end.phase() == JobPhase.CANCELLED);
    if (cancelled) {
      return Optional.of(JobPhase.CANCELLED);
    }
    boolean allKnown =
        dependencies.stream()
            .map(state::knowledgeOf)
            .allMatch(known -> known == JobKnowledge.LIVE || known == JobKnowledge.ENDED);
    return allKnown && dependencyGraph.cancellationBeingWritten(dependencies).isEmpty()
        ? Optional.of(JobPhase.QUEUED)
        : Optional.empty();
  }

  private void poll(Job job, Promise<HttpResponse> reply) {
    String ref = job.spec.ref();
    Runnable pollAgain = () -> pollUnlessAnswered(ref, reply);
    Optional<Job> beingWritten = endBeingWritten(job);
    if (beingWritten.isPresent()) {
      // The store may hold that end before this leader receives the response to its commit, and a
      // controller that got no answer from this leader may report the end from the store. So this
      // leader must not report an older state: a user would see the job done, then running, then
      // done.
      Job ended = beingWritten.get();
      boolean writePending = stateWriter.whenStored(ended, JobCompletions.FIRST_TASK, pollAgain);
      replyLater(reply, writePending ? pollTimeoutS() : 0, "its end is being written");
    } else if (job.finalPhase == null && job.blocked()) {
      reply.complete(
          HttpResponse.of(200, JobCodec.waitingResponse(ref, job.unmetDependencies.size())));
    } else if (job.finalPhase == null && stateWriter.whenUnknownDoneMarksStored(job, pollAgain)) {
      // The same holds for the count of done tasks.
      replyLater(reply, pollTimeoutS(), "what is done of it is being written");
    } else {
      reply.complete(HttpResponse.of(200, status(job)));
    }
  }

  /**
   * Returns the job whose end determines the end of the given one, and is decided and not yet known
   * to be in the store: the given job itself, or a cancelled dependency, whose cancellation implies
   * that of the given job. Empty if there is none.
   */
  private Optional<Job> endBeingWritten(Job job) {
    if (job.finalPhase == null) {
      return job.blocked() ? dependencyGraph.cancellationBeingWritten(job) : Optional.empty();
    }
    return job.endPersisted ? Optional.empty() : Optional.of(job);
  }

  private void pollUnlessAnswered(String ref, Promise<HttpResponse> reply) {
    if (!reply.future().isComplete()) {
      poll(ref, reply);
    }
  }

  /** Replies with 503 unless {@code reply} is completed within {@code delayS} seconds. */
  private void replyLater(Promise<HttpResponse> reply, double delayS, String reason) {
    context.timers().after(delayS, () -> reply.tryComplete(HttpResponse.unavailable(reason)));
  }

  private double pollTimeoutS() {
    return context.settings().workers().heartbeatIntervalS() / POLL_WAITS_PER_HEARTBEAT;
  }

  /**
   * Returns the body of a status response; no write of the job's end or done marks may be pending.
   */
  private byte[] status(Job job) {
    String ref = job.spec.ref();
    int running = job.runningCount();
    if (job.endPersisted) {
      return JobCodec.statusResponse(ref, job.finalPhase, job.done.cardinality(), running);
    }
    JobPhase phase = running > 0 ? JobPhase.RUNNING : JobPhase.QUEUED;
    int done = job.persistedDone.cardinality();
    if (job.isAtFault()) {
      return JobCodec.failingResponse(ref, phase, done, running, job.errorMachines);
    }
    if (job.release != null) {
      return JobCodec.statusResponse(ref, phase, done, running, body -> host.describe(job, body));
    }
    return JobCodec.statusResponse(ref, phase, done, running);
  }

  /**
   * Looks up an unknown job in the store, which alone can prove that a job was never accepted; runs
   * {@code whenFound} if the store holds the job.
   */
  private void lookUp(String ref, Promise<HttpResponse> reply, Runnable whenFound) {
    context
        .store()
        .getConfirmed(JobProgressCodec.JOB_PREFIX + ref)
        .onSuccess(
            entry -> {
              if (!entry.present()) {
                reply.complete(
                    host.mayAnswerNotFound()
                        ? HttpResponse.error(404, "no such job")
                        : HttpResponse.unavailable(
                            "whether it was accepted before data was lost is not known"));
              } else if (host.isStopped()) {
                reply.complete(HttpResponse.unavailable("no steward"));
              } else {
                host.jobFound(entry);
                whenFound.run();
              }
            })
        .onFailure(
            e -> reply.complete(HttpResponse.unavailable("the state service does not answer")));
  }

  /** Cancels a job; completes {@code reply} with its final phase, 404 or 503. */
  public void cancel(String ref, Promise<HttpResponse> reply) {
    switch (state.knowledgeOf(ref)) {
      case ENDED -> {
        JobPhase end = state.endedJobs.get(ref).phase();
        reply.complete(HttpResponse.of(200, JobCodec.phaseResponse(ref, end)));
      }
      case LIVE -> cancel(state.jobs.get(ref), reply);
      case END_UNREADABLE, SUBMISSION_UNREADABLE -> reply.complete(unreadable());
      case NOT_SEEN -> lookUp(ref, reply, () -> cancel(ref, reply));
    }
  }

  private void cancel(Job job, Promise<HttpResponse> reply) {
    if (job.finalPhase == null) {
      host.cancel(job, reply);
    } else {
      replyOnceEndPersisted(job, reply);
    }
  }

  private static HttpResponse unreadable() {
    return HttpResponse.unavailable("what the state service holds of it can't be read");
  }

  private void replyOnceEndPersisted(Job job, Promise<HttpResponse> reply) {
    HttpResponse response =
        HttpResponse.of(200, JobCodec.phaseResponse(job.spec.ref(), job.finalPhase));
    JobCompletions.onceEndPersisted(stateWriter, job, () -> reply.tryComplete(response));
    if (!job.endPersisted) {
      replyLater(reply, context.settings().workers().heartbeatIntervalS(), "not in the store yet");
    }
  }
}
