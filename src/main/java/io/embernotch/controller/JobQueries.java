package io.embernotch.controller;

import io.embernotch.api.CompletedJobCache;
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
 * What users ask of a job at any controller: an end that is known is told at once, the leader is
 * asked else, and the store while there is none.
 */
final class JobQueries {
  /** Passes a question on to the leader, wherever it is; 503 if there is none to be had in time. */
  interface ToLeader {
    Future<HttpResponse> ask(Frame.ForwardedRequest.Kind what, String ref, double withinS);
  }

  private final ControllerContext context;
  private final CompletedJobCache ended;
  private final StoreIncarnationTracker incarnations;
  private final PersistedStatus stored;
  private final Predicate<String> accepted;
  private final ToLeader leader;

  /** A flood of polls costs other nodes and the store nothing, and workers little. */
  private final PollRateLimiter turns;

  JobQueries(
      ControllerContext context,
      CompletedJobCache ended,
      StoreIncarnationTracker incarnations,
      Predicate<String> accepted,
      ToLeader leader) {
    this.context = context;
    this.ended = ended;
    this.incarnations = incarnations;
    this.stored = new PersistedStatus(context, ended, incarnations::base);
    this.accepted = accepted;
    this.leader = leader;
    this.turns = new PollRateLimiter(context.clock(), context.timers(), context.settings());
  }

  public Future<HttpResponse> poll(String ref) {
    if (!JobCodec.isRef(ref)) {
      return answer(HttpResponse.error(404, "no such job"));
    }
    HttpResponse known = ended.status(ref);
    if (known != null) {
      return answer(known);
    }
    if (!turns.admit(ref)) {
      return answer(HttpResponse.later("too many polls"));
    }
    return status(ref)
        .onSuccess(
            a -> {
              if (a.status() != 503) {
                turns.told(ref);
              }
            });
  }

  private Future<HttpResponse> status(String ref) {
    return leader
        .ask(
            Frame.ForwardedRequest.Kind.POLL,
            ref,
            context.settings().workers().heartbeatIntervalS() / 6)
        .compose(a -> a.status() == 503 ? readStatus(ref) : answer(a));
  }

  /** What the store tells, if it does so in time: users wait two seconds at most. */
  private Future<HttpResponse> readStatus(String ref) {
    if (!incarnations.mayAnswerFromStore()) {
      return answer(HttpResponse.later("what the state service holds is not known yet"));
    }
    if (context.store().failingForS() > context.settings().workers().heartbeatIntervalS() / 6) {
      return answer(HttpResponse.later("the state service does not answer"));
    }
    if (context.store().readWaitS() > context.settings().workers().heartbeatIntervalS() / 12) {
      // A read that waits for its turn is answered after its user has gone, and the next ones too.
      return answer(HttpResponse.later("more is asked than the state service takes"));
    }
    boolean acceptedBefore = accepted.test(ref);
    return stored.of(ref).map(a -> a.status() == 404 ? denied(ref, a, acceptedBefore) : a);
  }

  public Future<HttpResponse> abort(String ref) {
    if (!JobCodec.isRef(ref)) {
      return answer(HttpResponse.error(404, "no such job"));
    }
    HttpResponse known = ended.brief(ref);
    return known != null
        ? answer(known)
        : leader.ask(
            Frame.ForwardedRequest.Kind.ABORT,
            ref,
            context.settings().workers().heartbeatIntervalS());
  }

  /**
   * A job that was accepted here is not denied: that it is not there shows that data is lost. One
   * that was accepted while the read was under way shows nothing: such a read was once taken for a
   * loss, and an older copy restored.
   */
  private HttpResponse denied(String ref, HttpResponse a, boolean acceptedBefore) {
    if (!accepted.test(ref)) {
      return a;
    }
    if (acceptedBefore) {
      incarnations.acceptedJobMissing(ref);
    }
    return HttpResponse.later("what the state service holds is not known yet");
  }

  private static Future<HttpResponse> answer(HttpResponse a) {
    return Future.succeededFuture(a);
  }
}
