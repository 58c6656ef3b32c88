package io.embernotch.replication;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.persistence.JobEntryScan;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.PageSink;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreException;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import java.util.List;
import java.util.function.Predicate;
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

  /** Prefixes that are read after the submissions and the progress shards. */
  private static final List<String> FURTHER_PREFIXES =
      List.of(JobProgressCodec.REFINED_SHARD, JobProgressCodec.SHARED_STATE_PREFIX);

  /** Share of the store's request rate that the watches of all controllers together may use. */
  private static final double WATCH_REQUEST_SHARE = 0.03;

  /** Longest wait of a watch request for a change, in heartbeat intervals. */
  private static final double LONG_POLL_HEARTBEATS = 3;

  /** A failed request is retried after a heartbeat interval divided by this. */
  private static final double RETRIES_PER_HEARTBEAT = 6;

  private static final int BYTES_PER_KIB = 1024;

  private enum State {
    /** Nothing is read; the replica stays as it is. */
    STOPPED,
    /** The store can't be read yet; updates of other controllers are applied. */
    AWAITING_STORE,
    /** The store's contents are being read. */
    FILLING,
    /** All contents have been read; the store's changes are watched. */
    FOLLOWING
  }

  private final ControllerContext context;
  private final StoreReplica replica;
  private final double watchPauseS;
  private final double longPollS;
  private final double retryDelayS;
  private State state = State.STOPPED;
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
    this.watchPauseS =
        controllers / (WATCH_REQUEST_SHARE * context.settings().minStoreLimits().rps());
    this.longPollS = LONG_POLL_HEARTBEATS * heartbeatIntervalS;
    this.retryDelayS = heartbeatIntervalS / RETRIES_PER_HEARTBEAT;
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
    return state != State.STOPPED;
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
   * @param baseSnapshot snapshot that the store's incarnation began with
   */
  public void start(BaseSnapshot baseSnapshot) {
    replica.reset(baseSnapshot);
    replica.beginFilling();
    state = State.FILLING;
    filled = false;
    fill(++generation);
  }

  /** Stops reading the store; the replica stays as it is. */
  public void stop() {
    generation++;
    state = State.STOPPED;
  }

  /**
   * Called when the store has lost the contents that were being read. Sends no further requests and
   * keeps the replica. Pages that were requested before the loss and still arrive are added.
   */
  public void stopAfterLoss() {
    state = State.STOPPED;
  }

  /** Stops reading the store and clears the replica: this controller leads. */
  public void clear() {
    stop();
    filled = false;
    replica.reset(BaseSnapshot.EMPTY);
  }

  private boolean isCurrent(int requestGeneration) {
    return requestGeneration == generation && state != State.STOPPED;
  }

  private void fill(int requestGeneration) {
    if (!isCurrent(requestGeneration)) {
      return;
    }
    ReplicaPages pages = new ReplicaPages(requestGeneration);
    new JobEntryScan(
            context.store(), RequestPriority.BACKGROUND, () -> !isCurrent(requestGeneration), pages)
        .run()
        .onSuccess(revision -> readFurtherPrefixes(pages, 0, revision))
        .onFailure(failure -> fillAgainLater(requestGeneration));
  }

  private void fillAgainLater(int requestGeneration) {
    context.timers().after(retryDelayS, () -> fill(requestGeneration));
  }

  /**
   * Reads the further prefixes from an index on, and then watches changes.
   *
   * @param firstRevision lowest revision of the listings so far, from which to watch changes
   */
  private void readFurtherPrefixes(ReplicaPages pages, int prefixIndex, long firstRevision) {
    if (!isCurrent(pages.requestGeneration)) {
      return;
    }
    if (prefixIndex == FURTHER_PREFIXES.size()) {
      filled(pages.requestGeneration, firstRevision);
      return;
    }
    context
        .store()
        .forEachPage(FURTHER_PREFIXES.get(prefixIndex), pages)
        .onSuccess(
            revision ->
                readFurtherPrefixes(pages, prefixIndex + 1, Math.min(firstRevision, revision)))
        .onFailure(failure -> fillAgainLater(pages.requestGeneration));
  }

  private void filled(int requestGeneration, long firstRevision) {
    state = State.FOLLOWING;
    filled = true;
    replica.finishFilling();
    LOG.info(
        "replica of the store is filled: {} KiB, watching changes from revision {}",
        replica.bytes() / BYTES_PER_KIB,
        firstRevision);
    follow(requestGeneration, firstRevision);
  }

  /** Adds the entries that are read while the replica is filled. */
  private final class ReplicaPages implements JobEntryScan.Sink, PageSink {
    private final int requestGeneration;

    ReplicaPages(int requestGeneration) {
      this.requestGeneration = requestGeneration;
    }

    @Override
    public void submissions(List<VersionedEntry> entries) {
      page(entries);
    }

    @Override
    public void shards(List<VersionedEntry> entries) {
      page(entries);
    }

    @Override
    public void rangeRead(Predicate<String> isComplete) {
      if (isCurrent(requestGeneration)) {
        replica.compactEndedJobs(isComplete);
      }
    }

    @Override
    public void page(List<VersionedEntry> entries) {
      if (isCurrent(requestGeneration)) {
        entries.forEach(replica::put);
      }
    }

    @Override
    public void pageRequestedBeforeLoss(List<VersionedEntry> entries) {
      if (requestGeneration == generation) {
        LOG.info("received {} entries that were requested before the loss", entries.size());
        entries.forEach(replica::put);
      }
    }
  }

  private void follow(int requestGeneration, long revision) {
    if (!isCurrent(requestGeneration)) {
      return;
    }
    context
        .store()
        .watch(ALL_KEYS, revision, longPollS)
        .onSuccess(changes -> handleChanges(requestGeneration, revision, changes))
        .onFailure(failure -> handleWatchFailure(requestGeneration, revision, failure));
  }

  private void handleChanges(int requestGeneration, long revision, WatchEvents changes) {
    if (!isCurrent(requestGeneration)) {
      return;
    }
    LOG.debug("{} changes after revision {}", changes.events().size(), revision);
    changes.events().forEach(replica::put);
    long seenRevision = Math.max(revision, changes.revision());
    context.timers().after(watchPauseS, () -> follow(requestGeneration, seenRevision));
  }

  private void handleWatchFailure(int requestGeneration, long revision, Throwable failure) {
    if (!isCurrent(requestGeneration)) {
      return;
    }
    LOG.debug("watch from revision {} failed: {}", revision, failure.getMessage());
    if (StoreException.kindOf(failure) == StoreException.Kind.TOO_OLD) {
      state = State.FILLING;
      fill(requestGeneration);
    } else {
      context.timers().after(retryDelayS, () -> follow(requestGeneration, revision));
    }
  }
}
