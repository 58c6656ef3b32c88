package io.embernotch.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.store.VersionedEntry;
import java.util.Optional;

/**
 * What the leader key says of the leader. The field names of its JSON are older than the terms used
 * here, and stay for the sake of rolling upgrades.
 *
 * @param node the leader's name
 * @param leaseId the store lease that the key is attached to
 * @param acceptsForwarded whether the leader accepts heartbeats that others forward
 * @param incarnation the store incarnation that it leads; "" before there were any
 * @param epochFloor added to the key's modification revision to get the epoch
 */
record LeaderKey(
    String node, long leaseId, boolean acceptsForwarded, String incarnation, long epochFloor) {
  /** The key's name in the store. */
  static final String NAME = JobProgressCodec.LEADER;

  private static final String LEASE_ID = "permit";
  private static final String ACCEPTS_FORWARDED = "relay";
  private static final String INCARNATION = "era";
  private static final String EPOCH_FLOOR = "floor";

  /** Reads the key; empty if it is absent. Missing fields get their types' defaults. */
  static Optional<LeaderKey> read(VersionedEntry entry) {
    if (!entry.present()) {
      return Optional.empty();
    }
    ObjectNode value = entry.value();
    return Optional.of(
        new LeaderKey(
            value.path("node").asText(),
            value.path(LEASE_ID).asLong(),
            value.path(ACCEPTS_FORWARDED).asBoolean(),
            value.path(INCARNATION).asText(""),
            value.path(EPOCH_FLOOR).asLong(0)));
  }

  /** The value to be written. */
  ObjectNode write() {
    return Json.object()
        .put("node", node)
        .put(LEASE_ID, leaseId)
        .put(ACCEPTS_FORWARDED, acceptsForwarded)
        .put(INCARNATION, incarnation)
        .put(EPOCH_FLOOR, epochFloor);
  }
}
