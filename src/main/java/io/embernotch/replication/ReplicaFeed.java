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
 * Fills the replica of this controller from the store and keeps it current: once it has read all,
 * it follows the store's changes. What other controllers send beside that only makes the replica
 * newer. Rests while this controller leads, since the leader's cluster state holds more, and while
 * data is lost, since what the store holds then is not what was lost. Owned by the controller's
 * event loop.
 */
public final class ReplicaFeed {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaFeed.class);

  /** All keys: one watch costs less than one for each prefix. */
  private static final String ALL_KEYS = "";

  private static final List<String> PREFIXES =
      List.of(
          JobProgressCodec.JOB,
          JobProgressCodec.SHARD,
          JobProgressCodec.REFINED_SHARD,
          JobProgressCodec.SHARED);

  /** The watches of all controllers together take at most this share of the store's requests. */
  private static final double REQUEST_SHARE = 0.03;

  /** A watch waits for so many heartbeat intervals at most before it is renewed. */
  private static final double LONG_POLL_HEARTBEATS = 3;

  /** What failed is tried again after a heartbeat interval divided by this. */
  private static final double RETRIES_PER_HEARTBEAT = 6;

  private static final int BYTES_PER_KIB = 1024;

  private enum State {
    /** Nothing is read; what is held stays. */
    RESTING,
    /** Nothing is read yet; what other controllers send is taken. */
    AWAITING_STORE,
    /** All that the store holds is being read. */
    FILLING,
    /** All was read, and changes are followed. */
    FOLLOWING
  }

  private final ControllerContext context;
  private final StoreReplica replica;
  private final double pauseS;
  private final double longPollS;
  private final double retryS;
  private State state = State.RESTING;
  private boolean filled;

  /** Of each beginning and end of the feed; answers to requests from before it are dropped. */
  private int generation;

  /** A feed that rests. */
  public ReplicaFeed(ControllerContext context, StoreReplica replica) {
    this.context = context;
    this.replica = replica;
    double heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
    int controllers = 1 + context.settings().members().size();
    this.pauseS = controllers / (REQUEST_SHARE * context.settings().minStoreLimits().rps());
    this.longPollS = LONG_POLL_HEARTBEATS * heartbeatIntervalS;
    this.retryS = heartbeatIntervalS / RETRIES_PER_HEARTBEAT;
  }

  /** Whether the replica holds all that the store did when it was last followed. */
  public boolean isFilled() {
    return filled;
  }

  /** Whether all that the store held was read, and changes have been followed since. */
  public boolean isFollowing() {
    return state == State.FOLLOWING;
  }

  /** Whether entries that other controllers send belong into the replica. */
  public boolean isActive() {
    return state != State.RESTING;
  }

  /** Takes what other controllers send: this one can't read the store yet. */
  public void awaitStore() {
    generation++;
    replica.reset(BaseSnapshot.EMPTY);
    replica.beginFilling();
    state = State.AWAITING_STORE;
    filled = false;
  }

  /** Reads the store anew: it holds an incarnation that began with this snapshot. */
  public void begin(BaseSnapshot base) {
    replica.reset(base);
    replica.beginFilling();
    state = State.FILLING;
    filled = false;
    fill(++generation);
  }

  /** Reads nothing any more; what is held stays. */
  public void rest() {
    generation++;
    state = State.RESTING;
  }

  /**
   * The contents that were read are lost: nothing else is read, and what is held stays. What was
   * asked for before and is still on its way is added.
   */
  public void contentsLost() {
    state = State.RESTING;
  }

  /** Reads nothing any more and forgets what is held: this controller leads. */
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

  /** Reads the prefixes from this one on; changes after the first revision are followed. */
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
        "replica of the store: {} KiB, followed from revision {}",
        replica.bytes() / BYTES_PER_KIB,
        firstRevision);
    follow(begun, firstRevision);
  }

  /** Puts the pages of one reading into the replica. */
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
        LOG.info("{} entries that were asked for before the loss arrive after it", entries.size());
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
    LOG.debug("following from revision {} failed: {}", revision, failure.getMessage());
    if (StoreException.kindOf(failure) == StoreException.Kind.TOO_OLD) {
      state = State.FILLING;
      fill(begun);
    } else {
      context.timers().after(retryS, () -> follow(begun, revision));
    }
  }
}
