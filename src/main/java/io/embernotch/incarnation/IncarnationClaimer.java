package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.election.Candidacy.Claim;
import io.embernotch.model.StoreIncarnation;
import io.embernotch.store.Transaction;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Adds the operations that begin an incarnation to a claim to leadership. A claim begins an
 * incarnation if there is none yet, after a data loss, and if an epoch was observed that the
 * current incarnation has not reached.
 */
final class IncarnationClaimer {
  /** Modification revision of an incarnation whose pointer is not written yet. */
  private static final long UNWRITTEN = 0;

  /** Value of {@code since} for a snapshot that was made when the incarnation began. */
  private static final long SINCE_BEGIN = 0;

  private final IncarnationKnowledge knowledge;
  private final PointerReader pointer;
  private final StoreRestorer restorer;
  private final Supplier<String> names;

  /** The incarnation that the pending claim begins; null if it keeps the current one. */
  private StoreIncarnation claimed;

  /**
   * @param names generates globally unique names
   */
  IncarnationClaimer(
      IncarnationKnowledge knowledge,
      PointerReader pointer,
      StoreRestorer restorer,
      Supplier<String> names) {
    this.knowledge = knowledge;
    this.pointer = pointer;
    this.restorer = restorer;
    this.names = names;
  }

  /** See {@link io.embernotch.election.Candidacy#claim}. */
  Claim claim(Transaction transaction) {
    claimed = nextIncarnation();
    if (claimed == null) {
      return new Claim(knowledge.name(), knowledge.epochFloor(), 0);
    }
    StoredPointer replaced = pointer.latest();
    transaction.unfenced().when(IncarnationCodec.POINTER, replaced.modRevision());
    if (knowledge.isLost()) {
      // If data was lost again after the blocks were written, they are missing. The last block was
      // written last, so a store that holds it holds all blocks.
      PreparedSnapshot prepared = restorer.prepared();
      transaction.when(
          IncarnationCodec.block(prepared.name(), prepared.blocks() - 1),
          prepared.lastModRevision());
    }
    if (replaced.isPresent()) {
      transaction.drop(IncarnationCodec.fence(replaced.incarnation()));
    }
    transaction
        .write(IncarnationCodec.POINTER, IncarnationCodec.write(claimed))
        .write(IncarnationCodec.fence(claimed), IncarnationCodec.write(claimed));
    double graceS = knowledge.isLost() ? restorer.formerLeaderGraceS() : 0;
    return new Claim(claimed.name(), claimed.epochFloor(), graceS);
  }

  /**
   * Records that the pending claim has succeeded, at this modification revision.
   *
   * @return the incarnation that the claim has begun; empty if it kept the current one
   */
  Optional<StoreIncarnation> succeeded(long modRevision) {
    Optional<StoreIncarnation> begun =
        Optional.ofNullable(claimed).map(incarnation -> incarnation.at(modRevision));
    claimed = null;
    return begun;
  }

  /** Whether a claim that begins an incarnation is pending. */
  boolean isClaiming() {
    return claimed != null;
  }

  /** Discards the pending claim; returns true if it was to begin an incarnation. */
  boolean discard() {
    boolean wasClaimed = claimed != null;
    claimed = null;
    return wasClaimed;
  }

  /** The incarnation that the next claim begins; null if it keeps the current one. */
  private StoreIncarnation nextIncarnation() {
    if (knowledge.isLost()) {
      return restoredIncarnation(restorer.prepared());
    }
    if (!knowledge.hasIncarnation()) {
      return firstIncarnation();
    }
    return knowledge.isBehind() ? raisedIncarnation(knowledge.incarnation()) : null;
  }

  private StoreIncarnation restoredIncarnation(PreparedSnapshot prepared) {
    knowledge.observeEpoch(prepared.snapshot().getEpoch());
    return new StoreIncarnation(
        prepared.name(),
        UNWRITTEN,
        knowledge.raisedEpochFloor(),
        prepared.name(),
        prepared.blocks(),
        prepared.crc(),
        SINCE_BEGIN,
        predecessors(prepared));
  }

  private StoreIncarnation firstIncarnation() {
    return new StoreIncarnation(
        names.get(),
        UNWRITTEN,
        knowledge.isBehind() ? knowledge.raisedEpochFloor() : 0,
        null,
        0,
        0,
        SINCE_BEGIN,
        List.of());
  }

  /** The same contents under another name, with epochs above every epoch that was observed. */
  private StoreIncarnation raisedIncarnation(StoreIncarnation present) {
    return new StoreIncarnation(
        names.get(),
        UNWRITTEN,
        knowledge.raisedEpochFloor(),
        present.snapshotName(),
        present.blockCount(),
        present.crc(),
        present.since(),
        present.lineage());
  }

  /**
   * The predecessors of an incarnation that begins after a data loss: the lineage that this
   * controller knows, the incarnations that other controllers knew, and the lineage in the store.
   */
  private List<String> predecessors(PreparedSnapshot prepared) {
    List<String> names =
        new ArrayList<>(knowledge.hasIncarnation() ? knowledge.incarnation().lineage() : List.of());
    prepared.incarnations().stream().filter(name -> !names.contains(name)).forEach(names::add);
    StoredPointer replaced = pointer.latest();
    if (replaced.isPresent()) {
      replaced.incarnation().lineage().stream()
          .filter(name -> !names.contains(name))
          .forEach(names::add);
    }
    return names;
  }
}
