package io.embernotch.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.codec.Json;
import io.embernotch.store.VersionedEntry;
import java.util.Optional;

/**
 * The value of the leader key. Its JSON field names are older than the terms used in this code, and
 * are kept for rolling upgrades.
 *
 * @param node name of the leader
 * @param leaseId id of the store lease that the key is attached to
 * @param acceptsForwarded whether the leader accepts agents' heartbeats that other controllers
 *     forward
 * @param incarnation name of the store incarnation that is led; "" if the leader's version has none
 * @param epochFloor number that is added to the key's modification revision to get the epoch
 */
record LeaderKey(
    String node, long leaseId, boolean acceptsForwarded, String incarnation, long epochFloor) {
  /** Name of the leader key in the store. */
  static final String NAME = JobProgressCodec.LEADER;

  private static final String LEASE_ID = "permit";
  private static final String ACCEPTS_FORWARDED = "relay";
  private static final String INCARNATION = "era";
  private static final String EPOCH_FLOOR = "floor";

  /** Decodes the leader key; empty if it is absent. Missing fields get their default values. */
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

  /** Encodes the value of the leader key. */
  ObjectNode write() {
    return Json.object()
        .put("node", node)
        .put(LEASE_ID, leaseId)
        .put(ACCEPTS_FORWARDED, acceptsForwarded)
        .put(INCARNATION, incarnation)
        .put(EPOCH_FLOOR, epochFloor);
  }
}
