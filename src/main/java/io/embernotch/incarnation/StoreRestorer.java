package io.embernotch.incarnation;

import io.embernotch.codec.IncarnationCodec;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.settings.Settings;
import io.embernotch.snapshot.SnapshotBlocks;
import io.embernotch.snapshot.SnapshotMerge;
import io.embernotch.snapshot.StateSnapshot;
import io.embernotch.snapshot.proto.SnapshotProto.ClusterSnapshot;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.Transaction;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a copy of what was lost into the store, as blocks under a name that no incarnation has
 * had, so that nothing there can be taken for part of another copy. It counts only once an
 * incarnation is begun with it.
 */
public final class StoreRestorer {
  private static final Logger LOG = LoggerFactory.getLogger(StoreRestorer.class);

  /** Where the copy comes from. */
  public interface Source {
    /**
     * What this node was leader of when the data was lost; null if it was not, or another has been
     * since.
     */
    ClusterSnapshot lastLeaderSnapshot();

    /** The newest snapshot that may be used; null if there is none. Blocks. */
    ClusterSnapshot newestStoredSnapshot();
  }

  /** A copy that lies in the store. */
  record Prepared(String name, ClusterSnapshot copy, int blocks, long crc, long lastModRevision) {}

  private final ControllerContext context;
  private final Source source;
  private final double leaseTtlS;
  private final BooleanSupplier needed;
  private Prepared prepared;
  private boolean ownTerm;

  /** Attempts are numbered: a later one ends those before it. */
  private int attempt;

  /**
   * @param lifeS life of a leader's lease in seconds
   */
  StoreRestorer(
      ControllerContext context, Source source, double leaseTtlS, BooleanSupplier needed) {
    this.context = context;
    this.source = source;
    this.leaseTtlS = leaseTtlS;
    this.needed = needed;
  }

  /** The copy that an incarnation may be begun with; null while none is there. */
  Prepared prepared() {
    return prepared;
  }

  /** This node has a copy of its own. */
  boolean hasSource() {
    return ownTerm;
  }

  /** A leader from before the loss may count itself live for so long after a claim. */
  double formerLeaderGraceS() {
    return ownTerm ? 0 : leaseTtlS * (1 + 2 * Settings.DRIFT);
  }

  /**
   * Data was lost. Whoever was leader goes first: it knows most, and nobody else can have led
   * meanwhile.
   */
  void begin() {
    prepared = null;
    int mine = ++attempt;
    ClusterSnapshot copy = source.lastLeaderSnapshot();
    ownTerm = copy != null;
    if (copy != null) {
      lead(mine, copy);
      return;
    }
    context
        .timers()
        .after(
            context.settings().workers().leaseS() / 3,
            () -> {
              if (mine == attempt && needed.getAsBoolean()) {
                // Tasks may run of which nobody here knows, so nothing that was left is started for
                // long.
                ClusterSnapshot kept = source.newestStoredSnapshot();
                LOG.warn(
                    "no former leader has restored the store: continuing with what is left there and {}",
                    kept == null ? "no snapshot" : "a snapshot of epoch " + kept.getEpoch());
                leadWithRemains(
                    mine,
                    kept == null ? ClusterSnapshot.newBuilder().setComplete(false).build() : kept);
              }
            });
  }

  /** Neither a snapshot nor what is left in the store need be the newer one: both count. */
  private void leadWithRemains(int mine, ClusterSnapshot kept) {
    StoreClient store = context.store();
    store
        .list(JobProgressCodec.JOB)
        .compose(
            jobs ->
                store
                    .list(JobProgressCodec.SHARD)
                    .compose(
                        runs ->
                            store
                                .list(JobProgressCodec.REFINED_SHARD)
                                .compose(
                                    parts ->
                                        store
                                            .list(JobProgressCodec.SHARED)
                                            .map(
                                                shared ->
                                                    StateSnapshot.of(jobs, runs, parts, shared)))))
        .onSuccess(left -> lead(mine, SnapshotMerge.of(left, kept)))
        .onFailure(
            e ->
                context
                    .timers()
                    .after(
                        leaseTtlS / 4,
                        () -> {
                          if (mine == attempt && needed.getAsBoolean()) {
                            leadWithRemains(mine, kept);
                          }
                        }));
  }

  void finish() {
    attempt++;
    prepared = null;
  }

  private void lead(int mine, ClusterSnapshot copy) {
    String name = context.names().get();
    SnapshotBlocks packed =
        SnapshotBlocks.pack(copy, (int) (context.settings().minStoreLimits().valueKb() * 1024));
    LOG.info(
        "restoring {} jobs and {} ends in {} blocks",
        copy.getJobCount(),
        copy.getEndedCount(),
        packed.blocks().size());
    write(mine, new Prepared(name, copy, packed.blocks().size(), packed.crc(), 0), packed, 0);
  }

  private void write(int mine, Prepared p, SnapshotBlocks packed, int from) {
    if (mine != attempt || !needed.getAsBoolean()) {
      return;
    }
    if (from == packed.blocks().size()) {
      prepared = p;
      return;
    }
    Transaction txn = new Transaction().unfenced();
    int bytes = 0;
    int to = from;
    for (;
        to < packed.blocks().size() && to - from < context.settings().minStoreLimits().txnOps();
        to++) {
      byte[] block = packed.blocks().get(to);
      bytes += block.length * 4 / 3 + 200;
      if (to > from && bytes > Transaction.MAX_BYTES) {
        break;
      }
      txn.write(
          IncarnationCodec.block(p.name(), to),
          IncarnationCodec.writeBlock(block, SnapshotBlocks.sum(block)));
    }
    int next = to;
    // Written again after an answer that did not come, it is the same.
    context
        .store()
        .commit(txn, RequestPriority.HIGH)
        .onSuccess(
            result ->
                write(
                    mine,
                    new Prepared(p.name, p.copy, p.blocks, p.crc, result.revision()),
                    packed,
                    next))
        .onFailure(e -> context.timers().after(leaseTtlS / 16, () -> write(mine, p, packed, from)));
  }
}
