package io.embernotch.leader;

import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

/**
 * Dispatches each message to the handler of its type. Messages that arrive while the store is being
 * loaded are deferred until it is loaded. Messages that arrive after the leader was stopped are
 * refused.
 */
final class LeaderMessageDispatcher {
  private final ControllerContext context;
  private final LeaderComponents components;
  private final LeaderLifecycle lifecycle;
  private final UserRequestHandler userRequests;
  private final PeriodicTasks periodicTasks;
  private final PendingHeartbeats pendingHeartbeats = new PendingHeartbeats();

  /** Messages other than heartbeats that arrived while the store was being loaded. */
  private final List<LeaderMessage> pendingMessages = new ArrayList<>();

  LeaderMessageDispatcher(LeaderComponents components) {
    this.context = components.context;
    this.components = components;
    this.lifecycle = components.lifecycle;
    this.userRequests = new UserRequestHandler(components);
    this.periodicTasks = new PeriodicTasks(components);
  }

  /** Handles, defers or refuses the message; the profile records the time it takes by its type. */
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
                defer(message);
              }
            });
  }

  private void defer(LeaderMessage message) {
    if (message instanceof LeaderMessage.HeartbeatReceived received) {
      pendingHeartbeats.add(received, context.timers());
    } else if (message instanceof LeaderMessage.HeartbeatWithoutReply handedOver) {
      pendingHeartbeats.add(handedOver.heartbeat());
    } else if (message instanceof LeaderMessage.UserRequest request) {
      // The user would have given up before the store is loaded.
      refuse(request);
    } else if (!(message instanceof LeaderMessage.Tick)) {
      pendingMessages.add(message);
    }
  }

  private void handle(LeaderMessage message) {
    if (message instanceof LeaderMessage.HeartbeatReceived received) {
      components.heartbeatQueue.add(received);
    } else if (message instanceof LeaderMessage.HeartbeatWithoutReply handedOver) {
      components.heartbeatHandler.handleWithoutReply(handedOver.heartbeat());
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

  /**
   * Handles the deferred messages once the store is loaded, and the deferred heartbeats in batches.
   */
  void dispatchPending() {
    List<LeaderMessage> deferred = List.copyOf(pendingMessages);
    pendingMessages.clear();
    deferred.forEach(this::dispatch);
    pendingHeartbeats.drain(context.coreLoop(), this::dispatch);
  }

  /** Refuses the deferred messages because the leader was stopped. */
  void refusePending() {
    pendingMessages.forEach(LeaderMessageDispatcher::refuse);
    pendingMessages.clear();
    pendingHeartbeats.refuseAll();
  }

  /**
   * Answers a message as a controller that does not lead would, if its sender waits for an answer.
   */
  static void refuse(LeaderMessage message) {
    if (message instanceof LeaderMessage.HeartbeatReceived received) {
      received.reply().tryComplete(null);
    } else if (message instanceof LeaderMessage.UserRequest request) {
      request.reply().complete(HttpResponse.unavailable("no steward yet"));
    }
  }
}
