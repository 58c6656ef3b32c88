package io.embernotch.incarnation;

import io.embernotch.model.StoreIncarnation;
import io.embernotch.store.StoreClient;
import java.util.Optional;

/**
 * Exchanges the store's incarnation with other controllers, for a controller that was started while
 * the store does not answer it. Such a controller can replicate what the others commit, and detects
 * a rollback once it can read the store.
 */
public final class IncarnationExchange {
  private final StoreClient store;
  private final IncarnationState state;

  IncarnationExchange(StoreClient store, IncarnationState state) {
    this.store = store;
    this.state = state;
  }

  /** The incarnation that this controller knows and sends to others; empty if it knows none. */
  public Optional<StoreIncarnation> known() {
    return Optional.ofNullable(state.incarnation());
  }

  /** The highest revision of that incarnation that this controller has seen. */
  public long highestRevision() {
    return state.highestRevision();
  }

  /**
   * Keys of this modification revision or a lower one are older than that incarnation's base
   * snapshot; 0 if there is none.
   */
  public long since() {
    return known()
        .filter(incarnation -> incarnation.snapshotName() != null)
        .map(StoreIncarnation::since)
        .orElse(0L);
  }

  /** Whether the incarnation is known from other controllers only, not read from the store yet. */
  public boolean isReportedOnly() {
    return state.isReportedOnly();
  }

  /**
   * Records the incarnation that another controller knows. What this controller has read from the
   * store takes precedence. If the incarnation succeeds one that was reported before, the revisions
   * of the earlier one are discarded, since they may be higher.
   *
   * @param incarnation the incarnation that the other controller knows
   * @param revision the highest revision of that incarnation that the other controller has seen
   */
  public void observe(StoreIncarnation incarnation, long revision) {
    if (state.observeReported(incarnation)) {
      store.discardIncarnation();
    }
    if (!state.isDataLost() && state.name().equals(incarnation.name())) {
      store.recordRemoteRevision(revision);
    }
  }
}
