package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.settings.Settings;
import io.embernotch.snapshot.SnapshotBlocks;
import io.embernotch.snapshot.SnapshotMerge;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.Transaction;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a snapshot of the lost contents to the store. The snapshot is split into blocks under a
 * new unique name, so that no block can be mistaken for part of another snapshot. It takes effect
 * only when an incarnation begins with it.
 */
public final class StoreRestorer {
  private static final Logger LOG = LoggerFactory.getLogger(StoreRestorer.class);

  /** Controllers that did not lead last wait for a worker's lease divided by this. */
  private static final double FORMER_LEADER_WAITS_PER_LEASE = 3;

  /** Reads are retried after the leader's lease divided by this. */
  private static final double READ_RETRIES_PER_LEASE = 4;

  /** Failed writes are retried after the leader's lease divided by this. */
  private static final double WRITE_RETRIES_PER_LEASE = 16;

  /** Bytes that a block takes in a transaction in addition to its base64. */
  private static final int BLOCK_OVERHEAD_BYTES = 200;

  private static final int BYTES_PER_KB = 1024;

  private static final long MS_PER_S = 1000;

  /** Provides the lost contents. */
  public interface Source {
    /**
     * The state at the end of the term that this node led last, if that is provably the last term
     * of all controllers: its lease was still valid when the data loss was detected. Asks no other
     * controller. Empty if there is no such proof.
     *
     * @param detectedAt when the data loss was detected, in seconds of the steady clock
     */
    Optional<ClusterSnapshot> lastLeaderState(double detectedAt);

    /**
     * Merges what this controller knows with what all controllers that answer know. Completes
     * within a bounded time and does not fail.
     *
     * @param lossEpoch the epoch that identifies the data loss
     */
    Future<RestorableState> gather(long lossEpoch);

    /** The newest usable snapshot file; null if there is none. Blocks the calling thread. */
    ClusterSnapshot newestStoredSnapshot();
  }

  /**
   * What the controllers know of the lost contents.
   *
   * @param state all jobs with their progress
   * @param fromLastLeader whether the state is provably that of the last leader, so that no start
   *     of a task is missing from it
   * @param highestEpoch highest epoch of a leader that any controller that answered has observed
   * @param incarnations names of the store incarnations that other controllers knew
   * @param othersMayKnowMore whether a later attempt may yield more, or another controller may
   *     restore more itself: some controller has not answered, or may have led last
   */
  public record RestorableState(
      ClusterSnapshot state,
      boolean fromLastLeader,
      long highestEpoch,
      List<String> incarnations,
      boolean othersMayKnowMore) {}

  private final ControllerContext context;
  private final Source source;
  private final double leaseTtlS;
  private final IncarnationState state;
  private final DoubleSupplier storeAnsweringForS;

  /** The snapshot in the store that an incarnation may begin with; null while there is none. */
  private PreparedSnapshot prepared;

  /** Whether this node led last, so that the snapshot is of its own term. */
  private boolean ledLast;

  /** Number of the latest attempt to restore; a new attempt cancels all earlier ones. */
  private int latestAttempt;

  /**
   * @param leaseTtlS time to live of a leader's lease, in seconds
   * @param state knows whether data is still lost
   * @param storeAnsweringForS seconds for which the store has answered without a failure
   */
  StoreRestorer(
      ControllerContext context,
      Source source,
      double leaseTtlS,
      IncarnationState state,
      DoubleSupplier storeAnsweringForS) {
    this.context = context;
    this.source = source;
    this.leaseTtlS = leaseTtlS;
    this.state = state;
    this.storeAnsweringForS = storeAnsweringForS;
  }

  /** The snapshot that an incarnation may begin with; null while there is none. */
  PreparedSnapshot prepared() {
    return prepared;
  }

  /**
   * Seconds after a claim for which a leader from before the data loss may still consider its lease
   * valid.
   */
  double formerLeaderGraceS() {
    return ledLast ? 0 : leaseTtlS * (1 + 2 * Settings.DRIFT);
  }

