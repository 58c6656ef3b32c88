package io.embernotch.leader;

import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

/**
 * Passes each message to whoever handles its type. While the store is being loaded messages are
 * kept until it is; once the leader is stopped they are refused.
 */
final class LeaderMessageDispatcher {
  private final ControllerContext context;
  private final LeaderComponents components;
  private final LeaderLifecycle lifecycle;
  private final UserRequestHandler userRequests;
  private final PeriodicTasks periodicTasks;
  private final PendingHeartbeats pendingHeartbeats = new PendingHeartbeats();

  /** What came while the store was being loaded, other than heartbeats. */
  private final List<LeaderMessage> pendingMessages = new ArrayList<>();

  LeaderMessageDispatcher(LeaderComponents components) {
    this.context = components.context;
    this.components = components;
    this.lifecycle = components.lifecycle;
    this.userRequests = new UserRequestHandler(components);
    this.periodicTasks = new PeriodicTasks(components);
  }

  /** Handles, keeps or refuses the message; its run time is recorded in the profile by type. */
  void dispatch(LeaderMessage message) {
    context
        .profile()
        .run(
            message.getClass().getSimpleName(),
            () -> {
              if (lifecycle.isStopped()) {
                refuse(message);
              } else if (lifecycle.isLoaded()) {
                handle(message);
              } else {
                keep(message);
              }
            });
  }

  private void keep(LeaderMessage message) {
    if (message instanceof LeaderMessage.HeartbeatReceived received) {
      pendingHeartbeats.add(received, context.timers());
    } else if (message instanceof LeaderMessage.HeartbeatHandedOver handedOver) {
      pendingHeartbeats.add(handedOver.heartbeat());
    } else if (message instanceof LeaderMessage.UserRequest request) {
      // Its user would have gone before the store is read.
      refuse(request);
    } else if (!(message instanceof LeaderMessage.Tick)) {
      pendingMessages.add(message);
    }
  }

  private void handle(LeaderMessage message) {
    if (message instanceof LeaderMessage.HeartbeatReceived received) {
      components.heartbeatQueue.add(received);
    } else if (message instanceof LeaderMessage.HeartbeatHandedOver handedOver) {
      components.heartbeatHandler.handedOver(handedOver.heartbeat());
    } else if (message instanceof LeaderMessage.UserRequest request) {
      userRequests.handle(request);
    } else if (message instanceof LeaderMessage.JobAccepted accepted) {
      components.jobEvents.jobAccepted(accepted.job(), accepted.shardSize());
    } else if (message instanceof LeaderMessage.RestartsProposed proposed) {
      components.restartReviewer.propose(proposed.from(), proposed.restarts());
    } else if (message instanceof LeaderMessage.Tick) {
      periodicTasks.run();
    } else if (message instanceof LeaderMessage.RunScheduler) {
      components.schedulingLoop.runScheduler();
    }
  }

  /** The store is loaded: what was kept is handled now, heartbeats a few at a time. */
  void releasePending() {
    List<LeaderMessage> kept = List.copyOf(pendingMessages);
    pendingMessages.clear();
    kept.forEach(this::dispatch);
    pendingHeartbeats.drain(context.loop(), this::dispatch);
  }

  /** The leader is stopped: what was kept is refused. */
  void refusePending() {
    pendingMessages.forEach(LeaderMessageDispatcher::refuse);
    pendingMessages.clear();
    pendingHeartbeats.refuse();
  }

  /** Answers a message, if it is to be answered, as a node that is not leader. */
  static void refuse(LeaderMessage message) {
    if (message instanceof LeaderMessage.HeartbeatReceived received) {
      received.reply().tryComplete(null);
    } else if (message instanceof LeaderMessage.UserRequest request) {
      request.reply().complete(HttpResponse.later("no steward yet"));
    }
  }
}
