package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.StoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes over the incarnation that the store holds, along with the snapshot that it began with. */
final class IncarnationAdopter {
  /** Logs under the name of the tracker, of which this class is a part. */
  private static final Logger LOG = LoggerFactory.getLogger(StoreIncarnationTracker.class);

  private final StoreClient store;
  private final IncarnationHost host;
  private final IncarnationKnowledge knowledge;
  private final PointerReader pointer;
  private final ContentsConfirmation confirmation;

  IncarnationAdopter(
      StoreClient store,
      IncarnationHost host,
      IncarnationKnowledge knowledge,
      PointerReader pointer,
      ContentsConfirmation confirmation) {
    this.store = store;
    this.host = host;
    this.knowledge = knowledge;
    this.pointer = pointer;
    this.confirmation = confirmation;
  }

  /**
   * After a loss an incarnation that was begun since is taken over if it was made from ours, or if
   * we know none, and so nothing that could be put in its place. The one that we knew, or one
   * before it, is what was restored from an earlier moment; one that was begun without what we know
   * is replaced by one with both.
   */
  boolean mayAdoptAfterLoss(StoreIncarnation stored) {
    StoreIncarnation known = knowledge.incarnation();
    if (known == null) {
      return !knowledge.isHeardToBeLost(stored);
    }
    return stored.follows(known);
  }

  /**
   * Takes over an incarnation, once its snapshot has been read.
   *
   * @param stored null if the store holds none
   */
  void adopt(StoreIncarnation stored) {
    // The snapshot of an incarnation that another controller has told of is not known here yet.
    if (stored == null || (knowledge.isSame(stored) && !knowledge.isTold())) {
      settle(stored, knowledge.baseSnapshot());
      return;
    }
    if (stored.snapshotName() == null) {
      settle(stored, BaseSnapshot.EMPTY);
      return;
    }
    int lossesBefore = knowledge.losses();
    store
        .list(IncarnationCodec.blocks(stored.snapshotName()))
        .onSuccess(
            found -> {
              boolean heardToBeLost = knowledge.isUnread() && knowledge.isHeardToBeLost(stored);
              if (knowledge.losses() != lossesBefore || heardToBeLost) {
                // What was read may be of contents that were lost meanwhile.
                pointer.readLater();
                return;
              }
              try {
                settle(stored, BaseSnapshotReader.read(stored, found.events()));
              } catch (MalformedInputException e) {
                reportUnusable(stored, e.getMessage());
              }
            })
        .onFailure(failure -> pointer.readLater());
  }

  /** Missing blocks are an error, unless the contents were replaced after the pointer was read. */
  private void reportUnusable(StoreIncarnation stored, String why) {
    store
        .get(IncarnationCodec.POINTER)
        .map(PointerReader::parse)
        .onSuccess(
            present -> {
              if (present.isPresent() && present.incarnation().name().equals(stored.name())) {
                LOG.error("store incarnation {} cannot be used: {}", stored.name(), why);
              } else {
                LOG.info("store incarnation {} was replaced while it was read", stored.name());
              }
            })
        .onComplete(read -> pointer.readLater());
  }

  /**
   * The store's contents are ours from now on, and every transaction conditions on the fence.
   *
   * @param incarnation null if the store holds none
   */
  void settle(StoreIncarnation incarnation, BaseSnapshot baseSnapshot) {
    if (incarnation != null) {
      store.setFence(IncarnationCodec.fence(incarnation), incarnation.modRevision());
    }
    confirmation.contentsKnown(incarnation != null);
    if (knowledge.settle(incarnation, baseSnapshot)) {
      LOG.info("store incarnation {}, epochs from {}", knowledge.name(), knowledge.epochFloor());
      host.incarnationSettled(baseSnapshot);
    }
  }
}
