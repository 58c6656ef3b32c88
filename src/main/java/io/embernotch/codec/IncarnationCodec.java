package io.embernotch.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.model.StoreIncarnation;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Incarnations as the store keeps them: {@code incarnation} tells the present one, {@code
 * incarnation/NAME} is there as long as it lasts, and {@code block/NAME/K} is the K-th block of the
 * copy that it began with.
 */
public final class IncarnationCodec {
  public static final String POINTER = "era";
  private static final String FENCE = "era/";
  private static final String BLOCK = "block/";

  private IncarnationCodec() {}

  /** The key that every transaction of an incarnation conditions on. */
  public static String fence(StoreIncarnation incarnation) {
    return FENCE + incarnation.name();
  }

  /** The prefix of an incarnation's blocks. */
  public static String blocks(String base) {
    return BLOCK + base + "/";
  }

  /** Keys sort as their blocks do. */
  public static String block(String base, int index) {
    return blocks(base) + String.format("%06d", index);
  }

  public static ObjectNode write(StoreIncarnation incarnation) {
    ObjectNode json =
        Json.object().put("name", incarnation.name()).put("floor", incarnation.epochFloor());
    if (incarnation.snapshotName() != null) {
      json.put("base", incarnation.snapshotName())
          .put("blocks", incarnation.blockCount())
          .put("crc", incarnation.crc())
          .put("since", incarnation.since());
    }
    ArrayNode predecessors = json.putArray("after");
    incarnation.predecessors().forEach(predecessors::add);
    return json;
  }

  /**
   * @throws MalformedInputException if the value is not an incarnation's
   */
  public static StoreIncarnation read(JsonNode json, long modRevision) {
    List<String> predecessors = new ArrayList<>();
    for (JsonNode n : Json.need(json, "after")) {
      predecessors.add(n.asText());
    }
    boolean based = Json.opt(json, "base") != null;
    return new StoreIncarnation(
        Json.text(json, "name"),
        modRevision,
        Json.whole(json, "floor"),
        based ? Json.text(json, "base") : null,
        based ? (int) Json.whole(json, "blocks") : 0,
        based ? Json.whole(json, "crc") : 0,
        based ? Json.whole(json, "since") : 0,
        predecessors);
  }

  /**
   * The value of a new job's key with the incarnation and the revision that wrote it, for the
   * leader.
   */
  public static ObjectNode announcement(ObjectNode value, String incarnation, long epoch) {
    return value.deepCopy().put("era", incarnation).put("epoch", epoch);
  }

  /** The incarnation that {@link #told} names; "" if a version before incarnations sent it. */
  public static String announcedIncarnation(JsonNode json) {
    return json.path("era").asText("");
  }

  public static long announcedEpoch(JsonNode json) {
    return Json.whole(json, "epoch");
  }

  /** A block with its checksum. */
  public static ObjectNode writeBlock(byte[] bytes, long crc) {
    return Json.object().put("crc", crc).put("z", Base64.getEncoder().encodeToString(bytes));
  }

  public static long readCrc(JsonNode json) {
    return Json.whole(json, "crc");
  }

  /**
   * @throws MalformedInputException if it is not base64
   */
  public static byte[] readBlock(JsonNode json) {
    try {
      return Base64.getDecoder().decode(Json.text(json, "z"));
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException("z: not base64");
    }
  }
}
