package io.embernotch.agents;

/**
 * How a heartbeat came about. An agent has at most one heartbeat of its own in flight, and sends
 * the next one only after it has executed or dropped the response. It responds to calls at any
 * time.
 */
enum HeartbeatOrigin {
  /** The agent sent it to a controller, perhaps to one that forwarded it. */
  SENT_BY_AGENT,
  /** It is the response to a direct command or a status request. */
  CALL_RESPONSE
}
