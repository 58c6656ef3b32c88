package io.embernotch.controller;

import io.embernotch.codec.JobCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.http.HttpResponse;
import io.embernotch.peer.Frame;
import io.embernotch.api.CompletedJobCache;
import io.embernotch.api.PollRateLimiter;
import io.embernotch.api.PersistedStatus;
import io.vertx.core.Future;
import java.util.function.Predicate;

/**
 * What users ask of a job at any controller: an end that is known is told at once, the leader is
 * asked else, and the store while there is none.
 */
final class JobQueries {
  /**
   * Passes a question on to the leader, wherever it is; 503 if there is none to be had in time.
   */
  interface ToLeader {
    Future<HttpResponse> ask(Frame.ForwardedRequest.Kind what, String ref, double withinS);
  }

  private final ControllerContext env;
  private final CompletedJobCache ended;
  private final StoreIncarnationTracker eras;
  private final PersistedStatus stored;
  private final Predicate<String> accepted;
  private final ToLeader leader;

  /** A flood of polls costs other nodes and the state service nothing, and workers little. */
  private final PollRateLimiter turns;

  JobQueries(ControllerContext env, CompletedJobCache ended, StoreIncarnationTracker eras, Predicate<String> accepted, ToLeader leader) {
    this.env = env;
    this.ended = ended;
    this.eras = eras;
    this.stored = new PersistedStatus(env, ended, eras::base);
    this.accepted = accepted;
    this.leader = leader;
    this.turns = new PollRateLimiter(env.clock(), env.timers(), env.settings());
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
        .ask(Frame.ForwardedRequest.Kind.POLL, ref, env.settings().workers().reportS() / 6)
        .compose(a -> a.status() == 503 ? readStatus(ref) : answer(a));
  }

  /** What the state service tells, if it does so in time: users wait two seconds at most. */
  private Future<HttpResponse> readStatus(String ref) {
    if (!eras.tells()) {
      return answer(HttpResponse.later("what the state service holds is not known yet"));
    }
    if (env.store().failingForS() > env.settings().workers().reportS() / 6) {
      return answer(HttpResponse.later("the state service does not answer"));
    }
    if (env.store().readWaitS() > env.settings().workers().reportS() / 12) {
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
        : leader.ask(Frame.ForwardedRequest.Kind.ABORT, ref, env.settings().workers().reportS());
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
      eras.missing(ref);
    }
    return HttpResponse.later("what the state service holds is not known yet");
  }

  private static Future<HttpResponse> answer(HttpResponse a) {
    return Future.succeededFuture(a);
  }
}
