package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.StoreIncarnation;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Store incarnations as the store keeps them. The key {@link #POINTER} holds the present one, the
 * {@linkplain #fence fence key} exists as long as its incarnation lasts, and {@linkplain #block
 * block keys} hold the packed snapshot that an incarnation began with.
 */
public final class IncarnationCodec {
  /** The key that holds the present incarnation. */
  public static final String POINTER = "era";

  /** The key that the leader writes while it does not hear every other controller. */
  public static final String HEARTBEAT = "heartbeat";

  /** Highest revision that the writer of a heartbeat had seen. */
  private static final String SEEN = "seen";

  /** Prefix of the keys that exist as long as an incarnation lasts. */
  private static final String FENCE = "era/";

  /** Prefix of the keys of snapshot blocks. */
  private static final String BLOCK = "block/";

  /** Name of an incarnation. */
  private static final String NAME = "name";

  /** Number that is added to revisions to get epochs. */
  private static final String EPOCH_FLOOR = "floor";

  /** Name of the snapshot that the incarnation began with. */
  private static final String SNAPSHOT = "base";

  /** Number of blocks of that snapshot. */
  private static final String BLOCK_COUNT = "blocks";

  /** Checksum over the whole snapshot; in a block, over that block. */
  private static final String CRC = "crc";

  /** Keys of this modification revision or a lower one are older than the snapshot. */
  private static final String SINCE = "since";

  /** Names of the incarnations before, the latest first. */
  private static final String PREDECESSORS = "after";

  /** Incarnation that wrote an announced job. */
  private static final String ANNOUNCED_INCARNATION = "era";

  /** Revision that wrote an announced job. */
  private static final String ANNOUNCED_EPOCH = "epoch";

  /** Base64 of a block's compressed bytes. */
  private static final String BLOCK_BYTES = "z";

  private IncarnationCodec() {}

  /**
   * The value of a leader's heartbeat.
   *
   * @param incarnation name of the incarnation that it knows
   * @param seen the highest revision that it has seen
   */
  public static ObjectNode writeHeartbeat(String incarnation, long seen) {
    return Json.object().put(NAME, incarnation).put(SEEN, seen);
  }

  /**
   * Reads the name of the incarnation that the writer of a heartbeat knew.
   *
   * @throws MalformedInputException if the value is none of a heartbeat
   */
  public static String readHeartbeatIncarnation(JsonNode json) {
    return Json.text(json, NAME);
  }

  /**
   * Reads the highest revision that the writer of a heartbeat had seen.
   *
   * @throws MalformedInputException if the value is none of a heartbeat
   */
  public static long readHeartbeatSeen(JsonNode json) {
    return Json.whole(json, SEEN);
  }

  /** The key that every transaction of an incarnation conditions on. */
  public static String fence(StoreIncarnation incarnation) {
    return FENCE + incarnation.name();
  }

  /**
   * The prefix of a snapshot's block keys.
   *
   * @param base name of the snapshot
   */
  public static String blocks(String base) {
    return BLOCK + base + "/";
  }

  /**
   * The key of one block. Keys sort as their blocks do.
   *
   * @param base name of the snapshot
   * @param index position of the block, from 0
   */
  public static String block(String base, int index) {
    return blocks(base) + String.format("%06d", index);
  }

  /** The value that describes an incarnation. */
  public static ObjectNode write(StoreIncarnation incarnation) {
    ObjectNode json =
        Json.object().put(NAME, incarnation.name()).put(EPOCH_FLOOR, incarnation.epochFloor());
    if (incarnation.snapshotName() != null) {
      json.put(SNAPSHOT, incarnation.snapshotName())
          .put(BLOCK_COUNT, incarnation.blockCount())
          .put(CRC, incarnation.crc())
          .put(SINCE, incarnation.since());
    }
    ArrayNode predecessors = json.putArray(PREDECESSORS);
    incarnation.predecessors().forEach(predecessors::add);
    return json;
  }

  /**
   * Reads the value that describes an incarnation.
   *
   * @param modRevision modification revision of its key
   * @throws MalformedInputException if the value is not an incarnation's
   */
  public static StoreIncarnation read(JsonNode json, long modRevision) {
    List<String> predecessors = new ArrayList<>();
    for (JsonNode name : Json.need(json, PREDECESSORS)) {
      predecessors.add(name.asText());
    }
    boolean hasSnapshot = Json.opt(json, SNAPSHOT) != null;
    return new StoreIncarnation(
        Json.text(json, NAME),
        modRevision,
        Json.whole(json, EPOCH_FLOOR),
        hasSnapshot ? Json.text(json, SNAPSHOT) : null,
        hasSnapshot ? (int) Json.whole(json, BLOCK_COUNT) : 0,
        hasSnapshot ? Json.whole(json, CRC) : 0,
        hasSnapshot ? Json.whole(json, SINCE) : 0,
        predecessors);
  }

  /**
   * The announcement of a new job to the leader: the value of the job's key with the incarnation
   * and the revision that wrote it.
   */
  public static ObjectNode announcement(ObjectNode value, String incarnation, long epoch) {
    return value.deepCopy().put(ANNOUNCED_INCARNATION, incarnation).put(ANNOUNCED_EPOCH, epoch);
  }

  /**
   * The incarnation that an {@link #announcement} names; empty if a version that knew no
   * incarnations sent it.
   */
  public static String announcedIncarnation(JsonNode json) {
    return json.path(ANNOUNCED_INCARNATION).asText("");
  }

  /**
   * The revision that an {@link #announcement} names.
   *
   * @throws MalformedInputException if it names none
   */
  public static long announcedEpoch(JsonNode json) {
    return Json.whole(json, ANNOUNCED_EPOCH);
  }

  /** The value of a snapshot block: its bytes with their checksum. */
  public static ObjectNode writeBlock(byte[] bytes, long crc) {
    return Json.object().put(CRC, crc).put(BLOCK_BYTES, Base64.getEncoder().encodeToString(bytes));
  }

  /**
   * The checksum that a block's value states.
   *
   * @throws MalformedInputException if it states none
   */
  public static long readCrc(JsonNode json) {
    return Json.whole(json, CRC);
  }

  /**
   * The bytes of a block's value.
   *
   * @throws MalformedInputException if they are missing or not base64
   */
  public static byte[] readBlock(JsonNode json) {
    try {
      return Base64.getDecoder().decode(Json.text(json, BLOCK_BYTES));
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException(BLOCK_BYTES + ": not base64");
    }
  }
}