  /**
   * Starts an attempt to restore the lost contents, and cancels earlier attempts. If this node
   * provably led last, it asks the other controllers once and restores its own state, which
   * includes every start of a task. Otherwise it gives the others time to answer or to restore the
   * store themselves, and then restores the merged state.
   *
   * @param detectedAt when the data loss was detected, in seconds of the steady clock
   */
  void begin(double detectedAt) {
    prepared = null;
    int attempt = ++latestAttempt;
    Optional<ClusterSnapshot> ownState =
        state.hasLostObservedContents() ? source.lastLeaderState(detectedAt) : Optional.empty();
    ledLast = ownState.isPresent();
    if (ledLast) {
      restoreLastLeader(attempt, ownState.get());
    } else {
      gather(attempt, gatherDeadline());
    }
  }

  /** Ends the current attempt, if there is one, since an incarnation has begun. */
  void finish() {
    latestAttempt++;
    prepared = null;
  }

  private boolean isCurrent(int attempt) {
    return attempt == latestAttempt && state.isDataLost() && !state.isLossResolved();
  }

  /**
   * Restores the state that this node had as the last leader. Adds jobs that other controllers
   * accepted and could not announce to the leader before the data loss.
   */
  private void restoreLastLeader(int attempt, ClusterSnapshot ledState) {
    LOG.info("restoring the state that this node had as leader of epoch {}", ledState.getEpoch());
    source
        .gather(state.lossEpoch())
        .onSuccess(
            gathered -> {
              if (isCurrent(attempt) && gathered.highestEpoch() > ledState.getEpoch()) {
                ledLast = false;
                stateGathered(attempt, gatherDeadline(), gathered);
              } else if (isCurrent(attempt)) {
                prepare(
                    attempt,
                    SnapshotMerge.supplemented(ledState, gathered.state()),
                    gathered.incarnations());
              }
            })
        .onFailure(
            failure -> {
              LOG.error("cannot use what the other controllers know: {}", failure.toString());
              prepare(attempt, ledState, List.of());
            });
  }

  /**
   * Asks all other controllers repeatedly, until their state is complete or the {@code deadline}.
   */
  private void gather(int attempt, double deadline) {
    if (isCurrent(attempt)) {
      source
          .gather(state.lossEpoch())
          .onSuccess(gathered -> stateGathered(attempt, deadline, gathered))
          .onFailure(failure -> gatherAfterFailure(attempt, deadline, failure));
    }
  }

  /**
   * Whether the store has only just begun to answer again. A controller that was isolated or paused
   * while it was to wait for the others must first find out whether they have restored the store.
   */
  private boolean storeJustRecovered() {
    return storeAnsweringForS.getAsDouble() < context.settings().workers().heartbeatIntervalS();
  }

  private void gatherAfterFailure(int attempt, double deadline, Throwable failure) {
    LOG.error("cannot merge what the controllers know: {}", failure.toString());
    context.timers().after(leaseTtlS / READ_RETRIES_PER_LEASE, () -> gather(attempt, deadline));
  }

  /** When to stop waiting for other controllers to answer or to restore the store themselves. */
  private double gatherDeadline() {
    double waitS = context.settings().workers().leaseS() / FORMER_LEADER_WAITS_PER_LEASE;
    return context.clock().now() + waitS;
  }

  private void stateGathered(int attempt, double deadline, RestorableState gathered) {
    if (!isCurrent(attempt)) {
      return;
    }
    if (gathered.fromLastLeader()) {
      ledLast = true;
      LOG.info(
          "all other controllers confirm that nobody has led since epoch {}",
          gathered.state().getEpoch());
      prepare(attempt, gathered.state(), gathered.incarnations());
    } else if (gathered.othersMayKnowMore()
        && (context.clock().now() < deadline || storeJustRecovered())) {
      context.timers().after(leaseTtlS / READ_RETRIES_PER_LEASE, () -> gather(attempt, deadline));
    } else {
      restoreWithoutFormerLeader(attempt, gathered.state(), gathered.incarnations());
    }
  }

  private void restoreWithoutFormerLeader(
      int attempt, ClusterSnapshot known, List<String> incarnations) {
    ClusterSnapshot stored = source.newestStoredSnapshot();
    LOG.warn(
        "no former leader has restored the store: merging its remaining contents, {} jobs and"
            + " {} ended jobs that controllers know, and {}",
        known.getJobCount(),
        known.getEndedCount(),
        describe(stored));
    prepareWithRemaining(
        attempt, stored == null ? known : SnapshotMerge.of(known, stored), incarnations);
  }

