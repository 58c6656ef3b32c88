package io.embernotch.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Job;
import io.embernotch.model.JobSpec;
import io.embernotch.model.MachineType;
import io.embernotch.snapshot.BaseSnapshot;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Accepts submissions: any controller writes {@code job/REF} if it is absent. One that gets no
 * answer from the store forwards the submission to another; both may write, and the key is created
 * once. No user is kept waiting for a store that is unavailable.
 *
 * <p>Submissions beyond the rate at which the store takes changes are refused at once, with the
 * time to come back. If they were queued instead, their users would give up and submit again, and
 * the copies in the queue would leave no capacity for the writes that starts need.
 *
 * <p>Owned by the controller's event loop.
 */
public final class SubmissionHandler {
  private static final int BYTES_PER_KIB = 1024;
  private static final int UNAVAILABLE = 503;
  private static final int FIRST_ERROR = 400;

  /** The hedge delay is a heartbeat interval divided by this. */
  private static final int HEDGE_DELAYS_PER_HEARTBEAT = 20;

  /** The patience with the store is a heartbeat interval divided by this. */
  private static final int PATIENCES_PER_HEARTBEAT = 3;

  /** A submission whose write would wait for more than this share of the patience is refused. */
  private static final double MAX_WAIT_SHARE = 0.5;

  /** One refused submission may be forwarded for so many writes per second of the store. */
  private static final int WRITE_RATE_PER_FORWARD = 4;

  /** What a submission needs of its controller. */
  public interface Host {
    /** The job is in the store, written by this controller at the given revision. */
    void submissionAccepted(Job job, ObjectNode value, long revision);

    /** Whether the store is known to have lost nothing, so that what it lacks was not accepted. */
    boolean storeIsIntact();

    /** Whether a job that the store does not hold was never accepted; false after some losses. */
    boolean mayAnswerNotFound();

    /** The name of the present store incarnation. */
    String incarnationName();

    /** What the present store incarnation began with. */
    BaseSnapshot baseSnapshot();

    /** The present status of a job: 200, 404 if it was never accepted, or 503. */
    Future<HttpResponse> poll(String ref);

    /**
     * The response of another controller whose store requests are answered, within {@code withinS}
     * seconds; null if there is none.
     */
    Future<HttpResponse> submitElsewhere(byte[] body, double withinS);
  }

  private final ControllerContext context;
  private final Map<String, MachineType> types;
  private final int shardSize;
  private final Host host;
  private final JobAnswers answers;
  private final SubmissionServices services;

  /** By id of their jobs. */
  private final Map<String, PendingSubmission> pending = new HashMap<>();

  /** Submissions that were forwarded for lack of write capacity and are not answered yet. */
  private int forwardedForCapacity;

  /**
   * @param types the machine types by name; empty until they are known
   * @param shardSize tasks per progress shard of new jobs
   */
  public SubmissionHandler(
      ControllerContext context,
      Map<String, MachineType> types,
      int shardSize,
      Host host,
      JobAnswers answers) {
    this.context = context;
    this.types = types;
    this.shardSize = shardSize;
    this.host = host;
    this.answers = answers;
    double hedgeS = context.settings().workers().heartbeatIntervalS() / HEDGE_DELAYS_PER_HEARTBEAT;
    double patienceS = context.settings().workers().heartbeatIntervalS() / PATIENCES_PER_HEARTBEAT;
    SubmissionWriter writer = new SubmissionWriter(context.store());
    this.services =
        new SubmissionServices(
            context,
            host,
            writer,
            new DependencyValidator(context, host::baseSnapshot, host::mayAnswerNotFound),
            new RecentSubmissions(context, host, writer, patienceS),
            hedgeS,
            patienceS);
  }

  /** Takes a user's own submission. */
  public Future<HttpResponse> submit(byte[] body) {
    return handle(body, JobAnswers.Kind.SUBMISSION);
  }

  /** Takes a submission that another controller forwarded; it is not forwarded any further. */
  public Future<HttpResponse> handleForwarded(byte[] body) {
    return handle(body, JobAnswers.Kind.FORWARDED_SUBMISSION);
  }

  private Future<HttpResponse> handle(byte[] body, JobAnswers.Kind kind) {
    ObjectNode request;
    try {
      request = Json.parseObject(body);
    } catch (MalformedInputException e) {
      return Future.succeededFuture(HttpResponse.error(400, e.getMessage()));
    }
    JobAnswers.JobQuery question = answers.startQuery(kind, JobCodec.refOf(request));
    return handle(request, body, kind == JobAnswers.Kind.SUBMISSION)
        .map(response -> question.answer(JobAnswers.Source.SUBMISSION, response));
  }

