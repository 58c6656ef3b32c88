package io.embernotch.peer;

import io.embernotch.model.Heartbeat;
import io.embernotch.straggler.MachineView;
import io.embernotch.straggler.Restart;
import java.util.List;

/** A message between controllers. */
public sealed interface Frame {
  /**
   * A heartbeat between controllers.
   *
   * @param node name of the sender
   * @param leader node that it takes for the leader; null if it knows none, or data is lost
   * @param leaderEpoch epoch of that leader; while data is lost, an epoch that the store cannot
   *     reach, which tells the others so
   * @param storeReachable whether the store answers the sender
   * @param replicates whether the sender takes {@link StateUpdate} and {@link KnowledgeRequest};
   *     not told while the store does not answer it
   */
  record PeerHeartbeat(
      String node, String leader, long leaderEpoch, boolean storeReachable, boolean replicates)
      implements Frame {
    /** A heartbeat as the version before replication sends it. */
    public PeerHeartbeat(String node, String leader, long leaderEpoch, boolean storeReachable) {
      this(node, leader, leaderEpoch, storeReachable, false);
    }
  }

  /**
   * Changes of the store that the sender has committed, for the receiver's replica. Like {@link
   * KnowledgeRequest} it may only be sent to a controller whose heartbeat says that it replicates:
   * the former version drops the connection.
   *
   * @param id number of the update, which its {@link StateUpdateAck} repeats
   * @param incarnation name of the store incarnation that it belongs to
   * @param revision revision at which all the entries were written
   * @param entries what was written
   */
  record StateUpdate(long id, String incarnation, long revision, List<StateEntry> entries)
      implements Frame {}

  /**
   * A key of the store and its value.
   *
   * @param value JSON of the value
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
  record StateEntry(String key, byte[] value) {}

  /**
   * The receiver of a {@link StateUpdate} holds its entries.
   *
   * @param id number of the update
   */
  record StateUpdateAck(long id) implements Frame {}

  /**
   * Asks for a part of what the receiver knows of the contents that the store has lost. Its {@link
   * Response} holds it, or status 409 if no data is lost as far as the receiver knows.
   *
   * @param id number of the request, which its response repeats
   * @param node name of the sender
   * @param lossEpoch the epoch by which the sender tells of the loss
   * @param part number of the part, from 0
   */
  record KnowledgeRequest(long id, String node, long lossEpoch, int part) implements Frame {}

  /**
   * Announces to the leader that a job was accepted.
   *
   * @param value JSON of the job's submission key, with the incarnation and the revision that wrote
   *     it
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
  record JobAccepted(byte[] value) implements Frame {}

  /**
   * A user's request, forwarded to the leader.
   *
   * @param id number of the request, which its response repeats
   * @param kind what the user asks for
   * @param ref id of the job; empty for {@link Kind#OVERVIEW}
   */
  record ForwardedRequest(long id, Kind kind, String ref) implements Frame {
    /** What a user asks for; the order is part of the frame format. */
    public enum Kind {
      /** The job's status. */
      POLL,
      /** To cancel the job. */
      ABORT,
      /** The overview of the cluster. */
      OVERVIEW
    }
  }

  /**
   * A submission, forwarded by a controller that the store does not answer.
   *
   * @param id number of the request, which its response repeats
   * @param body body of the user's request
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
  record ForwardedSubmission(long id, byte[] body) implements Frame {}

  /**
   * The response to a forwarded request, submission or heartbeat.
   *
   * @param id number of the request
   * @param status HTTP status
   * @param retryAfterS seconds after which the caller is to try again; 0: not said
   * @param body body of the HTTP response
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
  record Response(long id, int status, int retryAfterS, byte[] body) implements Frame {}

  /**
   * The leader's view of a machine in the receiver's partition.
   *
   * @param epoch epoch of the leader
   * @param view the machine and the tasks on it
   */
  record MachineViewUpdate(long epoch, MachineView view) implements Frame {}

  /**
   * The images that a machine has, for whoever is leader next.
   *
   * @param epoch epoch of the leader
   * @param machine name of the machine
   * @param images names of the images, least recently used first
   */
  record ImageInventoryUpdate(long epoch, String machine, List<String> images) implements Frame {}

  /**
   * A machine is gone, or has moved to another partition.
   *
   * @param epoch epoch of the leader
   * @param machine name of the machine
   */
  record MachineViewRemoval(long epoch, String machine) implements Frame {}

  /**
   * A worker's heartbeat, forwarded to the leader. Only a leader whose key says that it takes them
   * may be sent one: the former version drops the connection.
   *
   * @param id number of the request, which its {@link Response} repeats; 0: no response is wanted
   * @param heartbeat the worker's heartbeat
   */
  record ForwardedHeartbeat(long id, Heartbeat heartbeat) implements Frame {}

  /**
   * A heartbeat of a controller to a leader that takes forwarded heartbeats, by which it asks for
   * delegated lease renewal.
   *
   * @param node name of the sender
   * @param seq number of this message, rising
   * @param ack highest number that the leader acknowledged; 0: none
   * @param renewedAgoS seconds since the sender last renewed a worker's lease by itself; below 0:
   *     never
   */
  record DelegateHeartbeat(String node, long seq, long ack, double renewedAgoS) implements Frame {}

  /**
   * The leader's answer to a {@link DelegateHeartbeat}.
   *
   * @param epoch epoch of the leader
   * @param seq number that it acknowledges
   * @param granted whether the controller may renew workers of its zone for a while if it is
   *     partitioned
   */
  record DelegateHeartbeatAck(long epoch, long seq, boolean granted) implements Frame {}

  /**
   * The restarts that a straggler round of a partition's owner proposes to the leader.
   *
   * @param from name of the sender
   * @param epoch epoch of the leader whose views the round went by
   * @param restarts the proposals, at least one
   */
  record RestartProposals(String from, long epoch, List<Restart> restarts) implements Frame {}
}
