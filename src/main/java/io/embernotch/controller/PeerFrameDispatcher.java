package io.embernotch.controller;

import io.embernotch.api.JobAnswers;
import io.embernotch.api.SubmissionHandler;
import io.embernotch.context.ProcessIncarnation;
import io.embernotch.forwarding.HeartbeatForwarder;
import io.embernotch.forwarding.PendingRequests;
import io.embernotch.http.HttpResponse;
import io.embernotch.leader.ImageInventory;
import io.embernotch.leader.LeaderMessage;
import io.embernotch.peer.Frame;
import io.embernotch.peer.PeerLink;
import io.embernotch.straggler.LocalPartition;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/** Dispatches frames from other controllers to the components that handle their types. */
final class PeerFrameDispatcher {
  /** Request id of a frame whose sender expects no response. */
  private static final long NO_RESPONSE = 0;

  private final PeerHeartbeats peerHeartbeats;
  private final HeartbeatForwarder heartbeatForwarder;
  private final PendingRequests pendingRequests;
  private final SubmissionHandler submissions;
  private final LocalPartition localPartition;
  private final ImageInventory imageInventory;
  private final JobAnnouncements jobAnnouncements;
  private final LeaderClient leaderClient;
  private final LocalLeader localLeader;
  private final JobAnswers answers;
  private final Replication replication;

  PeerFrameDispatcher(
      PeerHeartbeats peerHeartbeats,
      HeartbeatForwarder heartbeatForwarder,
      PendingRequests pendingRequests,
      SubmissionHandler submissions,
      LocalPartition localPartition,
      ImageInventory imageInventory,
      JobAnnouncements jobAnnouncements,
      LeaderClient leaderClient,
      LocalLeader localLeader,
      JobAnswers answers,
      Replication replication) {
    this.peerHeartbeats = peerHeartbeats;
    this.heartbeatForwarder = heartbeatForwarder;
    this.pendingRequests = pendingRequests;
    this.submissions = submissions;
    this.localPartition = localPartition;
    this.imageInventory = imageInventory;
    this.jobAnnouncements = jobAnnouncements;
    this.leaderClient = leaderClient;
    this.localLeader = localLeader;
    this.answers = answers;
    this.replication = replication;
  }

  /** Dispatches a frame. Responses to it, if any, are sent over {@code replies}. */
  void dispatch(Frame frame, PeerLink.ReplyChannel replies) {
    if (frame instanceof Frame.PeerHeartbeat heartbeat) {
      peerHeartbeats.handleHeartbeat(heartbeat);
      replication.handlePeerHeartbeat(heartbeat.node());
    } else if (frame instanceof Frame.JobAccepted accepted) {
      jobAnnouncements.handleAnnouncement(accepted);
    } else if (frame instanceof Frame.ForwardedRequest request) {
      handleForwardedRequest(request, replies);
    } else if (frame instanceof Frame.ForwardedHeartbeat heartbeat) {
      handleForwardedHeartbeat(heartbeat, replies);
    } else if (frame instanceof Frame.DelegateHeartbeat heartbeat) {
      handleDelegateHeartbeat(heartbeat, replies);
    } else if (frame instanceof Frame.DelegateHeartbeatAck acknowledgement) {
      heartbeatForwarder.delegateHeartbeatAcknowledged(acknowledgement);
    } else if (frame instanceof Frame.ForwardedSubmission submission) {
      handleForwardedSubmission(submission, replies);
    } else if (frame instanceof Frame.Response response) {
      pendingRequests.complete(response);
    } else if (frame instanceof Frame.MachineViewUpdate update) {
      localPartition.put(update.epoch(), update.view());
    } else if (frame instanceof Frame.ImageInventoryUpdate update) {
      imageInventory.update(update);
    } else if (frame instanceof Frame.MachineViewRemoval removal) {
      localPartition.remove(removal.epoch(), removal.machine());
    } else if (frame instanceof Frame.RestartProposals proposals) {
      handleRestartProposals(proposals);
    } else if (frame instanceof Frame.StateUpdate update) {
      replication.handleUpdate(update, replies);
    } else if (frame instanceof Frame.StateUpdateAck acknowledgement) {
      replication.handleAck(acknowledgement);
    } else if (frame instanceof Frame.KnowledgeRequest request) {
      replication.handleKnowledgeRequest(request, replies);
    }
  }

  private void handleForwardedRequest(
      Frame.ForwardedRequest request, PeerLink.ReplyChannel replies) {
    Promise<HttpResponse> reply = Promise.promise();
    checkAnswer(request, reply.future())
        .onSuccess(response -> replies.send(responseFrame(request.id(), response)));
    if (!localLeader.send(new LeaderMessage.UserRequest(request.kind(), request.ref(), reply))) {
      reply.complete(HttpResponse.unavailable("not the steward"));
    }
  }

  /** Checks and records answers about jobs in {@link JobAnswers}; an overview passes unchecked. */
  private Future<HttpResponse> checkAnswer(
      Frame.ForwardedRequest request, Future<HttpResponse> leaderResponse) {
    if (request.kind() == Frame.ForwardedRequest.Kind.OVERVIEW) {
      return leaderResponse;
    }
    JobAnswers.JobQuery question = answers.startQuery(JobAnswers.Kind.FORWARDED, request.ref());
    return leaderResponse.map(response -> question.answer(JobAnswers.Source.LEADER, response));
  }

  private void handleForwardedHeartbeat(
      Frame.ForwardedHeartbeat forwarded, PeerLink.ReplyChannel replies) {
    if (forwarded.id() == NO_RESPONSE) {
      localLeader.send(new LeaderMessage.HeartbeatWithoutReply(forwarded.heartbeat()));
      return;
    }
    leaderClient
        .deliverHeartbeat(forwarded.heartbeat(), ProcessIncarnation.of(forwarded.id()))
        .onSuccess(response -> replies.send(responseFrame(forwarded.id(), response)));
  }

  private void handleDelegateHeartbeat(
      Frame.DelegateHeartbeat heartbeat, PeerLink.ReplyChannel replies) {
    localLeader
        .current()
        .ifPresent(leader -> replies.send(leader.delegateHeartbeatReceived(heartbeat)));
  }

  private void handleForwardedSubmission(
      Frame.ForwardedSubmission submission, PeerLink.ReplyChannel replies) {
    submissions
        .handleForwarded(submission.body())
        .onSuccess(response -> replies.send(responseFrame(submission.id(), response)));
  }

  private void handleRestartProposals(Frame.RestartProposals proposals) {
    localLeader
        .current()
        .filter(leader -> leader.epoch() == proposals.epoch())
        .ifPresent(
            leader ->
                leader.send(
                    new LeaderMessage.RestartsProposed(proposals.from(), proposals.restarts())));
  }

  private static Frame.Response responseFrame(long id, HttpResponse response) {
    return new Frame.Response(id, response.status(), response.retryAfterS(), response.body());
  }
}
