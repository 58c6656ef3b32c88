package io.embernotch.api;

import io.embernotch.codec.JobCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import io.vertx.core.Future;

/**
 * What the submissions of one controller share.
 *
 * @param dependencies checks the jobs that a submission names
 * @param recent the submissions that this controller has written
 * @param hedgeS after so many seconds without an answer of the store, another controller is asked
 * @param patienceS after so many seconds the user is told to come back
 */
record SubmissionServices(
    ControllerContext context,
    SubmissionHandler.Host host,
    SubmissionWriter writer,
    DependencyValidator dependencies,
    RecentSubmissions recent,
    double hedgeS,
    double patienceS) {

  /** The present status of a job that is in the store. */
  Future<HttpResponse> statusOfAccepted(String ref) {
    return host.poll(ref)
        .map(
            status ->
                status.status() == 404 ? HttpResponse.unavailable("not accepted yet") : status);
  }

  /**
   * Rejects a submission for good, unless the job was accepted before: that may have been under
   * other limits, and its user is to get its status, whatever the checks say of it now.
   */
  Future<HttpResponse> rejectUnlessAccepted(String ref, HttpResponse rejection) {
    if (!JobCodec.isRef(ref)) {
      return Future.succeededFuture(rejection);
    }
    return host.poll(ref).map(known -> known.status() == 404 ? rejection : known);
  }
}
