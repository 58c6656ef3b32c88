package io.embernotch.leader;

import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Job;
import io.embernotch.peer.Frame;
import io.embernotch.straggler.Restart;
import io.vertx.core.Promise;
import java.util.List;

/** What the leader can be sent. */
public sealed interface LeaderMessage {
  /**
   * An agent's heartbeat that is to be answered.
   *
   * @param via process incarnation of the controller that forwarded it; 0 if the agent sent it to
   *     the leader's own node
   * @param reply gets the body of the 200, or null if the agent must not get one
   */
  record HeartbeatReceived(Heartbeat heartbeat, long via, Promise<byte[]> reply)
      implements LeaderMessage {}

  /**
   * The last heartbeat that an agent sent to another controller before this leader was known;
   * nobody waits for an answer.
   */
  record HeartbeatHandedOver(Heartbeat heartbeat) implements LeaderMessage {}

  /**
   * A user's request for a job or for the overview.
   *
   * @param ref the job's reference; "" for the overview
   * @param reply gets the answer
   */
  record UserRequest(Frame.ForwardedRequest.Kind kind, String ref, Promise<HttpResponse> reply)
      implements LeaderMessage {}

  /**
   * A job was accepted and is in the store.
   *
   * @param shardSize number of its tasks kept in one shard
   */
  record JobAccepted(Job job, int shardSize) implements LeaderMessage {}

  /** A straggler round of controller {@code from} proposes these restarts. */
  record RestartsProposed(String from, List<Restart> restarts) implements LeaderMessage {}

  /** Time has passed: what is due is to be done. */
  record Tick() implements LeaderMessage {}

  /** A scheduling run is due. */
  record RunScheduler() implements LeaderMessage {}
}
