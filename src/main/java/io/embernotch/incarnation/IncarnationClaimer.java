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
  private static final long SINCE_INCARNATION_START = 0;

  private final IncarnationState state;
  private final PointerReader pointer;
  private final StoreRestorer restorer;
  private final Supplier<String> nameGenerator;

  /** The incarnation that the pending claim begins; null if it keeps the current one. */
  private StoreIncarnation pendingIncarnation;

  /**
   * @param nameGenerator generates globally unique names
   */
  IncarnationClaimer(
      IncarnationState state,
      PointerReader pointer,
      StoreRestorer restorer,
      Supplier<String> nameGenerator) {
    this.state = state;
    this.pointer = pointer;
    this.restorer = restorer;
    this.nameGenerator = nameGenerator;
  }

  /** See {@link io.embernotch.election.Candidacy#claim}. */
  Claim claim(Transaction transaction) {
    pendingIncarnation = nextIncarnation();
    if (pendingIncarnation == null) {
      return new Claim(state.name(), state.epochFloor(), 0);
    }
    StoredPointer replaced = pointer.latest();
    transaction.unfenced().when(IncarnationCodec.POINTER, replaced.modRevision());
    if (state.isDataLost()) {
      // If data was lost again after the blocks were written, they are missing. The last block was
      // written last, so a store that holds it holds all blocks.
      PreparedSnapshot prepared = restorer.prepared();
      transaction.when(
          IncarnationCodec.blockKey(prepared.name(), prepared.blockCount() - 1),
          prepared.lastModRevision());
    }
    if (replaced.isPresent()) {
      transaction.delete(IncarnationCodec.fenceKey(replaced.incarnation()));
    }
    transaction
        .write(IncarnationCodec.POINTER, IncarnationCodec.write(pendingIncarnation))
        .write(
            IncarnationCodec.fenceKey(pendingIncarnation),
            IncarnationCodec.write(pendingIncarnation));
    double graceS = state.isDataLost() ? restorer.formerLeaderGraceS() : 0;
    return new Claim(pendingIncarnation.name(), pendingIncarnation.epochFloor(), graceS);
  }

  /**
   * Records that the pending claim has succeeded, at this modification revision.
   *
   * @return the incarnation that the claim has begun; empty if it kept the current one
   */
  Optional<StoreIncarnation> claimSucceeded(long modRevision) {
    Optional<StoreIncarnation> begun =
        Optional.ofNullable(pendingIncarnation).map(incarnation -> incarnation.at(modRevision));
    pendingIncarnation = null;
    return begun;
  }

  /** Whether a claim that begins an incarnation is pending. */
  boolean isBeginningIncarnation() {
    return pendingIncarnation != null;
  }

  /** Discards the pending claim; returns true if it was to begin an incarnation. */
  boolean discardClaim() {
    boolean wasPending = pendingIncarnation != null;
    pendingIncarnation = null;
    return wasPending;
  }

  /** The incarnation that the next claim begins; null if it keeps the current one. */
  private StoreIncarnation nextIncarnation() {
    if (state.isDataLost()) {
      return restoredIncarnation(restorer.prepared());
    }
    if (!state.hasIncarnation()) {
      return firstIncarnation();
    }
    return state.isBehindHighestEpoch() ? incarnationWithRaisedEpochs(state.incarnation()) : null;
  }

  private StoreIncarnation restoredIncarnation(PreparedSnapshot prepared) {
    state.observeEpoch(prepared.snapshot().getEpoch());
    return new StoreIncarnation(
        prepared.name(),
        UNWRITTEN,
        state.raisedEpochFloor(),
        prepared.name(),
        prepared.blockCount(),
        prepared.crc(),
        SINCE_INCARNATION_START,
        predecessors(prepared));
  }

  private StoreIncarnation firstIncarnation() {
    return new StoreIncarnation(
        nameGenerator.get(),
        UNWRITTEN,
        state.isBehindHighestEpoch() ? state.raisedEpochFloor() : 0,
        null,
        0,
        0,
        SINCE_INCARNATION_START,
        List.of());
  }

  /** The same contents under another name, with epochs above every epoch that was observed. */
  private StoreIncarnation incarnationWithRaisedEpochs(StoreIncarnation current) {
    return new StoreIncarnation(
        nameGenerator.get(),
        UNWRITTEN,
        state.raisedEpochFloor(),
        current.snapshotName(),
        current.blockCount(),
        current.crc(),
        current.since(),
        current.lineage());
  }

  /**
   * The predecessors of an incarnation that begins after a data loss: the lineage that this
   * controller knows, the incarnations that other controllers knew, and the lineage in the store.
   */
  private List<String> predecessors(PreparedSnapshot prepared) {
    List<String> names =
        new ArrayList<>(state.hasIncarnation() ? state.incarnation().lineage() : List.of());
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
