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
      peerHeartbeats.received(heartbeat);
      replication.peerHeard(heartbeat.node());
    } else if (frame instanceof Frame.JobAccepted accepted) {
      jobAnnouncements.received(accepted);
    } else if (frame instanceof Frame.ForwardedRequest request) {
      forwardedRequest(request, replies);
    } else if (frame instanceof Frame.ForwardedHeartbeat heartbeat) {
      forwardedHeartbeat(heartbeat, replies);
    } else if (frame instanceof Frame.DelegateHeartbeat heartbeat) {
      delegateHeartbeat(heartbeat, replies);
    } else if (frame instanceof Frame.DelegateHeartbeatAck acknowledgement) {
      heartbeatForwarder.delegateHeartbeatAcknowledged(acknowledgement);
    } else if (frame instanceof Frame.ForwardedSubmission submission) {
      forwardedSubmission(submission, replies);
    } else if (frame instanceof Frame.Response response) {
      pendingRequests.complete(response);
    } else if (frame instanceof Frame.MachineViewUpdate update) {
      localPartition.put(update.epoch(), update.view());
    } else if (frame instanceof Frame.ImageInventoryUpdate update) {
      imageInventory.update(update);
    } else if (frame instanceof Frame.MachineViewRemoval removal) {
      localPartition.remove(removal.epoch(), removal.machine());
    } else if (frame instanceof Frame.RestartProposals proposals) {
      restartsProposed(proposals);
    } else if (frame instanceof Frame.StateUpdate update) {
      replication.received(update, replies);
    } else if (frame instanceof Frame.StateUpdateAck acknowledgement) {
      replication.acknowledged(acknowledgement);
    } else if (frame instanceof Frame.KnowledgeRequest request) {
      replication.asked(request, replies);
    }
  }

  private void forwardedRequest(Frame.ForwardedRequest request, PeerLink.ReplyChannel replies) {
    Promise<HttpResponse> reply = Promise.promise();
    checked(request, reply.future())
        .onSuccess(response -> replies.send(frameOf(request.id(), response)));
    if (!localLeader.tell(new LeaderMessage.UserRequest(request.kind(), request.ref(), reply))) {
      reply.complete(HttpResponse.later("not the steward"));
    }
  }

  /** Checks and records answers about jobs in {@link JobAnswers}; an overview passes unchecked. */
  private Future<HttpResponse> checked(
      Frame.ForwardedRequest request, Future<HttpResponse> decided) {
    if (request.kind() == Frame.ForwardedRequest.Kind.OVERVIEW) {
      return decided;
    }
    JobAnswers.Question question = answers.asked(JobAnswers.Kind.FORWARDED, request.ref());
    return decided.map(response -> question.answer(JobAnswers.Source.LEADER, response));
  }

  private void forwardedHeartbeat(
      Frame.ForwardedHeartbeat forwarded, PeerLink.ReplyChannel replies) {
    if (forwarded.id() == NO_RESPONSE) {
      localLeader.tell(new LeaderMessage.HeartbeatHandedOver(forwarded.heartbeat()));
      return;
    }
    leaderClient
        .deliverHeartbeat(forwarded.heartbeat(), ProcessIncarnation.of(forwarded.id()))
        .onSuccess(response -> replies.send(frameOf(forwarded.id(), response)));
  }

  private void delegateHeartbeat(Frame.DelegateHeartbeat heartbeat, PeerLink.ReplyChannel replies) {
    localLeader
        .current()
        .ifPresent(leader -> replies.send(leader.delegateHeartbeatReceived(heartbeat)));
  }

  private void forwardedSubmission(
      Frame.ForwardedSubmission submission, PeerLink.ReplyChannel replies) {
    submissions
        .handleForwarded(submission.body())
        .onSuccess(response -> replies.send(frameOf(submission.id(), response)));
  }

  private void restartsProposed(Frame.RestartProposals proposals) {
    localLeader
        .current()
        .filter(leader -> leader.epoch() == proposals.epoch())
        .ifPresent(
            leader ->
                leader.tell(
                    new LeaderMessage.RestartsProposed(proposals.from(), proposals.restarts())));
  }

  private static Frame.Response frameOf(long id, HttpResponse response) {
    return new Frame.Response(id, response.status(), response.retryAfterS(), response.body());
  }
}
