package io.embernotch.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Job;
import io.embernotch.model.JobPhase;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.Transaction;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes submissions: any controller writes {@code job/REF} if it is absent. One that the store does
 * not answer passes the submission on to another; both may write, and the key is created once.
 * Nobody is kept waiting for a store that is away.
 *
 * <p>More submissions than the store takes changes are refused at once, with the time to come back.
 * When they were queued instead, their users gave up and came again, and the copies in the queue
 * left no change for starts.
 */
public final class SubmissionHandler {
  private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);

  /** What a submission needs of its controller. */
  public interface Host {
    /** The job is in the store, by our own hand. */
    void submissionAccepted(Job job, ObjectNode value, long epoch);

    /** What the store holds is known to be ours, so that what it lacks was not accepted. */
    boolean storeIsIntact();

    /** The name of the present incarnation. */
    String incarnationName();

    /** What the present incarnation began with. */
    BaseSnapshot base();

    /** The present state of a job: 200, 404 if it was never accepted, or 503. */
    Future<HttpResponse> poll(String ref);

    /** The answer of another controller that the store serves; null if there is none. */
    Future<HttpResponse> submitElsewhere(byte[] body, double withinS);
  }

  private final ControllerContext context;
  private final Map<String, MachineType> types;
  private final int shardSize;
  private final Host host;
  private final DependencyValidator awaited;

  /**
   * Descriptions that this node has lately written: a leader that knew nothing of them yet may lose
   * them.
   */
  private final Map<String, byte[]> accepted;

  /** After this time without an answer of the store, another controller is asked. */
  private final double hedgeS;

  /** After this time the user is told to come back. */
  private final double patienceS;

  public SubmissionHandler(
      ControllerContext context, Map<String, MachineType> types, int shardSize, Host host) {
    this.context = context;
    this.types = types;
    this.shardSize = shardSize;
    this.host = host;
    this.awaited = new DependencyValidator(context, host::base);
    this.accepted =
        new LeastRecentlyUsed<>(
            (int)
                Math.ceil(
                    context.settings().minStoreLimits().writeRps()
                        * context.settings().workers().leaseS()));
    this.hedgeS = context.settings().workers().heartbeatIntervalS() / 20;
    this.patienceS = context.settings().workers().heartbeatIntervalS() / 3;
  }

  /** A user's own submission. */
  public Future<HttpResponse> submit(byte[] body) {
    return take(body, true);
  }

  /** One that another controller was given; it is not passed on any further. */
  public Future<HttpResponse> handleForwarded(byte[] body) {
    return take(body, false);
  }

  private int handedOn;
  private final Map<String, Taking> underWay = new HashMap<>();

  private Future<HttpResponse> take(byte[] body, boolean mayPassOn) {
    ObjectNode o;
    try {
      o = Json.parseObject(body);
    } catch (MalformedInputException e) {
      return Future.succeededFuture(HttpResponse.error(400, e.getMessage()));
    }
    JobSpec spec;
    try {
      spec = JobCodec.read(o);
    } catch (MalformedInputException e) {
      return refuse(o.path("ref").asText(), HttpResponse.error(400, e.getMessage()));
    }
    if (types.isEmpty()) {
      return Future.succeededFuture(HttpResponse.later("machine types are not known yet"));
    }
    String never = AdmissionControl.neverRuns(spec, context.settings().teams(), types.values());
    if (never != null) {
      return refuse(spec.ref(), HttpResponse.error(422, never));
    }
    Taking before = underWay.get(spec.ref());
    if (before != null) {
      // One submission creates the job; a repeat that joins it is told of a job that is known.
      return before.reply.future().map(a -> a.status() == 201 ? HttpResponse.of(200, a.body()) : a);
    }
    if (!host.storeIsIntact()) {
      HttpResponse refusal = HttpResponse.later("what the state service holds is not known yet");
      return mayPassOn ? handOn(body, refusal) : Future.succeededFuture(refusal);
    }
    if (host.base().has(spec.ref())) {
      // Its key may be gone; written anew it would be a job that has done nothing.
      return host.poll(spec.ref());
    }
    double waitS = context.store().writeWaitS();
    if (waitS > patienceS / 2) {
      HttpResponse refusal =
          HttpResponse.later(
              "more is submitted than the state service takes", (int) Math.ceil(waitS));
      return mayPassOn ? handOn(body, refusal) : Future.succeededFuture(refusal);
    }
    Job job = new Job(spec, context.clock().wallMs());
    ObjectNode value = JobProgressCodec.writeJob(job, shardSize);
    if (Json.bytes(value).length > context.settings().minStoreLimits().valueKb() * 1024) {
      return refuse(spec.ref(), HttpResponse.error(400, "description too long"));
    }
    Taking taking = new Taking(job, value, body, mayPassOn);
    underWay.put(spec.ref(), taking);
    taking.reply.future().onComplete(r -> underWay.remove(spec.ref(), taking));
    return taking.go();
  }

  /** The job was lately accepted here, or seen in the store. */
  public boolean knows(String ref) {
    return accepted.containsKey(ref) || awaited.knows(ref);
  }

  /** A new incarnation has begun: what was accepted here and is not in it is written once more. */
  public void storeIncarnationChanged() {
    for (Map.Entry<String, byte[]> e : accepted.entrySet()) {
      if (!host.base().has(e.getKey())) {
        again(
            e.getKey(),
            Json.parseObject(e.getValue()).put(JobProgressCodec.REWRITTEN_AFTER_LOSS, true));
      }
    }
  }

  private void again(String ref, ObjectNode value) {
    String key = JobProgressCodec.JOB + ref;
    String name = host.incarnationName();
    context
        .store()
        .requestWriteSlot(
            1,
            RequestPriority.NORMAL,
            () ->
                context
                    .store()
                    .commitInWriteSlot(
                        new Transaction().when(key, 0).write(key, value), RequestPriority.NORMAL)
                    .onSuccess(
                        result -> {
                          if (result.applied()) {
                            LOG.info(
                                "job {} was accepted shortly before the loss, and is written again",
                                ref);
                            host.submissionAccepted(
                                JobProgressCodec.readJob(value), value, result.revision());
                          }
                        })
                    .onFailure(
                        e ->
                            context
                                .timers()
                                .after(
                                    patienceS,
                                    () -> {
                                      if (host.incarnationName().equals(name)) {
                                        again(ref, value);
                                      }
                                    })));
  }

  /**
   * Another controller may have changes to spare while a leader's go to starts; it is given a few
   * submissions at a time. A flood is still refused at once.
   */
  private Future<HttpResponse> handOn(byte[] body, HttpResponse refusal) {
    Future<HttpResponse> other =
        handedOn < context.settings().minStoreLimits().writeRps() / 4
            ? host.submitElsewhere(body, patienceS)
            : null;
    if (other == null) {
      return Future.succeededFuture(refusal);
    }
    handedOn++;
    return other.map(a -> a.status() == 503 ? refusal : a).onComplete(r -> handedOn--);
  }

  /**
   * Turns a submission down for good, unless the job was accepted before: it may have been under
   * other limits, and its user is to get its state, whatever would be said of it now.
   */
  private Future<HttpResponse> refuse(String ref, HttpResponse refusal) {
    if (!JobCodec.isRef(ref)) {
      return Future.succeededFuture(refusal);
    }
    return host.poll(ref).map(known -> known.status() == 404 ? refusal : known);
  }

  /**
   * One submission under way; the first good answer, from the store or another node, is the user's.
   */
  private final class Taking {
    private final Job job;
    private final ObjectNode value;
    private final byte[] body;
    private final boolean mayPassOn;
    private final Promise<HttpResponse> reply = Promise.promise();
    private boolean ownFailed;
    private boolean passedOn;
    private boolean passFailed;

    Taking(Job job, ObjectNode value, byte[] body, boolean mayPassOn) {
      this.job = job;
      this.value = value;
      this.body = body;
      this.mayPassOn = mayPassOn;
    }

    Future<HttpResponse> go() {
      context
          .timers()
          .after(
              patienceS,
              () -> reply.tryComplete(HttpResponse.later("the state service does not answer")));
      if (context.store().failingForS() > 0 || context.store().writeWaitS() > hedgeS) {
        // Another has changes to spare while ours wait behind starts.
        passOn();
      }
      if (job.spec.dependencies().isEmpty()) {
        context.store().requestWriteSlot(1, RequestPriority.NORMAL, this::write);
        return reply.future();
      }
      context.timers().after(hedgeS, this::passOn);
      awaited
          .neverRuns(job.spec)
          .onSuccess(
              why -> {
                if (why == null) {
                  context.store().requestWriteSlot(1, RequestPriority.NORMAL, this::write);
                } else {
                  refuse(job.spec.ref(), HttpResponse.error(422, why))
                      .onSuccess(reply::tryComplete);
                }
              })
          .onFailure(e -> failed());
      return reply.future();
    }

    private void failed() {
      ownFailed = true;
      passOn();
      settle();
    }

    private void write() {
      if (reply.future().isComplete()) {
        context.store().releaseWriteSlot(1, 0);
        return;
      }
      context.timers().after(hedgeS, this::passOn);
      String key = JobProgressCodec.JOB + job.spec.ref();
      context
          .store()
          .commitInWriteSlot(
              new Transaction().when(key, 0).write(key, value), RequestPriority.NORMAL)
          .onSuccess(
              result -> {
                if (result.applied()) {
                  awaited.accepted(job.spec);
                  accepted.put(job.spec.ref(), Json.bytes(value));
                  host.submissionAccepted(job, value, result.revision());
                  reply.tryComplete(
                      HttpResponse.of(201, JobCodec.brief(job.spec.ref(), JobPhase.QUEUED)));
                } else {
                  host.poll(job.spec.ref())
                      .map(a -> a.status() == 404 ? HttpResponse.later("not accepted yet") : a)
                      .onSuccess(reply::tryComplete);
                }
              })
          .onFailure(e -> failed());
    }

    private void passOn() {
      if (!mayPassOn || passedOn || reply.future().isComplete()) {
        return;
      }
      Future<HttpResponse> other = host.submitElsewhere(body, patienceS);
      if (other == null) {
        return;
      }
      passedOn = true;
      other.onSuccess(
          a -> {
            // What is refused for good was looked up in the store there.
            if (a.status() < 300 || a.status() == 422) {
              reply.tryComplete(a);
            } else {
              passFailed = true;
              settle();
            }
          });
    }

    private void settle() {
      if (ownFailed && (passFailed || !passedOn)) {
        reply.tryComplete(HttpResponse.later("the state service does not take it"));
      }
    }
  }
}
