package io.embernotch.leader;

import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Job;
import io.embernotch.peer.Frame;
import io.embernotch.straggler.Restart;
import io.vertx.core.Promise;
import java.util.List;

/**
 * The messages that a leader processes. The event loop's profile lists them by their simple names.
 */
public sealed interface LeaderMessage {
  /**
   * An agent's heartbeat whose agent waits for a response.
   *
   * @param forwarderIncarnation process incarnation of the controller that forwarded it; 0 if the
   *     agent sent it to the leader's own controller
   * @param reply receives the body of the 200 response, or null if the agent must not get one
   */
  record HeartbeatReceived(Heartbeat heartbeat, long forwarderIncarnation, Promise<byte[]> reply)
      implements LeaderMessage {}

  /**
   * The last heartbeat of an agent that a controller received before it knew this leader. The
   * controller passes it on when the leader becomes known; no response is awaited.
   */
  record HeartbeatWithoutReply(Heartbeat heartbeat) implements LeaderMessage {}

  /**
   * A user's request that concerns a job, or for the overview.
   *
   * @param ref id of the job; "" for the overview
   * @param reply receives the response
   */
  record UserRequest(Frame.ForwardedRequest.Kind kind, String ref, Promise<HttpResponse> reply)
      implements LeaderMessage {}

  /**
   * A job was accepted and is in the store.
   *
   * @param shardSize number of the job's tasks in each shard
   */
  record JobAccepted(Job job, int shardSize) implements LeaderMessage {}

  /** A straggler round of controller {@code from} proposes to restart these tasks. */
  record RestartsProposed(String from, List<Restart> restarts) implements LeaderMessage {}

  /** Runs the periodic tasks. */
  record Tick() implements LeaderMessage {}

  /** Runs the scheduler. */
  record RunScheduler() implements LeaderMessage {}
}
