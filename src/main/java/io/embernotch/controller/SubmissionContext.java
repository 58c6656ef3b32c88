package io.embernotch.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.api.SubmissionHandler;
import io.embernotch.election.PeerLiveness;
import io.embernotch.forwarding.PendingRequests;
import io.embernotch.http.HttpResponse;
import io.embernotch.incarnation.StoreIncarnationTracker;
import io.embernotch.model.Job;
import io.embernotch.peer.Frame;
import io.embernotch.snapshot.BaseSnapshot;
import io.vertx.core.Future;
import java.util.function.Function;

/** Gives the submission handler access to the controller that it runs in. */
final class SubmissionContext implements SubmissionHandler.Host {
  private final StoreIncarnationTracker incarnations;
  private final PeerLiveness peerLiveness;
  private final PendingRequests pendingRequests;
  private final JobAnnouncements jobAnnouncements;
  private final Function<String, Future<HttpResponse>> poll;

  /**
   * @param poll answers a poll for the job with the given id
   */
  SubmissionContext(
      StoreIncarnationTracker incarnations,
      PeerLiveness peerLiveness,
      PendingRequests pendingRequests,
      JobAnnouncements jobAnnouncements,
      Function<String, Future<HttpResponse>> poll) {
    this.incarnations = incarnations;
    this.peerLiveness = peerLiveness;
    this.pendingRequests = pendingRequests;
    this.jobAnnouncements = jobAnnouncements;
    this.poll = poll;
  }

  @Override
  public void submissionAccepted(Job job, ObjectNode value, long revision) {
    jobAnnouncements.announce(job, value, revision);
  }

  @Override
  public boolean storeIsIntact() {
    return incarnations.isIntact();
  }

  @Override
  public boolean mayAnswerNotFound() {
    return incarnations.answerPolicy().mayAnswerNotFound();
  }

  @Override
  public String incarnationName() {
    return incarnations.name();
  }

  @Override
  public BaseSnapshot baseSnapshot() {
    return incarnations.baseSnapshot();
  }

  @Override
  public Future<HttpResponse> poll(String ref) {
    return poll.apply(ref);
  }

  @Override
  public Future<HttpResponse> submitElsewhere(byte[] body, double timeoutS) {
    return peerLiveness
        .nextReachingStore()
        .map(
            node ->
                pendingRequests.send(node, id -> new Frame.ForwardedSubmission(id, body), timeoutS))
        .orElse(null);
  }
}
