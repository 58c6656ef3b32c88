package io.embernotch.replication;

import com.google.protobuf.InvalidProtocolBufferException;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.snapshot.DeflatedParts;
import java.util.List;

/**
 * What a controller knows, compressed, in parts that each fit into a frame.
 *
 * @param crc checksum over all parts
 */
record PackedKnowledge(List<byte[]> parts, long crc) {
  /** A connection takes at least so much without being congested. */
  private static final int PART_BYTES = 32 * 1024;

  static PackedKnowledge of(Knowledge knowledge) {
    DeflatedParts deflated = DeflatedParts.of(knowledge.toByteArray(), PART_BYTES);
    return new PackedKnowledge(deflated.parts(), deflated.crc());
  }

  /**
   * Unpacks the knowledge.
   *
   * @throws MalformedInputException if it is damaged
   */
  Knowledge unpack() {
    try {
      return Knowledge.parseFrom(new DeflatedParts(parts, crc).bytes());
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedInputException("unreadable knowledge: " + e.getMessage());
    }
  }
}
