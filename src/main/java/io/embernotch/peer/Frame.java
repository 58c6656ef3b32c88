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
   * @param leader name of the leader that the sender knows; null if it knows none, or while it
   *     reports a data loss of the store
   * @param leaderEpoch epoch of that leader; while the sender reports a data loss, an epoch that
   *     the lost contents cannot reach, which identifies the loss
   * @param storeReachable whether the store answers the sender
   * @param acceptsReplication whether the sender accepts {@link StateUpdate} and {@link
   *     KnowledgeRequest}; sent as false if the store is not reachable
   */
  record PeerHeartbeat(
      String node,
      String leader,
      long leaderEpoch,
      boolean storeReachable,
      boolean acceptsReplication)
      implements Frame {
    /** Creates a heartbeat as sent by the version without replication. */
    public PeerHeartbeat(String node, String leader, long leaderEpoch, boolean storeReachable) {
      this(node, leader, leaderEpoch, storeReachable, false);
    }
  }

  /**
   * Replicates changes that the sender has committed to the store. Send it, like {@link
   * KnowledgeRequest}, only to a controller whose heartbeat has {@link
   * PeerHeartbeat#acceptsReplication} set: the previous version closes the connection on receiving
   * one.
   *
   * @param id number of the update, which its {@link StateUpdateAck} repeats
   * @param incarnation name of the store incarnation of the changes
   * @param revision store revision at which all the entries were written
   * @param entries the written keys and values
   */
  record StateUpdate(long id, String incarnation, long revision, List<StateEntry> entries)
      implements Frame {}

  /**
   * A key of the store and its value.
   *
   * @param key the key
   * @param value the value as JSON
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
  record StateEntry(String key, byte[] value) {}

  /**
   * Acknowledges that the receiver of a {@link StateUpdate} holds its entries.
   *
   * @param id number of the update
   */
  record StateUpdateAck(long id) implements Frame {}

  /**
   * Requests a part of what the receiver knows about the contents that the store has lost. The
   * {@link Response} contains the part, or status 409 if the receiver knows of no data loss.
   *
   * @param id number of the request, which its response repeats
   * @param node name of the sender
   * @param lossEpoch epoch that identifies the loss in the sender's heartbeats
   * @param part number of the part, from 0
   */
  record KnowledgeRequest(long id, String node, long lossEpoch, int part) implements Frame {}

  /**
   * Announces to the leader that a job was accepted.
   *
   * @param value value of the job's submission key as JSON, with the store incarnation and revision
   *     at which it was written
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
  record JobAccepted(byte[] value) implements Frame {}

  /**
   * A user's request, forwarded to the leader.
   *
   * @param id number of the request, which its response repeats
   * @param kind kind of the user's request
   * @param ref id of the job; empty for {@link Kind#OVERVIEW}
   */
  record ForwardedRequest(long id, Kind kind, String ref) implements Frame {
    /** Kind of a user's request; the order is part of the frame format. */
    public enum Kind {
      /** Asks for the status of the job. */
      POLL,
      /** Cancels the job. */
      ABORT,
      /** Asks for the overview of the cluster. */
      OVERVIEW
    }
  }

  /**
   * A job submission, forwarded by a controller that cannot reach the store.
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
   * @param status HTTP status code
   * @param retryAfterS seconds after which the client should retry; 0 if unspecified
   * @param body body of the HTTP response
   */
  @SuppressWarnings("ArrayRecordComponent") // The bytes are passed on and never compared.
  record Response(long id, int status, int retryAfterS, byte[] body) implements Frame {}

  /**
   * The leader's view of a machine in the receiver's partition of the machines, for straggler
   * detection.
   *
   * @param epoch epoch of the leader
   * @param view the machine and the tasks on it
   */
  record MachineViewUpdate(long epoch, MachineView view) implements Frame {}

  /**
   * The images that a machine has cached, so that the next leader knows them.
   *
   * @param epoch epoch of the leader
   * @param machine name of the machine
   * @param images names of the images, least recently used first
   */
  record ImageInventoryUpdate(long epoch, String machine, List<String> images) implements Frame {}

  /**
   * Reports that a machine no longer exists or has moved to another partition.
   *
   * @param epoch epoch of the leader
   * @param machine name of the machine
   */
  record MachineViewRemoval(long epoch, String machine) implements Frame {}

  /**
   * A worker's heartbeat, forwarded to the leader. Send it only to a leader whose key states that
   * it accepts forwarded heartbeats: the previous version closes the connection on receiving one.
   *
   * @param id number of the request, which its {@link Response} repeats; 0 if no response is wanted
   * @param heartbeat the worker's heartbeat
   */
  record ForwardedHeartbeat(long id, Heartbeat heartbeat) implements Frame {}

  /**
   * Requests delegated lease renewal: the heartbeat of a controller to a leader that accepts
   * forwarded heartbeats.
   *
   * @param node name of the sender
   * @param seq sequence number of this message
   * @param ack highest sequence number that the leader has acknowledged; 0 if none
   * @param renewedAgoS seconds since the sender last renewed a worker's lease as a delegate;
   *     negative if it never has
   */
  record DelegateHeartbeat(String node, long seq, long ack, double renewedAgoS) implements Frame {}

  /**
   * The leader's response to a {@link DelegateHeartbeat}.
   *
   * @param epoch epoch of the leader
   * @param seq sequence number that the leader acknowledges
   * @param granted whether the controller may renew the leases of workers in its zone for a limited
   *     time if a network partition cuts it off from the leader
   */
  record DelegateHeartbeatAck(long epoch, long seq, boolean granted) implements Frame {}

  /**
   * Proposes restarts to the leader: the result of a straggler detection round of the controller
   * that owns a partition of the machines.
   *
   * @param from name of the sender
   * @param epoch epoch of the leader whose machine views the round used
   * @param restarts proposed restarts, at least one
   */
  record RestartProposals(String from, long epoch, List<Restart> restarts) implements Frame {}
}