  private Future<HttpResponse> handle(ObjectNode request, byte[] body, boolean mayForward) {
    JobSpec spec;
    try {
      spec = JobCodec.read(request);
    } catch (MalformedInputException e) {
      return services.rejectUnlessAccepted(
          JobCodec.refOf(request), HttpResponse.error(400, e.getMessage()));
    }
    if (types.isEmpty()) {
      return Future.succeededFuture(HttpResponse.unavailable("machine types are not known yet"));
    }
    Optional<String> rejectionReason =
        AdmissionControl.rejectionReason(spec, context.settings().teams(), types.values());
    if (rejectionReason.isPresent()) {
      return services.rejectUnlessAccepted(
          spec.ref(), HttpResponse.error(422, rejectionReason.get()));
    }
    PendingSubmission earlier = pending.get(spec.ref());
    return earlier != null ? join(earlier, spec.ref()) : admit(spec, body, mayForward);
  }

  /**
   * One submission creates the job; a repeat waits for it, and gets the status as of a question of
   * its own. What the earlier one is answered may have been decided before the repeat was sent, and
   * the job may have ended since.
   */
  private Future<HttpResponse> join(PendingSubmission earlier, String ref) {
    return earlier
        .response()
        .compose(
            response -> {
              if (response.status() == UNAVAILABLE) {
                return Future.succeededFuture(response);
              }
              return response.status() < FIRST_ERROR
                  ? services.statusOfAccepted(ref)
                  : services.rejectUnlessAccepted(ref, response);
            });
  }

  private Future<HttpResponse> admit(JobSpec spec, byte[] body, boolean mayForward) {
    if (!host.storeIsIntact()) {
      return refuse(
          body,
          mayForward,
          HttpResponse.unavailable("what the state service holds is not known yet"));
    }
    if (host.baseSnapshot().containsJob(spec.ref())) {
      // Its key may be gone; written anew it would be a job that has done nothing.
      return host.poll(spec.ref());
    }
    double waitS = context.store().writeWaitS();
    if (waitS > services.patienceS() * MAX_WAIT_SHARE) {
      return refuse(
          body,
          mayForward,
          HttpResponse.unavailable(
              "more is submitted than the state service takes", (int) Math.ceil(waitS)));
    }
    Job job = new Job(spec, context.clock().wallMs());
    ObjectNode value = JobProgressCodec.writeJob(job, shardSize);
    if (Json.bytes(value).length > maxValueBytes()) {
      return services.rejectUnlessAccepted(
          spec.ref(), HttpResponse.error(400, "description too long"));
    }
    return start(new Submission(job, value, body, mayForward));
  }

  private double maxValueBytes() {
    return context.settings().minStoreLimits().valueKb() * BYTES_PER_KIB;
  }

  private Future<HttpResponse> start(Submission submission) {
    PendingSubmission started = new PendingSubmission(services, submission);
    pending.put(submission.ref(), started);
    started.response().onComplete(done -> pending.remove(submission.ref(), started));
    started.start();
    return started.response();
  }

  /** Whether the job was lately accepted here, or seen in the store. */
  public boolean knows(String ref) {
    return services.recent().contains(ref) || services.dependencies().knows(ref);
  }

  /** A new incarnation has begun: what was accepted here and is not in it is written once more. */
  public void storeIncarnationChanged() {
    services.recent().restoreLost();
  }

  /**
   * Another controller may have write capacity left while a leader's goes to starts; it is given a
   * few submissions at a time. A flood is still refused at once.
   */
  private Future<HttpResponse> refuse(byte[] body, boolean mayForward, HttpResponse refusal) {
    boolean forward =
        mayForward
            && forwardedForCapacity
                < context.settings().minStoreLimits().writeRps() / WRITE_RATE_PER_FORWARD;
    Future<HttpResponse> other = forward ? host.submitElsewhere(body, services.patienceS()) : null;
    if (other == null) {
      return Future.succeededFuture(refusal);
    }
    forwardedForCapacity++;
    return other
        .map(response -> response.status() == UNAVAILABLE ? refusal : response)
        .onComplete(done -> forwardedForCapacity--);
  }
}
