package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Adopts the incarnation that the store holds, together with its base snapshot. */
final class IncarnationAdopter {
  /** Uses the name of the tracker, which this class is a part of. */
  private static final Logger LOG = LoggerFactory.getLogger(StoreIncarnationTracker.class);

  private final StoreClient store;
  private final IncarnationHost host;
  private final IncarnationState state;
  private final PointerReader pointer;
  private final ContentsConfirmation confirmation;

  IncarnationAdopter(
      StoreClient store,
      IncarnationHost host,
      IncarnationState state,
      PointerReader pointer,
      ContentsConfirmation confirmation) {
    this.store = store;
    this.host = host;
    this.state = state;
    this.pointer = pointer;
    this.confirmation = confirmation;
  }

  /**
   * Whether an incarnation that the store holds after a data loss may be adopted. A successor of
   * the known incarnation may. The known incarnation or a predecessor of it shows a rollback. Any
   * other one began without what this controller knows, and is to be replaced by one that holds
   * both. If no incarnation is known, this controller has nothing to replace the stored one with,
   * and adopts it unless another controller has reported that it is lost.
   */
  boolean mayAdoptAfterLoss(StoreIncarnation stored) {
    StoreIncarnation known = state.incarnation();
    if (known == null) {
      return !state.isReportedLost(stored);
    }
    return stored.follows(known);
  }

  /**
   * Adopts an incarnation after reading its base snapshot.
   *
   * @param stored the incarnation in the store; null if it holds none
   */
  void adopt(StoreIncarnation stored) {
    // The base snapshot of an incarnation that another controller has reported is not read yet.
    if (stored == null || (state.isKnown(stored) && !state.isReportedOnly())) {
      adoptWithSnapshot(stored, state.baseSnapshot());
      return;
    }
    if (stored.snapshotName() == null) {
      adoptWithSnapshot(stored, BaseSnapshot.EMPTY);
      return;
    }
    int lossesBefore = state.lossCount();
    store
        .list(IncarnationCodec.blockKeyPrefix(stored.snapshotName()))
        .onSuccess(
            found -> {
              boolean reportedLost = state.isStoreUnread() && state.isReportedLost(stored);
              if (state.lossCount() != lossesBefore || reportedLost) {
                // The blocks may belong to contents that were lost meanwhile.
                pointer.readAfterDelay();
                return;
              }
              try {
                adoptWithSnapshot(stored, BaseSnapshotReader.read(stored, found.events()));
              } catch (MalformedInputException e) {
                logUnusable(stored, e.getMessage());
              }
            })
        .onFailure(failure -> pointer.readAfterDelay());
  }

  /** Logs damaged blocks as an error, unless another incarnation has replaced them meanwhile. */
  private void logUnusable(StoreIncarnation stored, String why) {
    store
        .get(IncarnationCodec.POINTER)
        .map(PointerReader::parse)
        .onSuccess(
            current -> {
              if (current.isPresent() && current.incarnation().name().equals(stored.name())) {
                LOG.error("store incarnation {} cannot be used: {}", stored.name(), why);
              } else {
                LOG.info("store incarnation {} was replaced while it was read", stored.name());
              }
            })
        .onComplete(read -> pointer.readAfterDelay());
  }

  /**
   * Adopts an incarnation whose base snapshot is known; from now on every transaction conditions on
   * its fence key.
   *
   * @param incarnation the incarnation; null if the store holds none
   */
  void adoptWithSnapshot(StoreIncarnation incarnation, BaseSnapshot baseSnapshot) {
    if (incarnation != null) {
      store.setFence(IncarnationCodec.fenceKey(incarnation), incarnation.modRevision());
    }
    confirmation.contentsRead(incarnation != null);
    if (state.recordAdopted(incarnation, baseSnapshot)) {
      LOG.info("store incarnation {}, epochs from {}", state.name(), state.epochFloor());
      host.incarnationAdopted(baseSnapshot);
    }
  }
}
