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
 * Answers users' polls and cancellations of jobs on any controller. Final phases that this
 * controller has cached are returned directly; other requests go to the leader. While no leader
 * answers, polls are answered from the store.
 */
final class JobQueries {
  /** Sends requests to the leader, in this process or on another node. */
  interface LeaderRequests {
    /**
     * Sends a request to the leader.
     *
     * @param ref id of the job
     * @param timeoutS seconds to wait for an answer from another node
     * @return the leader's answer, or 503 if there is none in time
     */
    Future<HttpResponse> request(Frame.ForwardedRequest.Kind kind, String ref, double timeoutS);
  }

  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final ControllerContext context;
  private final JobAnswers answers;
  private final CompletedJobCache completedJobs;
  private final StoreIncarnationTracker incarnations;
  private final PersistedStatus persistedStatus;
  private final Predicate<String> acceptedLocally;
  private final LeaderRequests leaderRequests;
  private final double heartbeatIntervalS;

  /** Seconds to wait for the leader's answer to a poll. */
  private final double pollTimeoutS;

  /** The store is not read once its requests have failed for more than this many seconds. */
  private final double maxStoreFailureS;

  /** The store is not read while a read would be queued for more than this many seconds. */
  private final double maxReadWaitS;

  /**
   * Refuses excess polls before they reach other nodes or the store, and before they delay the
   * heartbeats of agents.
   */
  private final PollRateLimiter rateLimiter;

  /**
   * @param acceptedLocally tests whether this process has accepted the job with the given id
   */
  JobQueries(
      ControllerContext context,
      JobAnswers answers,
      CompletedJobCache completedJobs,
      StoreIncarnationTracker incarnations,
      Predicate<String> acceptedLocally,
      LeaderRequests leaderRequests) {
    this.context = context;
    this.answers = answers;
    this.completedJobs = completedJobs;
    this.incarnations = incarnations;
    this.persistedStatus = new PersistedStatus(context, completedJobs, incarnations::baseSnapshot);
    this.acceptedLocally = acceptedLocally;
    this.leaderRequests = leaderRequests;
    this.heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
    this.pollTimeoutS = heartbeatIntervalS / 6;
    this.maxStoreFailureS = heartbeatIntervalS / 6;
    this.maxReadWaitS = heartbeatIntervalS / 12;
    this.rateLimiter = new PollRateLimiter(context.clock(), context.timers(), context.settings());
  }

  /**
   * Returns the status of a job: 200, 404 if the job was never accepted, or 503 if that cannot be
   * determined now or too many polls arrive.
   */
  Future<HttpResponse> poll(String ref) {
    if (!JobCodec.isRef(ref)) {
      return futureOf(HttpResponse.error(NOT_FOUND, "no such job"));
    }
    JobAnswers.JobQuery question = answers.startQuery(JobAnswers.Kind.POLL, ref);
    HttpResponse cached = completedJobs.status(ref);
    if (cached != null) {
      return futureOf(question.answer(JobAnswers.Source.CACHE, cached));
    }
    if (!rateLimiter.admit(ref)) {
      return futureOf(HttpResponse.unavailable("too many polls"));
    }
    return statusFromLeaderOrStore(question, ref)
        .onSuccess(
            response -> {
              if (response.status() != UNAVAILABLE) {
                rateLimiter.recordAnswer(ref);
              }
            });
  }

  private Future<HttpResponse> statusFromLeaderOrStore(JobAnswers.JobQuery question, String ref) {
    return leaderRequests
        .request(Frame.ForwardedRequest.Kind.POLL, ref, pollTimeoutS)
        .compose(
            response ->
                response.status() == UNAVAILABLE
                    ? statusFromStore(ref)
                        .map(stored -> question.answer(JobAnswers.Source.STORE, stored))
                    : futureOf(question.answer(JobAnswers.Source.LEADER, response)));
  }

  /**
   * Returns the status that the store holds, or 503 if the store is failing or overloaded: users
   * wait for two seconds at most.
   */
  private Future<HttpResponse> statusFromStore(String ref) {
    if (!incarnations.answerPolicy().mayReportEndedJobs()) {
      return futureOf(storeContentsUnknown());
    }
    if (context.store().failingForS() > maxStoreFailureS) {
      return futureOf(HttpResponse.unavailable("the state service does not answer"));
    }
    if (context.store().readWaitS() > maxReadWaitS) {
      // The user would time out before a read that is queued for this long is answered, and so
      // would the users of the reads queued behind it.
      return futureOf(HttpResponse.unavailable("more is asked than the state service takes"));
    }
    boolean acceptedBefore = acceptedLocally.test(ref);
    return persistedStatus.of(ref).compose(response -> verifyStatus(ref, response, acceptedBefore));
  }

  /**
   * Returns a final phase as stored, since it never changes. Any other status may be outdated if
   * the store was rolled back, so it is returned only once a rollback has been ruled out; else 503.
   *
   * @param acceptedBefore whether this process had accepted the job before the read began
   */
  private Future<HttpResponse> verifyStatus(
      String ref, HttpResponse response, boolean acceptedBefore) {
    if (completedJobs.status(ref) != null) {
      return futureOf(response);
    }
    HttpResponse verified =
        response.status() == NOT_FOUND ? verifyAbsence(ref, response, acceptedBefore) : response;
    return verified.status() == UNAVAILABLE
        ? futureOf(verified)
        : incarnations
            .answerPolicy()
            .mayReportUnendedJobs()
            .map(proven -> proven ? verified : storeContentsUnknown());
  }

  /**
   * Cancels a job. Returns the cached final phase if there is one, else the leader's answer, or 503
   * if there is none in time.
   */
  Future<HttpResponse> abort(String ref) {
    if (!JobCodec.isRef(ref)) {
      return futureOf(HttpResponse.error(NOT_FOUND, "no such job"));
    }
    JobAnswers.JobQuery question = answers.startQuery(JobAnswers.Kind.ABORT, ref);
    HttpResponse cached = completedJobs.brief(ref);
    return cached != null
        ? futureOf(question.answer(JobAnswers.Source.CACHE, cached))
        : leaderRequests
            .request(Frame.ForwardedRequest.Kind.ABORT, ref, heartbeatIntervalS)
            .map(response -> question.answer(JobAnswers.Source.LEADER, response));
  }

  /**
   * Checks the store's answer that a job does not exist. A job that this process has accepted is
   * never answered with 404. If it was accepted before the read began, its absence proves a loss of
   * data, which is reported. If it was accepted during the read, its absence proves nothing, and
   * reporting a loss would restore an older snapshot.
   */
  private HttpResponse verifyAbsence(String ref, HttpResponse notFound, boolean acceptedBefore) {
    if (!acceptedLocally.test(ref)) {
      return incarnations.answerPolicy().mayAnswerNotFound() ? notFound : storeContentsUnknown();
    }
    if (acceptedBefore) {
      incarnations.dataLossIndicators().acceptedJobMissing(ref);
    }
    return storeContentsUnknown();
  }

  private static HttpResponse storeContentsUnknown() {
    return HttpResponse.unavailable("what the state service holds is not known yet");
  }

  private static Future<HttpResponse> futureOf(HttpResponse response) {
    return Future.succeededFuture(response);
  }
}
