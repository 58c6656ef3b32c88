package io.embernotch.forwarding;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import java.util.List;

/** Creates the responses to heartbeats that a controller gives without the leader. */
final class HeartbeatResponses {
  private static final int OK = 200;
  private static final int MISDIRECTED_REQUEST = 421;

  /** JSON field with the leader's node. */
  private static final String LEADER_FIELD = "steward";

  private HeartbeatResponses() {}

  /**
   * Returns a response that renews no lease. The agent keeps this controller and sends its next
   * heartbeat to it.
   */
  static HttpResponse withoutRenewal() {
    return HttpResponse.of(OK, WorkerCodec.emptyResponse());
  }

  /**
   * Returns a response without commands that renews the agent's lease with the fencing token that
   * the agent already has.
   */
  static HttpResponse renewal(Heartbeat heartbeat) {
    return HttpResponse.of(OK, WorkerCodec.response(heartbeat.token(), List.of()));
  }

  /**
   * Returns a response that redirects the agent to another controller.
   *
   * @param leader the leader's node; null if this controller knows none
   */
  static HttpResponse misdirected(String leader) {
    ObjectNode body = Json.object();
    if (leader != null) {
      body.put(LEADER_FIELD, leader);
    }
    return HttpResponse.of(MISDIRECTED_REQUEST, Json.bytes(body));
  }
}
