package io.embernotch.model;

import java.util.ArrayList;
import java.util.List;

/**
 * One incarnation of the contents that the store holds for the controllers. The first one begins
 * when the first leader finds nothing, another after each loss of data.
 *
 * @param name unique among all incarnations
 * @param modRevision modification revision of its key, which every transaction of the incarnation
 *     conditions on
 * @param epochFloor added to the modification revision of a leader's key to get its epoch: epochs
 *     keep rising when revisions begin again
 * @param snapshotName name of the packed snapshot that it began with; null: it began with nothing
 * @param blockCount number of blocks of that snapshot
 * @param crc checksum of the whole snapshot
 * @param since keys of this modification revision or a lower one are older than that snapshot; 0:
 *     the incarnation's own modification revision
 * @param predecessors names of the incarnations before it, the latest first
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
   * Predecessors that an incarnation names: far more than can begin between two times that a
   * controller reads it.
   */
  private static final int MAX_PREDECESSORS = 32;

  /**
   * Whether a controller that knew {@code other} may go over to this incarnation, which was made
   * from the contents of that one.
   */
  public boolean follows(StoreIncarnation other) {
    return predecessors.contains(other.name);
  }

  /** The predecessors that the next incarnation names: this one and those before it. */
  public List<String> lineage() {
    List<String> names = new ArrayList<>(List.of(name));
    names.addAll(predecessors);
    return names.subList(0, Math.min(names.size(), MAX_PREDECESSORS));
  }

  @Override
  public long since() {
    return since == 0 ? modRevision : since;
  }

  /** The same incarnation, begun at this modification revision. */
  public StoreIncarnation at(long newModRevision) {
    return new StoreIncarnation(
        name, newModRevision, epochFloor, snapshotName, blockCount, crc, since, predecessors);
  }
}
