package io.embernotch.jobs;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.persistence.JobEntryScan;
import io.embernotch.snapshot.BaseSnapshot;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.VersionedEntry;
import io.embernotch.store.WatchEvents;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads all entries of jobs and of shared state from the store, and retries until that succeeds.
 * Owned by the leader's event loop.
 */
public final class StoreLoader {
  private static final Logger LOG = LoggerFactory.getLogger(StoreLoader.class);

  /** Retries of a failed load per heartbeat interval. */
  private static final int RETRIES_PER_HEARTBEAT = 10;

  /** Receives the contents of the store. */
  public interface Sink {
    /** Called before each load; what was received before is obsolete. */
    void begin();

    /** Receives submissions, before the shards of these jobs. */
    void submissions(List<VersionedEntry> entries);

    /** Receives progress shards. */
    void shards(List<VersionedEntry> entries);

    /** Called when all shards of the jobs for which {@code isComplete} holds were received. */
    void jobsComplete(Predicate<String> isComplete);

    /**
     * Called after all submissions and progress shards were received.
     *
     * @param revision submissions after it may be missing
     */
    void complete(long revision, WatchEvents refinedShards, List<VersionedEntry> shared);
  }

  private final ControllerContext context;
  private final BaseSnapshot baseSnapshot;
  private final BooleanSupplier cancelled;

  /**
   * @param baseSnapshot the contents that the current store incarnation started with; entries of
   *     the store override them
   * @param cancelled whether the result is no longer needed
   */
  public StoreLoader(
      ControllerContext context, BaseSnapshot baseSnapshot, BooleanSupplier cancelled) {
    this.context = context;
    this.baseSnapshot = baseSnapshot;
    this.cancelled = cancelled;
  }

  /** Passes the contents to {@code sink}, and retries if the sink throws; stops once cancelled. */
  public void read(Sink sink) {
    if (cancelled.getAsBoolean()) {
      return;
    }
    sink.begin();
    OverlaidEntries entries = new OverlaidEntries(sink);
    new JobEntryScan(context.store(), RequestPriority.HIGH, cancelled, entries)
        .run()
        .compose(revision -> readRest(revision, entries, sink))
        .onFailure(
            e -> {
              LOG.info("reading the store failed: {}", e.getMessage());
              context.timers().after(retryDelayS(), () -> read(sink));
            });
  }

  private Future<Void> readRest(long revision, OverlaidEntries entries, Sink sink) {
    return context
        .store()
        .list(JobProgressCodec.REFINED_SHARD)
        .compose(
            refinedShards ->
                context
                    .store()
                    .list(JobProgressCodec.SHARED_STATE_PREFIX)
                    .map(
                        shared -> {
                          // Called within map, so that an exception of the sink is retried.
                          if (!cancelled.getAsBoolean()) {
                            entries.finish();
                            sink.complete(
                                revision,
                                baseSnapshot.overlay(JobProgressCodec.REFINED_SHARD, refinedShards),
                                baseSnapshot.overlayShared(shared));
                          }
                          return null;
                        }));
  }

  /**
   * Passes entries on, overlaid on the base snapshot: entries of jobs that the snapshot contains
   * are kept until all of them have been read, the others are passed on at once.
   */
  private final class OverlaidEntries implements JobEntryScan.Sink {
    private final Sink sink;
    private final List<VersionedEntry> overlaidSubmissions = new ArrayList<>();
    private final List<VersionedEntry> overlaidShards = new ArrayList<>();

    OverlaidEntries(Sink sink) {
      this.sink = sink;
    }

    @Override
    public void submissions(List<VersionedEntry> entries) {
      sink.submissions(withoutSnapshotJobs(entries, overlaidSubmissions));
    }

    @Override
    public void shards(List<VersionedEntry> entries) {
      sink.shards(withoutSnapshotJobs(entries, overlaidShards));
    }

    @Override
    public void rangeRead(Predicate<String> isComplete) {
      sink.jobsComplete(isComplete);
    }

    /** Moves the entries of jobs that the snapshot contains to {@code overlaid}. */
    private List<VersionedEntry> withoutSnapshotJobs(
        List<VersionedEntry> entries, List<VersionedEntry> overlaid) {
      List<VersionedEntry> others = new ArrayList<>(entries.size());
      for (VersionedEntry entry : entries) {
        String ref = JobEntryScan.refOf(entry);
        if (baseSnapshot.endedJob(ref) == null) {
          (baseSnapshot.containsJob(ref) ? overlaid : others).add(entry);
        }
      }
      return others;
    }

    /** Passes on the jobs of the snapshot. */
    void finish() {
      sink.submissions(overlay(JobProgressCodec.JOB_PREFIX, overlaidSubmissions));
      sink.shards(overlay(JobProgressCodec.SHARD, overlaidShards));
      sink.jobsComplete(ref -> true);
    }

    private List<VersionedEntry> overlay(String prefix, List<VersionedEntry> stored) {
      return baseSnapshot.overlay(prefix, new WatchEvents(0, stored)).events();
    }
  }

  private double retryDelayS() {
    return context.settings().workers().heartbeatIntervalS() / RETRIES_PER_HEARTBEAT;
  }
}
