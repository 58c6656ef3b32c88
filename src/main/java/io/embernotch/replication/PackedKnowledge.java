package io.embernotch.replication;

import com.google.protobuf.InvalidProtocolBufferException;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.replication.proto.ReplicationProto.Knowledge;
import io.embernotch.snapshot.DeflatedParts;
import java.util.List;

/**
 * A {@link Knowledge} message, compressed and split into parts that each fit into a frame.
 *
 * @param parts the parts in order
 * @param crc CRC-32 over the bytes of all parts in order
 */
record PackedKnowledge(List<byte[]> parts, long crc) {
  /** Maximum size of a part; a connection accepts at least this much without congestion. */
  private static final int PART_BYTES = 32 * 1024;

  static PackedKnowledge of(Knowledge knowledge) {
    DeflatedParts deflated = DeflatedParts.of(knowledge.toByteArray(), PART_BYTES);
    return new PackedKnowledge(deflated.parts(), deflated.crc());
  }

  /**
   * Decompresses and parses the message.
   *
   * @throws MalformedInputException if a part is missing or damaged
   */
  Knowledge unpack() {
    try {
      return Knowledge.parseFrom(new DeflatedParts(parts, crc).bytes());
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedInputException("malformed knowledge: " + e.getMessage());
    }
  }
}
