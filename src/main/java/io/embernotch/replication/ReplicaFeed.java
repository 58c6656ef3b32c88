package io.embernotch.replication;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.PageSink;
import io.embernotch.store.StoreException;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fills this controller's replica from the store and keeps it current by watching the store's
 * changes. Updates that other controllers send only make the replica more current than the watch
 * does. The feed is inactive while this controller leads, since the leader's cluster state holds
 * more than the replica, and while data is lost, since the store's contents are not the replicated
 * ones then. Owned by the controller's event loop.
 */
public final class ReplicaFeed {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaFeed.class);

  /** Prefix of all keys: a single watch costs less than one for each prefix. */
  private static final String ALL_KEYS = "";

  private static final List<String> PREFIXES =
      List.of(
          JobProgressCodec.JOB,
          JobProgressCodec.SHARD,
          JobProgressCodec.REFINED_SHARD,
          JobProgressCodec.SHARED);

  /** Share of the store's request rate that the watches of all controllers together may use. */
  private static final double REQUEST_SHARE = 0.03;

  /** Longest wait of a watch request for a change, in heartbeat intervals. */
  private static final double LONG_POLL_HEARTBEATS = 3;

  /** A failed request is retried after a heartbeat interval divided by this. */
  private static final double RETRIES_PER_HEARTBEAT = 6;

  private static final int BYTES_PER_KIB = 1024;

  private enum State {
    /** Nothing is read; the replica stays as it is. */
    RESTING,
    /** The store can't be read yet; updates of other controllers are applied. */
    AWAITING_STORE,
    /** The store's contents are being read. */
    FILLING,
    /** All contents have been read; the store's changes are watched. */
    FOLLOWING
  }

  private final ControllerContext context;
  private final StoreReplica replica;
  private final double pauseS;
  private final double longPollS;
  private final double retryS;
  private State state = State.RESTING;
  private boolean filled;

  /**
   * Incremented at each start and stop, so that responses to earlier requests are dropped. A loss
   * does not change it, so that pages that were requested before the loss are still added.
   */
  private int generation;

  /** Creates an inactive feed. */
  public ReplicaFeed(ControllerContext context, StoreReplica replica) {
    this.context = context;
    this.replica = replica;
    double heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
    int controllers = 1 + context.settings().members().size();
    this.pauseS = controllers / (REQUEST_SHARE * context.settings().minStoreLimits().rps());
    this.longPollS = LONG_POLL_HEARTBEATS * heartbeatIntervalS;
    this.retryS = heartbeatIntervalS / RETRIES_PER_HEARTBEAT;
  }

  /** Whether this feed has filled the replica since it was last started or cleared. */
  public boolean isFilled() {
    return filled;
  }

  /** Whether the replica is filled and the store's changes are being watched. */
  public boolean isFollowing() {
    return state == State.FOLLOWING;
  }

  /** Whether updates of other controllers are to be applied to the replica. */
  public boolean isActive() {
    return state != State.RESTING;
  }

  /**
   * Clears the replica and applies only updates of other controllers, since this controller can't
   * read the store yet.
   */
  public void awaitStore() {
    generation++;
    replica.reset(BaseSnapshot.EMPTY);
    replica.beginFilling();
    state = State.AWAITING_STORE;
    filled = false;
  }

  /**
   * Clears the replica and reads the store again.
   *
   * @param base snapshot that the store's incarnation began with
   */
  public void begin(BaseSnapshot base) {
    replica.reset(base);
    replica.beginFilling();
    state = State.FILLING;
    filled = false;
    fill(++generation);
  }

  /** Stops reading the store; the replica stays as it is. */
  public void rest() {
    generation++;
    state = State.RESTING;
  }

  /**
   * Called when the store has lost the contents that were being read. Sends no further requests and
   * keeps the replica. Pages that were requested before the loss and still arrive are added.
   */
  public void contentsLost() {
    state = State.RESTING;
  }

  /** Stops reading the store and clears the replica: this controller leads. */
  public void clear() {
    rest();
    filled = false;
    replica.reset(BaseSnapshot.EMPTY);
  }

  private boolean isCurrent(int begun) {
    return begun == generation && state != State.RESTING;
  }

  private void fill(int begun) {
    if (isCurrent(begun)) {
      read(begun, 0, Long.MAX_VALUE);
    }
  }

  /**
   * Reads the prefixes from an index on, and then watches changes.
   *
   * @param firstRevision lowest revision of the listings so far, from which to watch changes
   */
  private void read(int begun, int prefix, long firstRevision) {
    context
        .store()
        .forEachPage(PREFIXES.get(prefix), new ReplicaPages(begun))
        .onSuccess(revision -> prefixRead(begun, prefix, Math.min(firstRevision, revision)))
        .onFailure(failure -> context.timers().after(retryS, () -> fill(begun)));
  }

  private void prefixRead(int begun, int prefix, long firstRevision) {
    if (!isCurrent(begun)) {
      return;
    }
    if (prefix + 1 < PREFIXES.size()) {
      read(begun, prefix + 1, firstRevision);
      return;
    }
    state = State.FOLLOWING;
    filled = true;
    replica.filled();
    LOG.info(
        "replica of the store is filled: {} KiB, watching changes from revision {}",
        replica.bytes() / BYTES_PER_KIB,
        firstRevision);
    follow(begun, firstRevision);
  }

  /** Adds the pages of one listing to the replica. */
  private final class ReplicaPages implements PageSink {
    private final int begun;

    ReplicaPages(int begun) {
      this.begun = begun;
    }

    @Override
    public void page(List<VersionedEntry> entries) {
      if (isCurrent(begun)) {
        entries.forEach(replica::put);
      }
    }

    @Override
    public void pageAskedForBeforeLoss(List<VersionedEntry> entries) {
      if (begun == generation) {
        LOG.info("received {} entries that were requested before the loss", entries.size());
        entries.forEach(replica::put);
      }
    }
  }

  private void follow(int begun, long revision) {
    if (!isCurrent(begun)) {
      return;
    }
    context
        .store()
        .watch(ALL_KEYS, revision, longPollS)
        .onSuccess(changes -> changed(begun, revision, changes))
        .onFailure(failure -> watchFailed(begun, revision, failure));
  }

  private void changed(int begun, long revision, WatchEvents changes) {
    if (!isCurrent(begun)) {
      return;
    }
    LOG.debug("{} changes after revision {}", changes.events().size(), revision);
    changes.events().forEach(replica::put);
    long reached = Math.max(revision, changes.revision());
    context.timers().after(pauseS, () -> follow(begun, reached));
  }

  private void watchFailed(int begun, long revision, Throwable failure) {
    if (!isCurrent(begun)) {
      return;
    }
    LOG.debug("watch from revision {} failed: {}", revision, failure.getMessage());
    if (StoreException.kindOf(failure) == StoreException.Kind.TOO_OLD) {
      state = State.FILLING;
      fill(begun);
    } else {
      context.timers().after(retryS, () -> follow(begun, revision));
    }
  }
}
