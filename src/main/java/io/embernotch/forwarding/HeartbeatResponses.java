package io.embernotch.forwarding;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import java.util.List;

/** The responses to a heartbeat that a controller gives by itself, without the leader. */
final class HeartbeatResponses {
  private static final int OK = 200;
  private static final int MISDIRECTED_REQUEST = 421;

  /** The wire's name for the leader. */
  private static final String LEADER_FIELD = "steward";

  private HeartbeatResponses() {}

  /** Renews nothing; the agent stays with this controller and sends its next heartbeat here. */
  static HttpResponse stay() {
    return HttpResponse.of(OK, WorkerCodec.emptyResponse());
  }

  /** Renews the agent's lease under the fencing token that it has, and commands nothing. */
  static HttpResponse renewed(Heartbeat heartbeat) {
    return HttpResponse.of(OK, WorkerCodec.response(heartbeat.token(), List.of()));
  }

  /**
   * Sends the agent to another controller.
   *
   * @param leader the node to go to; null if this one knows of no leader
   */
  static HttpResponse misdirected(String leader) {
    ObjectNode body = Json.object();
    if (leader != null) {
      body.put(LEADER_FIELD, leader);
    }
    return HttpResponse.of(MISDIRECTED_REQUEST, Json.bytes(body));
  }
}
