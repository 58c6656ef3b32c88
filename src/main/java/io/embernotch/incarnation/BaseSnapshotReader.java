package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.snapshot.SnapshotBlocks;
import io.embernotch.store.VersionedEntry;
import java.util.ArrayList;
import java.util.List;

/** Reassembles the snapshot that an incarnation began with from its blocks in the store. */
public final class BaseSnapshotReader {
  private BaseSnapshotReader() {}

  /**
   * Reads the base snapshot of an incarnation.
   *
   * @param stored all entries under the key prefix of the incarnation's blocks, sorted by key
   * @throws MalformedInputException if a block is missing or damaged; a partial snapshot is never
   *     used
   */
  public static BaseSnapshot read(StoreIncarnation incarnation, List<VersionedEntry> stored) {
    List<byte[]> blocks = new ArrayList<>();
    for (VersionedEntry entry : stored) {
      blocks.add(readBlock(incarnation, entry, blocks.size()));
    }
    if (blocks.size() != incarnation.blockCount()) {
      throw new MalformedInputException(
          "the snapshot has " + blocks.size() + " of " + incarnation.blockCount() + " blocks");
    }
    SnapshotBlocks packed = new SnapshotBlocks(blocks, incarnation.crc());
    return new BaseSnapshot(packed.unpack(), incarnation.since());
  }

  private static byte[] readBlock(StoreIncarnation incarnation, VersionedEntry entry, int index) {
    byte[] block = IncarnationCodec.readBlock(entry.value());
    if (!entry.key().equals(IncarnationCodec.blockKey(incarnation.snapshotName(), index))
        || SnapshotBlocks.crc32(block) != IncarnationCodec.readBlockCrc(entry.value())) {
      throw new MalformedInputException("block " + index + " is missing or damaged");
    }
    return block;
  }
}
