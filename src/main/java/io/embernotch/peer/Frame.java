package io.embernotch.peer;

import io.embernotch.model.Heartbeat;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.Restart;
import java.util.List;

/** What controllers say to each other. */
public sealed interface Frame {
  /** Who is there, whom it takes for the leader, and whether the store answers it. */
  record PeerHeartbeat(String node, String leader, long leaderEpoch, boolean storeReachable)
      implements Frame {}

  /** A job was accepted: the value of its {@code job/} key. */
  record JobAccepted(byte[] value) implements Frame {}

  /** A user's request, forwarded to the leader. */
  record ForwardedRequest(long id, Kind kind, String ref) implements Frame {
    /** What the leader is asked for. */
    public enum Kind {
      POLL,
      ABORT,
      OVERVIEW
    }
  }

  /** A submission, passed on by a controller that the store does not answer. */
  record ForwardedSubmission(long id, byte[] body) implements Frame {}

  /** The answer to the question with this number. */
  record Response(long id, int status, int retryAfterS, byte[] body) implements Frame {}

  /** The leader's view of a machine in the receiver's part. */
  record MachineViewUpdate(long epoch, MachineView view) implements Frame {}

  /** The images that a machine has, least recently used first, for whoever is leader next. */
  record ImageInventoryUpdate(long epoch, String machine, List<String> images) implements Frame {}

  /** The machine is gone, or has moved to another part. */
  record MachineViewRemoval(long epoch, String machine) implements Frame {}

  /**
   * A worker's heartbeat, passed on to the leader; {@link RecordedAnswers} answers it, unless
   * {@code id} is 0. Only a leader whose key says that it takes them may be sent one: the former
   * version drops the connection.
   */
  record ForwardedHeartbeat(long id, Heartbeat heartbeat) implements Frame {}

  /**
   * A controller is there, for a leader that takes reports: the number of this message, the highest
   * one that was answered (0: none), and how long ago it last renewed a worker by itself; below 0:
   * never.
   */
  record DelegateHeartbeat(String node, long seq, long ack, double renewedAgoS) implements Frame {}

  /**
   * The leader's answer: whether the controller may renew workers of its zone for a while if it is
   * partitioned.
   */
  record DelegateHeartbeatAck(long epoch, long seq, boolean granted) implements Frame {}

  /** The restarts that a round of the owner of a part proposes to the leader. */
  record RestartProposals(String from, long epoch, List<Restart> restarts) implements Frame {}
}
