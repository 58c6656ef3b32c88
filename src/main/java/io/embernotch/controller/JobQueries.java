package io.embernotch.controller;

import io.embernotch.api.CompletedJobCache;
import io.embernotch.api.JobAnswers;
import io.embernotch.api.PersistedStatus;
import io.embernotch.api.PollRateLimiter;
import io.embernotch.codec.JobCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.peer.Frame;
import io.vertx.core.Future;
import java.util.function.Predicate;

/**
 * Answers users' polls and aborts of jobs at any controller: a completion that is known here is
 * answered at once, anything else by the leader, and polls by the store while there is no leader.
 */
final class JobQueries {
  /** Forwards a request to the leader, wherever it is; 503 if there is no answer in time. */
  interface LeaderRequests {
    Future<HttpResponse> request(Frame.ForwardedRequest.Kind kind, String ref, double withinS);
  }

  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final ControllerContext context;
  private final JobAnswers answers;
  private final CompletedJobCache completedJobs;
  private final StoreIncarnationTracker incarnations;
  private final PersistedStatus persistedStatus;
  private final Predicate<String> acceptedHere;
  private final LeaderRequests leader;
  private final double heartbeatIntervalS;

  /** Seconds for which a poll waits for the leader. */
  private final double pollTimeoutS;

  /** Seconds of failing requests after which the store is not asked. */
  private final double maxStoreFailureS;

  /** Seconds of the wait for a read of the store from which on it is not asked. */
  private final double maxReadWaitS;

  /** A flood of polls costs other nodes and the store nothing, and agents little. */
  private final PollRateLimiter rateLimiter;

  /**
   * @param acceptedHere whether the job with the given reference was accepted by this process
   */
  JobQueries(
      ControllerContext context,
      JobAnswers answers,
      CompletedJobCache completedJobs,
      StoreIncarnationTracker incarnations,
      Predicate<String> acceptedHere,
      LeaderRequests leader) {
    this.context = context;
    this.answers = answers;
    this.completedJobs = completedJobs;
    this.incarnations = incarnations;
    this.persistedStatus = new PersistedStatus(context, completedJobs, incarnations::base);
    this.acceptedHere = acceptedHere;
    this.leader = leader;
    this.heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
    this.pollTimeoutS = heartbeatIntervalS / 6;
    this.maxStoreFailureS = heartbeatIntervalS / 6;
    this.maxReadWaitS = heartbeatIntervalS / 12;
    this.rateLimiter = new PollRateLimiter(context.clock(), context.timers(), context.settings());
  }

  /** The state of a job: 200, 404 if it was never accepted, or 503. */
  Future<HttpResponse> poll(String ref) {
    if (!JobCodec.isRef(ref)) {
      return answer(HttpResponse.error(NOT_FOUND, "no such job"));
    }
    JobAnswers.Question question = answers.asked(JobAnswers.Kind.POLL, ref);
    HttpResponse known = completedJobs.status(ref);
    if (known != null) {
      return answer(question.answer(JobAnswers.Source.CACHE, known));
    }
    if (!rateLimiter.admit(ref)) {
      return answer(HttpResponse.later("too many polls"));
    }
    return status(question, ref)
        .onSuccess(
            response -> {
              if (response.status() != UNAVAILABLE) {
                rateLimiter.recordAnswer(ref);
              }
            });
  }

  private Future<HttpResponse> status(JobAnswers.Question question, String ref) {
    return leader
        .request(Frame.ForwardedRequest.Kind.POLL, ref, pollTimeoutS)
        .compose(
            response ->
                response.status() == UNAVAILABLE
                    ? statusFromStore(ref)
                        .map(stored -> question.answer(JobAnswers.Source.STORE, stored))
                    : answer(question.answer(JobAnswers.Source.LEADER, response)));
  }

  /** What the store holds, if it answers in time: users wait two seconds at most. */
  private Future<HttpResponse> statusFromStore(String ref) {
    if (!incarnations.answerPolicy().mayTellEnds()) {
      return answer(contentsUnknown());
    }
    if (context.store().failingForS() > maxStoreFailureS) {
      return answer(HttpResponse.later("the state service does not answer"));
    }
    if (context.store().readWaitS() > maxReadWaitS) {
      // A read that is queued for so long is answered after its user has gone, as are the next.
      return answer(HttpResponse.later("more is asked than the state service takes"));
    }
    boolean acceptedBefore = acceptedHere.test(ref);
    return persistedStatus.of(ref).compose(response -> verify(ref, response, acceptedBefore));
  }

  /**
   * An end that the store holds is told as it is. Anything else may have been overtaken by what a
   * store that was put back has lost.
   */
  private Future<HttpResponse> verify(String ref, HttpResponse response, boolean acceptedBefore) {
    if (completedJobs.status(ref) != null) {
      return answer(response);
    }
    HttpResponse verified =
        response.status() == NOT_FOUND ? verifyAbsence(ref, response, acceptedBefore) : response;
    return verified.status() == UNAVAILABLE
        ? answer(verified)
        : incarnations
            .answerPolicy()
            .mayTellUnended()
            .map(proven -> proven ? verified : contentsUnknown());
  }

  /** Cancels a job: the leader's answer, or 503. */
  Future<HttpResponse> abort(String ref) {
    if (!JobCodec.isRef(ref)) {
      return answer(HttpResponse.error(NOT_FOUND, "no such job"));
    }
    JobAnswers.Question question = answers.asked(JobAnswers.Kind.ABORT, ref);
    HttpResponse known = completedJobs.brief(ref);
    return known != null
        ? answer(question.answer(JobAnswers.Source.CACHE, known))
        : leader
            .request(Frame.ForwardedRequest.Kind.ABORT, ref, heartbeatIntervalS)
            .map(response -> question.answer(JobAnswers.Source.LEADER, response));
  }

  /**
   * A job that was accepted here is not answered as unknown: that the store lacks it shows that
   * data is lost. One that was accepted while the read was under way shows nothing: taking such a
   * read for a loss would have an older snapshot restored.
   */
  private HttpResponse verifyAbsence(String ref, HttpResponse notFound, boolean acceptedBefore) {
    if (!acceptedHere.test(ref)) {
      return incarnations.answerPolicy().mayDenyJobs() ? notFound : contentsUnknown();
    }
    if (acceptedBefore) {
      incarnations.lossSigns().acceptedJobMissing(ref);
    }
    return contentsUnknown();
  }

  private static HttpResponse contentsUnknown() {
    return HttpResponse.later("what the state service holds is not known yet");
  }

  private static Future<HttpResponse> answer(HttpResponse response) {
    return Future.succeededFuture(response);
  }
}
