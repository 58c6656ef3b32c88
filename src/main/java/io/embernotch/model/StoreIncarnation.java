package io.embernotch.model;

import java.util.ArrayList;
import java.util.List;

/**
 * One incarnation of what the store holds for us. It begins when the first leader finds nothing,
 * and anew after each loss of data.
 *
 * @param name no other incarnation has it
 * @param modRevision of its key, which every transaction of the incarnation conditions on
 * @param floor added to the modification revision of a leader's key to get its epoch: epochs go on
 *     rising when stamps begin again
 * @param base the name under which the packed copy lies that it began with; null: it began with
 *     nothing
 * @param blocks number of blocks of that copy
 * @param crc checksum of the whole copy
 * @param since keys of this modification revision or a lower one are older than that copy; 0: the
 *     incarnation's own modification revision
 * @param after names of the incarnations before it, the latest first
 */
public record StoreIncarnation(
    String name,
    long modRevision,
    long epochFloor,
    String snapshotName,
    int blockCount,
    long crc,
    long since,
    List<String> predecessors) {
  /**
   * Incarnations before one that are remembered: far more than there are between two looks at it.
   */
  private static final int REMEMBERED = 32;

  /**
   * True if whoever knew {@code other} may go over to this one, which was made from what that one
   * held.
   */
  public boolean follows(StoreIncarnation other) {
    return predecessors.contains(other.name);
  }

  /** The names that an incarnation after this one remembers. */
  public List<String> lineage() {
    List<String> out = new ArrayList<>(List.of(name));
    out.addAll(predecessors);
    return out.subList(0, Math.min(out.size(), REMEMBERED));
  }

  @Override
  public long since() {
    return since == 0 ? modRevision : since;
  }

  /** The same, begun at this modification revision. */
  public StoreIncarnation at(long newModRevision) {
    return new StoreIncarnation(
        name, newModRevision, epochFloor, snapshotName, blockCount, crc, since, predecessors);
  }
}
