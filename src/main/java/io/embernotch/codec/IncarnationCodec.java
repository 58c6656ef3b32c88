package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.StoreIncarnation;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Keys and values that represent store incarnations in the store. The key {@link #POINTER} holds
 * the current incarnation, the {@linkplain #fenceKey fence key} exists as long as its incarnation
 * lasts, and the {@linkplain #blockKey block keys} hold the packed snapshot that an incarnation was
 * restored from.
 */
public final class IncarnationCodec {
  /** Key that holds the current incarnation. */
  public static final String POINTER = "era";

  /** Key that the leader writes while it misses heartbeats of any other controller. */
  public static final String LEADER_HEARTBEAT_KEY = "heartbeat";

  /** In a heartbeat: highest store revision that its writer had seen. */
  private static final String SEEN_REVISION = "seen";

  /** Prefix of the fence keys. */
  private static final String FENCE_PREFIX = "era/";

  /** Prefix of the keys of snapshot blocks. */
  private static final String BLOCK_PREFIX = "block/";

  /** Name of an incarnation. */
  private static final String NAME = "name";

  /** Offset that is added to revisions to get epochs. */
  private static final String EPOCH_FLOOR = "floor";

  /** Name of the snapshot that the incarnation was restored from; absent for none. */
  private static final String SNAPSHOT = "base";

  /** Number of blocks of that snapshot. */
  private static final String BLOCK_COUNT = "blocks";

  /** Checksum of the whole snapshot or, in the value of a block, of that block. */
  private static final String CRC = "crc";

  /** Keys with this modification revision or a lower one are older than the snapshot. */
  private static final String SNAPSHOT_REVISION = "since";

  /** Names of the preceding incarnations, most recent first. */
  private static final String PREDECESSORS = "after";

  /** In an announcement: name of the incarnation in which the job was written. */
  private static final String ANNOUNCED_INCARNATION = "era";

  /** In an announcement: store revision at which the job was written. */
  private static final String ANNOUNCED_REVISION = "epoch";

  /** Base64 of the compressed bytes of a block. */
  private static final String BLOCK_BYTES = "z";

  private IncarnationCodec() {}

  /**
   * Encodes a heartbeat of the leader.
   *
   * @param incarnation name of the incarnation that the leader knows
   * @param seenRevision highest store revision that the leader has seen
   */
  public static ObjectNode writeHeartbeat(String incarnation, long seenRevision) {
    return Json.object().put(NAME, incarnation).put(SEEN_REVISION, seenRevision);
  }

  /**
   * Reads the name of the incarnation that the writer of a heartbeat knew.
   *
   * @throws MalformedInputException if the name is missing or not a string
   */
  public static String readHeartbeatIncarnation(JsonNode json) {
    return Json.text(json, NAME);
  }

  /**
   * Reads the highest store revision that the writer of a heartbeat had seen.
   *
   * @throws MalformedInputException if the revision is missing or malformed
   */
  public static long readHeartbeatSeenRevision(JsonNode json) {
    return Json.whole(json, SEEN_REVISION);
  }

  /** Returns the fence key, on which every transaction of an incarnation is conditional. */
  public static String fenceKey(StoreIncarnation incarnation) {
    return FENCE_PREFIX + incarnation.name();
  }

  /**
   * Returns the prefix of the block keys of a snapshot.
   *
   * @param snapshot name of the snapshot
   */
  public static String blockKeyPrefix(String snapshot) {
    return BLOCK_PREFIX + snapshot + "/";
  }

  /**
   * Returns the key of a block. The keys of a snapshot sort in the order of its blocks.
   *
   * @param snapshot name of the snapshot
   * @param index index of the block, from 0
   */
  public static String blockKey(String snapshot, int index) {
    return blockKeyPrefix(snapshot) + String.format("%06d", index);
  }

  /** Encodes an incarnation. */
  public static ObjectNode write(StoreIncarnation incarnation) {
    ObjectNode json =
        Json.object().put(NAME, incarnation.name()).put(EPOCH_FLOOR, incarnation.epochFloor());
    if (incarnation.snapshotName() != null) {
      json.put(SNAPSHOT, incarnation.snapshotName())
          .put(BLOCK_COUNT, incarnation.blockCount())
          .put(CRC, incarnation.crc())
          .put(SNAPSHOT_REVISION, incarnation.since());
    }
    ArrayNode predecessors = json.putArray(PREDECESSORS);
    incarnation.predecessors().forEach(predecessors::add);
    return json;
  }

  /**
   * Reads an incarnation.
   *
   * @param modRevision modification revision of the key that holds the value
   * @throws MalformedInputException if a field is missing or malformed
   */
  public static StoreIncarnation read(JsonNode json, long modRevision) {
    List<String> predecessors = new ArrayList<>();
    for (JsonNode name : Json.required(json, PREDECESSORS)) {
      predecessors.add(name.asText());
    }
    boolean hasSnapshot = Json.optional(json, SNAPSHOT) != null;
    return new StoreIncarnation(
        Json.text(json, NAME),
        modRevision,
        Json.whole(json, EPOCH_FLOOR),
        hasSnapshot ? Json.text(json, SNAPSHOT) : null,
        hasSnapshot ? (int) Json.whole(json, BLOCK_COUNT) : 0,
        hasSnapshot ? Json.whole(json, CRC) : 0,
        hasSnapshot ? Json.whole(json, SNAPSHOT_REVISION) : 0,
        predecessors);
  }

  /**
   * Encodes the announcement of a new job to the leader: the value of the job's key, and the
   * incarnation and store revision at which it was written.
   *
   * @param incarnation name of the incarnation
   * @param revision store revision of the write
   */
  public static ObjectNode writeAnnouncement(ObjectNode value, String incarnation, long revision) {
    return value
        .deepCopy()
        .put(ANNOUNCED_INCARNATION, incarnation)
        .put(ANNOUNCED_REVISION, revision);
  }

  /**
   * Reads the name of the incarnation in an {@link #writeAnnouncement}; empty if a version without
   * incarnations sent it.
   */
  public static String readAnnouncedIncarnation(JsonNode json) {
    return json.path(ANNOUNCED_INCARNATION).asText("");
  }

  /**
   * Reads the store revision in an {@link #writeAnnouncement}.
   *
   * @throws MalformedInputException if the revision is missing or malformed
   */
  public static long readAnnouncedRevision(JsonNode json) {
    return Json.whole(json, ANNOUNCED_REVISION);
  }

  /** Encodes a snapshot block: its bytes and their checksum. */
  public static ObjectNode writeBlock(byte[] bytes, long crc) {
    return Json.object().put(CRC, crc).put(BLOCK_BYTES, Base64.getEncoder().encodeToString(bytes));
  }

  /**
   * Reads the checksum of a snapshot block.
   *
   * @throws MalformedInputException if the checksum is missing or malformed
   */
  public static long readBlockCrc(JsonNode json) {
    return Json.whole(json, CRC);
  }

  /**
   * Reads the bytes of a snapshot block.
   *
   * @throws MalformedInputException if the bytes are missing or not base64
   */
  public static byte[] readBlock(JsonNode json) {
    try {
      return Base64.getDecoder().decode(Json.text(json, BLOCK_BYTES));
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException(BLOCK_BYTES + ": not base64");
    }
  }
}
