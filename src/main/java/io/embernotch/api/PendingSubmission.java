package io.embernotch.api;

import io.embernotch.codec.JobCodec;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.JobPhase;
import io.embernotch.store.StoreClient;
import io.embernotch.store.TransactionResult;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;

/**
 * A submission under way. It is written to the store and, if that takes long, forwarded to another
 * controller as well; both may write, since the key is created once. The first good response of the
 * two is the user's. Owned by the controller's event loop.
 */
final class PendingSubmission {
  private final SubmissionServices services;
  private final Submission submission;
  private final Promise<HttpResponse> reply = Promise.promise();
  private boolean writeFailed;
  private boolean forwarded;
  private boolean forwardFailed;

  PendingSubmission(SubmissionServices services, Submission submission) {
    this.services = services;
    this.submission = submission;
  }

  /** The response to the user; it is completed in any case, at the latest after the patience. */
  Future<HttpResponse> response() {
    return reply.future();
  }

  /** Begins; to be called once. */
  void start() {
    after(
        services.patienceS(),
        () -> reply.tryComplete(HttpResponse.unavailable("the state service does not answer")));
    StoreClient store = services.context().store();
    if (store.failingForS() > 0 || store.writeWaitS() > services.hedgeS()) {
      // Another controller may have write capacity left while writes here wait behind starts.
      forward();
    }
    if (submission.job().spec.dependencies().isEmpty()) {
      services.writer().requestSlot(this::write);
      return;
    }
    after(services.hedgeS(), this::forward);
    services
        .dependencies()
        .rejectionReason(submission.job().spec)
        .onSuccess(this::dependenciesChecked)
        .onFailure(e -> writeFailed());
  }

  private void dependenciesChecked(Optional<String> rejectionReason) {
    if (rejectionReason.isEmpty()) {
      services.writer().requestSlot(this::write);
      return;
    }
    services
        .rejectUnlessAccepted(submission.ref(), HttpResponse.error(422, rejectionReason.get()))
        .onSuccess(reply::tryComplete);
  }

  private void write() {
    if (reply.future().isComplete()) {
      services.writer().releaseSlot();
      return;
    }
    after(services.hedgeS(), this::forward);
    services
        .writer()
        .create(submission.ref(), submission.value())
        .onSuccess(this::written)
        .onFailure(e -> writeFailed());
  }

  private void written(TransactionResult result) {
    String ref = submission.ref();
    if (result.applied()) {
      services.dependencies().accepted(submission.job().spec);
      services.recent().add(ref, submission.value());
      services.host().submissionAccepted(submission.job(), submission.value(), result.revision());
      reply.tryComplete(HttpResponse.of(201, JobCodec.phaseResponse(ref, JobPhase.QUEUED)));
      return;
    }
    services.statusOfAccepted(ref).onSuccess(reply::tryComplete);
  }

  private void writeFailed() {
    writeFailed = true;
    forward();
    replyIfBothFailed();
  }

  /** Sends the submission to another controller, once, unless it is answered already. */
  private void forward() {
    if (!submission.mayForward() || forwarded || reply.future().isComplete()) {
      return;
    }
    Future<HttpResponse> other =
        services.host().submitElsewhere(submission.body(), services.patienceS());
    if (other == null) {
      return;
    }
    forwarded = true;
    other.onSuccess(this::forwardAnswered);
  }

  private void forwardAnswered(HttpResponse response) {
    // A rejection is final: the other controller has looked the job up in the store.
    if (response.status() < 300 || response.status() == 422) {
      reply.tryComplete(response);
    } else {
      forwardFailed = true;
      replyIfBothFailed();
    }
  }

  private void replyIfBothFailed() {
    if (writeFailed && (forwardFailed || !forwarded)) {
      reply.tryComplete(HttpResponse.unavailable("the state service does not take it"));
    }
  }

  private void after(double delayS, Runnable action) {
    services.context().timers().after(delayS, action);
  }
}
