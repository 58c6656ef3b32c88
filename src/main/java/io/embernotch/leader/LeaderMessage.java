package io.embernotch.leader;

import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Job;
import io.embernotch.peer.Frame;
import io.embernotch.straggler.Restart;
import io.vertx.core.Promise;
import java.util.List;

/** What the leader may be told. */
public sealed interface LeaderMessage {
  /**
   * A worker reports, by the controller whose life {@code via} is; {@code reply} gets the body of
   * the 200, or null if it must not get one.
   */
  record HeartbeatReceived(Heartbeat heartbeat, long via, Promise<byte[]> reply)
      implements LeaderMessage {}

  /**
   * What a worker reported to another controller before there was a leader; nobody waits for an
   * answer.
   */
  record HeartbeatHandedOver(Heartbeat heartbeat) implements LeaderMessage {}

  /** A user asks for a job or for the overview; {@code reply} gets the answer. */
  record UserRequest(Frame.ForwardedRequest.Kind what, String ref, Promise<HttpResponse> reply)
      implements LeaderMessage {}

  /** A job was accepted; {@code shard} is the number of its tasks kept in one shard. */
  record JobAccepted(Job job, int shard) implements LeaderMessage {}

  /** A straggler round of controller {@code from} proposes these restarts. */
  record RestartsProposed(String from, List<Restart> restarts) implements LeaderMessage {}

  /** Time has passed: what is due is done. */
  record Tick() implements LeaderMessage {}

  /** The pace of plans allows the next one. */
  record RunScheduler() implements LeaderMessage {}
}
