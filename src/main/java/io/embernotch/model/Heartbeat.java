package io.embernotch.model;

import java.util.List;

/**
 * A worker's heartbeat with the status of its machine.
 *
 * @param machine name of the machine
 * @param address the worker's address as HOST:PORT
 * @param type name of the machine type
 * @param zone zone that the machine is in
 * @param spot whether it is a spot machine
 * @param agentEpoch rises whenever the worker's lease expires, from 1
 * @param seq rises with every heartbeat
 * @param token highest fencing token that the worker has seen
 * @param reclaimInS seconds until the cloud reclaims the machine; null without notice
 * @param tasks all tasks on the machine, exited ones until they are forgotten by command
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long agentEpoch,
    long seq,
    long token,
    Double reclaimInS,
    List<TaskStatus> tasks) {

  /** Whether this heartbeat was made after the one with the given agent epoch and number. */
  public boolean isNewerThan(long otherAgentEpoch, long otherSeq) {
    return agentEpoch > otherAgentEpoch || (agentEpoch == otherAgentEpoch && seq > otherSeq);
  }
}
