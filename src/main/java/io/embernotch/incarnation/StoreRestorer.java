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
 * Writes a snapshot of what was lost into the store, as blocks under a name that no incarnation has
 * had, so that nothing there can be taken for part of another snapshot. It counts only once an
 * incarnation is begun with it.
 */
public final class StoreRestorer {
  private static final Logger LOG = LoggerFactory.getLogger(StoreRestorer.class);

  /** Others than the former leader wait for a worker's lease divided by this. */
  private static final double FORMER_LEADER_ADVANTAGE_DIVISOR = 3;

  /** A read that failed is tried again after the leader's lease divided by this. */
  private static final double READ_RETRIES_PER_LEASE = 4;

  /** A write that failed is tried again after the leader's lease divided by this. */
  private static final double WRITE_RETRIES_PER_LEASE = 16;

  /** A block takes so many bytes of a transaction besides its base64. */
  private static final int BYTES_PER_BLOCK = 200;

  private static final int BYTES_PER_KB = 1024;

  private static final long MS_PER_S = 1000;

  /** Where the snapshot comes from. */
  public interface Source {
    /**
     * The state of the term that this node has led, if it is proven without asking anybody that
     * nobody has led since: the lease of the term could be proven when the loss was noticed.
     *
     * @param noticedAt when that was, by the steady clock
     */
    Optional<ClusterSnapshot> lastLeaderState(double noticedAt);

    /**
     * Puts together what this node and all others that answer know; completes within a bounded time
     * and does not fail.
     *
     * @param lossEpoch the epoch that names the loss
     */
    Future<RestorableState> gather(long lossEpoch);

    /** The newest snapshot file that may be used; null if there is none. Blocks. */
    ClusterSnapshot newestStoredSnapshot();
  }

  /**
   * What is known of the contents that were lost.
   *
   * @param state all jobs with their progress
   * @param fromLastLeader whether it is of the leader that led last, by proof, so that no start is
   *     missing from it
   * @param highestEpoch highest epoch of a leader that anybody who answered has seen or heard of
   * @param incarnations names of the store incarnations that the others knew
   * @param mayImprove whether others may soon know more, or put back more themselves: somebody has
   *     not answered, or may have led last
   */
  public record RestorableState(
      ClusterSnapshot state,
      boolean fromLastLeader,
      long highestEpoch,
      List<String> incarnations,
      boolean mayImprove) {}

  private final ControllerContext context;
  private final Source source;
  private final double leaseTtlS;
  private final IncarnationKnowledge knowledge;
  private final DoubleSupplier storeAnswersForS;

  /** Null while no snapshot lies in the store. */
  private PreparedSnapshot prepared;

  /** The snapshot is of the leader that led last, and that was this node. */
  private boolean wasLeader;

  /** Attempts are numbered: a later one ends those before it. */
  private int latestAttempt;

  /**
   * @param leaseTtlS time to live of a leader's lease in seconds
   * @param knowledge tells whether data is still lost
   * @param storeAnswersForS seconds for which the store has answered without a failure
   */
  StoreRestorer(
      ControllerContext context,
      Source source,
      double leaseTtlS,
      IncarnationKnowledge knowledge,
      DoubleSupplier storeAnswersForS) {
    this.context = context;
    this.source = source;
    this.leaseTtlS = leaseTtlS;
    this.knowledge = knowledge;
    this.storeAnswersForS = storeAnswersForS;
  }

  /** The snapshot that an incarnation may be begun with; null while none is there. */
  PreparedSnapshot prepared() {
    return prepared;
  }

  /** Seconds for which a leader from before the loss may count itself leader after a claim. */
  double formerLeaderGraceS() {
    return wasLeader ? 0 : leaseTtlS * (1 + 2 * Settings.DRIFT);
  }

  /**
   * Data was lost. Whoever is proven to have led last goes first: it knows of every start. Anybody
   * else asks all others, and goes on with what is known together.
   *
   * @param noticedAt when the loss was noticed, by the steady clock
   */
  void begin(double noticedAt) {
    prepared = null;
    int attempt = ++latestAttempt;
    Optional<ClusterSnapshot> ownState =
        knowledge.isLossSeen() ? source.lastLeaderState(noticedAt) : Optional.empty();
    wasLeader = ownState.isPresent();
    if (wasLeader) {
      restoreLastLeader(attempt, ownState.get());
    } else {
      gather(attempt, patientUntil());
    }
  }

  /** Ends the present attempt, if there is one: an incarnation has begun. */
  void finish() {
    latestAttempt++;
    prepared = null;
  }

  private boolean isCurrent(int attempt) {
    return attempt == latestAttempt && knowledge.isLost() && !knowledge.isLossOver();
  }

  /** The others may have accepted jobs that they could not make known to the leader in time. */
  private void restoreLastLeader(int attempt, ClusterSnapshot state) {
    LOG.info("the state that this node had as leader of epoch {} is restored", state.getEpoch());
    source
        .gather(knowledge.lossEpoch())
        .onSuccess(
            gathered -> {
              if (isCurrent(attempt) && gathered.highestEpoch() > state.getEpoch()) {
                wasLeader = false;
                gathered(attempt, patientUntil(), gathered);
              } else if (isCurrent(attempt)) {
                prepare(
                    attempt,
                    SnapshotMerge.supplemented(state, gathered.state()),
                    gathered.incarnations());
              }
            })
        .onFailure(
            failure -> {
              LOG.error("what the others know can't be used: {}", failure.toString());
              prepare(attempt, state, List.of());
            });
  }

