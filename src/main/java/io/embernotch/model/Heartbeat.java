package io.embernotch.model;

import java.util.List;

/** What a worker says of itself. {@code recallS} is null unless the cloud has given notice. */
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

  /** True if this heartbeat was made after the one with the given session and sequence number. */
  public boolean newerThan(long otherSession, long otherSeq) {
    return agentEpoch > otherSession || (agentEpoch == otherSession && seq > otherSeq);
  }
}
