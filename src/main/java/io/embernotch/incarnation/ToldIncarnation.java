package io.embernotch.incarnation;

import io.embernotch.model.StoreIncarnation;
import io.embernotch.store.StoreClient;
import java.util.Optional;

/**
 * What controllers tell each other of the incarnation that the store holds, for one that was
 * started while the store does not answer it. Such a controller can follow what the others commit,
 * and tells contents that were put back from present ones once it can read them.
 */
public final class ToldIncarnation {
  private final StoreClient store;
  private final IncarnationKnowledge knowledge;

  ToldIncarnation(StoreClient store, IncarnationKnowledge knowledge) {
    this.store = store;
    this.knowledge = knowledge;
  }

  /** The last incarnation that is known here, to be told to others; empty if there is none. */
  public Optional<StoreIncarnation> known() {
    return Optional.ofNullable(knowledge.incarnation());
  }

  /** The highest revision of that incarnation that was seen here. */
  public long highestRevision() {
    return knowledge.highestRevision();
  }

  /** Keys of this modification revision or a lower one are older than that incarnation. */
  public long since() {
    return known()
        .filter(incarnation -> incarnation.snapshotName() != null)
        .map(StoreIncarnation::since)
        .orElse(0L);
  }

  /** Whether this controller knows its incarnation from another one alone. */
  public boolean isOnlyTold() {
    return knowledge.isTold();
  }

  /**
   * Another controller tells of the store. What was read here counts for more. Revisions of an
   * incarnation that was told before may be higher than any of the one that has followed it.
   *
   * @param revision the highest revision of that incarnation that it has seen
   */
  public void observe(StoreIncarnation incarnation, long revision) {
    if (knowledge.observeTold(incarnation)) {
      store.discardIncarnation();
    }
    if (!knowledge.isLost() && knowledge.name().equals(incarnation.name())) {
      store.noteRevision(revision);
    }
  }
}