  /** Asks all others, again and again until nothing can be gained by it or {@code until}. */
  private void gather(int attempt, double until) {
    if (isCurrent(attempt)) {
      source
          .gather(knowledge.lossEpoch())
          .onSuccess(gathered -> gathered(attempt, until, gathered))
          .onFailure(failure -> gatherAgain(attempt, until, failure));
    }
  }

  /**
   * A controller that was cut off or paused through all the time for which it waits for others is
   * to hear first what has become of them meanwhile.
   */
  private boolean isBackTooShortly() {
    return storeAnswersForS.getAsDouble() < context.settings().workers().heartbeatIntervalS();
  }

  private void gatherAgain(int attempt, double until, Throwable failure) {
    LOG.error("what is known can't be put together: {}", failure.toString());
    context.timers().after(leaseTtlS / READ_RETRIES_PER_LEASE, () -> gather(attempt, until));
  }

  /** Until when others may still answer, or restore the store themselves. */
  private double patientUntil() {
    double patienceS = context.settings().workers().leaseS() / FORMER_LEADER_ADVANTAGE_DIVISOR;
    return context.clock().now() + patienceS;
  }

  private void gathered(int attempt, double until, RestorableState gathered) {
    if (!isCurrent(attempt)) {
      return;
    }
    if (gathered.fromLastLeader()) {
      wasLeader = true;
      LOG.info(
          "all others confirm that nobody has led since epoch {}", gathered.state().getEpoch());
      prepare(attempt, gathered.state(), gathered.incarnations());
    } else if (gathered.mayImprove() && (context.clock().now() < until || isBackTooShortly())) {
      context.timers().after(leaseTtlS / READ_RETRIES_PER_LEASE, () -> gather(attempt, until));
    } else {
      restoreWithoutFormerLeader(attempt, gathered.state(), gathered.incarnations());
    }
  }

  private void restoreWithoutFormerLeader(
      int attempt, ClusterSnapshot known, List<String> incarnations) {
    ClusterSnapshot stored = source.newestStoredSnapshot();
    LOG.warn(
        "no former leader has restored the store: continuing with what is left there, {} jobs and"
            + " {} ends that controllers know, and {}",
        known.getJobCount(),
        known.getEndedCount(),
        describe(stored));
    prepareWithRemains(
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
   * Neither what is known nor what is left in the store need be the newer one: both count. Tasks
   * may run of which nobody here knows, and jobs may have been accepted.
   */
  private void prepareWithRemains(int attempt, ClusterSnapshot known, List<String> incarnations) {
    if (!isCurrent(attempt)) {
      return;
    }
    RemainsReader.read(context.store())
        .onSuccess(
            left -> prepare(attempt, incomplete(SnapshotMerge.of(left, known)), incarnations))
        .onFailure(
            failure ->
                context
                    .timers()
                    .after(
                        leaseTtlS / READ_RETRIES_PER_LEASE,
                        () -> prepareWithRemains(attempt, known, incarnations)));
  }

  private ClusterSnapshot incomplete(ClusterSnapshot snapshot) {
    return snapshot.toBuilder()
        .setComplete(false)
        .setJobsMissing(true)
        .setWallMs(context.clock().wallMs())
        .build();
  }

  /** {@code incarnations}: those that others knew, whose contents the snapshot holds too. */
  private void prepare(int attempt, ClusterSnapshot snapshot, List<String> incarnations) {
    String name = context.names().get();
    int valueBytes = (int) (context.settings().minStoreLimits().valueKb() * BYTES_PER_KB);
    SnapshotBlocks packed = SnapshotBlocks.pack(snapshot, valueBytes);
    int blocks = packed.blocks().size();
    LOG.info(
        "restoring {} jobs and {} ends in {} blocks",
        snapshot.getJobCount(),
        snapshot.getEndedCount(),
        blocks);
    PreparedSnapshot unwritten =
        new PreparedSnapshot(name, snapshot, incarnations, blocks, packed.crc(), 0);
    writeBlocks(attempt, unwritten, packed.blocks(), 0);
  }

  /** Writes the blocks from this one on, as many as fit into each transaction. */
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
    // A transaction that is sent again after an answer that did not come writes the same.
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

  /** Adds blocks from this one on to a transaction; returns the first that is not in it. */
  private int addBlocks(Transaction transaction, String name, List<byte[]> blocks, int from) {
    int maxChanges = context.settings().minStoreLimits().txnOps();
    int bytes = 0;
    int index = from;
    while (index < blocks.size() && index - from < maxChanges) {
      byte[] block = blocks.get(index);
      // Base64 makes four bytes of three.
      bytes += block.length * 4 / 3 + BYTES_PER_BLOCK;
      if (index > from && bytes > Transaction.MAX_BYTES) {
        break;
      }
      transaction.write(
          IncarnationCodec.block(name, index),
          IncarnationCodec.writeBlock(block, SnapshotBlocks.sum(block)));
      index++;
    }
    return index;
  }
}
