package io.embernotch.peer;

/** Values of the byte that identifies the kind of a frame. */
final class FrameKind {
  /** {@link Frame.PeerHeartbeat}. */
  static final byte PEER_HEARTBEAT = 1;

  /** {@link Frame.JobAccepted}. */
  static final byte JOB_ACCEPTED = 2;

  /** {@link Frame.ForwardedRequest}. */
  static final byte FORWARDED_REQUEST = 3;

  /** {@link Frame.Response}. */
  static final byte RESPONSE = 4;

  /** {@link Frame.MachineViewUpdate}. */
  static final byte MACHINE_VIEW_UPDATE = 5;

  /** {@link Frame.MachineViewRemoval}. */
  static final byte MACHINE_VIEW_REMOVAL = 6;

  /** {@link Frame.RestartProposals}. */
  static final byte RESTART_PROPOSALS = 7;

  /** {@link Frame.ForwardedSubmission}. */
  static final byte FORWARDED_SUBMISSION = 8;

  /** {@link Frame.ImageInventoryUpdate}. */
  static final byte IMAGE_INVENTORY_UPDATE = 9;

  /** {@link Frame.ForwardedHeartbeat}. */
  static final byte FORWARDED_HEARTBEAT = 10;

  /** {@link Frame.DelegateHeartbeat}. */
  static final byte DELEGATE_HEARTBEAT = 11;

  /** {@link Frame.DelegateHeartbeatAck}. */
  static final byte DELEGATE_HEARTBEAT_ACK = 12;

  /** {@link Frame.StateUpdate}. */
  static final byte STATE_UPDATE = 13;

  /** {@link Frame.StateUpdateAck}. */
  static final byte STATE_UPDATE_ACK = 14;

  /** {@link Frame.KnowledgeRequest}. */
  static final byte KNOWLEDGE_REQUEST = 15;

  private FrameKind() {}
}