  private String describe(ClusterSnapshot stored) {
    if (stored == null) {
      return "no snapshot";
    }
    long ageS = (context.clock().wallMs() - stored.getWallMs()) / MS_PER_S;
    return "a snapshot of epoch " + stored.getEpoch() + ", " + ageS + " s old";
  }

  /**
   * Merges what the controllers know with the remaining contents of the store, since neither is
   * necessarily newer. The result is marked incomplete: there may be running tasks and accepted
   * jobs that no controller knows.
   */
  private void prepareWithRemaining(int attempt, ClusterSnapshot known, List<String> incarnations) {
    if (!isCurrent(attempt)) {
      return;
    }
    RemainingContentsReader.read(context.store())
        .onSuccess(
            remaining ->
                prepare(attempt, markIncomplete(SnapshotMerge.of(remaining, known)), incarnations))
        .onFailure(
            failure ->
                context
                    .timers()
                    .after(
                        leaseTtlS / READ_RETRIES_PER_LEASE,
                        () -> prepareWithRemaining(attempt, known, incarnations)));
  }

  private ClusterSnapshot markIncomplete(ClusterSnapshot snapshot) {
    return snapshot.toBuilder()
        .setComplete(false)
        .setJobsMissing(true)
        .setWallMs(context.clock().wallMs())
        .build();
  }

  /** {@code incarnations}: those that other controllers knew, whose contents the snapshot holds. */
  private void prepare(int attempt, ClusterSnapshot snapshot, List<String> incarnations) {
    String name = context.nameGenerator().get();
    int valueBytes = (int) (context.settings().minStoreLimits().valueKb() * BYTES_PER_KB);
    SnapshotBlocks packed = SnapshotBlocks.pack(snapshot, valueBytes);
    int blockCount = packed.blocks().size();
    LOG.info(
        "restoring {} jobs and {} ended jobs in {} blocks",
        snapshot.getJobCount(),
        snapshot.getEndedCount(),
        blockCount);
    PreparedSnapshot unwritten =
        new PreparedSnapshot(name, snapshot, incarnations, blockCount, packed.crc(), 0);
    writeBlocks(attempt, unwritten, packed.blocks(), 0);
  }

  /** Writes the blocks from this index on, as many as fit into each transaction. */
  private void writeBlocks(int attempt, PreparedSnapshot snapshot, List<byte[]> blocks, int from) {
    if (!isCurrent(attempt)) {
      return;
    }
    if (from == blocks.size()) {
      prepared = snapshot;
      return;
    }
    Transaction transaction = new Transaction().unfenced();
    int next = addBlocks(transaction, snapshot.name(), blocks, from);
    // Retries are idempotent: if an answer is lost, the next transaction writes the same blocks.
    context
        .store()
        .commit(transaction, RequestPriority.HIGH)
        .onSuccess(
            result -> writeBlocks(attempt, snapshot.writtenAt(result.revision()), blocks, next))
        .onFailure(
            failure ->
                context
                    .timers()
                    .after(
                        leaseTtlS / WRITE_RETRIES_PER_LEASE,
                        () -> writeBlocks(attempt, snapshot, blocks, from)));
  }

  /** Adds blocks from this index on to a transaction; returns the index of the first left out. */
  private int addBlocks(Transaction transaction, String name, List<byte[]> blocks, int from) {
    int maxChanges = context.settings().minStoreLimits().txnOps();
    int bytes = 0;
    int index = from;
    while (index < blocks.size() && index - from < maxChanges) {
      byte[] block = blocks.get(index);
      // Base64 encodes three bytes as four.
      bytes += block.length * 4 / 3 + BLOCK_OVERHEAD_BYTES;
      if (index > from && bytes > Transaction.MAX_BYTES) {
        break;
      }
      transaction.write(
          IncarnationCodec.blockKey(name, index),
          IncarnationCodec.writeBlock(block, SnapshotBlocks.crc32(block)));
      index++;
    }
    return index;
  }
}
