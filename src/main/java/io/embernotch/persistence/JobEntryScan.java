package io.embernotch.persistence;

import io.embernotch.codec.JobProgressCodec;
import io.embernotch.store.EntryPage;
import io.embernotch.store.PageSink;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.StoreException;
import io.embernotch.store.VersionedEntry;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Reads the submissions and the progress shards of all jobs side by side, in the order of the jobs'
 * ids: a page of submissions, then the shards of these jobs. So a job that has ended can be reduced
 * to its end as soon as its entries have been read, and the entries of all jobs are never held at
 * once.
 *
 * <p>A shard may be read up to one page before its job's submission. Refined shards are not read:
 * they don't change a job whose other shards record its end and no open attempts.
 *
 * <p>For a single use; confined to the process's event loop.
 */
public final class JobEntryScan {
  /** Receives the entries of the jobs. */
  public interface Sink {
    /** Receives submissions; the shards of these jobs follow. */
    void submissions(List<VersionedEntry> entries);

    /** Receives progress shards, only of jobs whose submissions were read if there are any. */
    void shards(List<VersionedEntry> entries);

    /**
     * Called after each range of jobs.
     *
     * @param isComplete whether all shards of the job with the given id have been received, if its
     *     submission has been received
     */
    void rangeRead(Predicate<String> isComplete);

    /** Receives entries of a page that was requested before a loss; see {@link PageSink}. */
    default void pageRequestedBeforeLoss(List<VersionedEntry> entries) {}
  }

  private static final String SEPARATOR = "/";

  /** A page of the scan is never handled by this sink; only pages before a loss are. */
  private final class LostPages implements PageSink {
    @Override
    public void page(List<VersionedEntry> entries) {
      throw new IllegalStateException("pages are returned, not passed");
    }

    @Override
    public void pageRequestedBeforeLoss(List<VersionedEntry> entries) {
      sink.pageRequestedBeforeLoss(entries);
    }
  }

  private final StoreClient store;
  private final RequestPriority priority;
  private final BooleanSupplier cancelled;
  private final Sink sink;
  private final PageSink lostPages = new LostPages();

  /** Revision of the first page of submissions; negative before it is read. */
  private long firstRevision = -1;

  /** Shards that were read but belong to jobs after the present range. */
  private List<VersionedEntry> shardsAhead = List.of();

  /** Key of the last shard that was read; null before the first. */
  private String lastShardKey;

  private boolean allShardsRead;

  /**
   * Creates a scan; {@link #run} starts it.
   *
   * @param cancelled whether the entries are no longer needed; the scan fails then
   */
  public JobEntryScan(
      StoreClient store, RequestPriority priority, BooleanSupplier cancelled, Sink sink) {
    this.store = store;
    this.priority = priority;
    this.cancelled = cancelled;
    this.sink = sink;
  }

  /** Returns the id of the job that an entry of a job belongs to. */
  public static String refOf(VersionedEntry entry) {
    return entry.key().split(SEPARATOR, -1)[1];
  }

  /**
   * Reads all entries and passes them to the sink. Fails as the first failing request does, or with
   * the exception that the sink throws.
   *
   * @return the revision of the first page; later changes may be missing
   */
  public Future<Long> run() {
    return readSubmissionsAfter(null);
  }

  private Future<Long> readSubmissionsAfter(String key) {
    return readPage(JobProgressCodec.JOB_PREFIX, key)
        .compose(
            page -> {
              if (firstRevision < 0) {
                firstRevision = page.revision();
              }
              sink.submissions(page.entries());
              return page.last() ? readRemainingShards() : readRange(page.lastKey());
            });
  }

  private Future<Long> readRange(String lastSubmissionKey) {
    String lastRef = lastSubmissionKey.substring(JobProgressCodec.JOB_PREFIX.length());
    return readShardsThrough(lastRef)
        .compose(
            read -> {
              // The shards of a job may come after those of jobs whose ids continue its id.
              sink.rangeRead(ref -> ref.compareTo(lastRef) <= 0 && !lastRef.startsWith(ref));
              return readSubmissionsAfter(lastSubmissionKey);
            });
  }

  /** Reads the shards of all jobs up to an id, and perhaps those of some jobs after it. */
  private Future<Void> readShardsThrough(String lastRef) {
    passShardsThrough(lastRef);
    boolean rangeRead =
        lastShardKey != null && lastShardKey.compareTo(JobProgressCodec.shardKey(lastRef, 0)) >= 0;
    return rangeRead || allShardsRead
        ? Future.succeededFuture()
        : readShards().compose(page -> readShardsThrough(lastRef));
  }

  private void passShardsThrough(String lastRef) {
    List<VersionedEntry> inRange = new ArrayList<>();
    List<VersionedEntry> ahead = new ArrayList<>();
    for (VersionedEntry entry : shardsAhead) {
      (refOf(entry).compareTo(lastRef) <= 0 ? inRange : ahead).add(entry);
    }
    shardsAhead = ahead;
    sink.shards(inRange);
  }

  private Future<Long> readRemainingShards() {
    sink.shards(shardsAhead);
    shardsAhead = List.of();
    if (!allShardsRead) {
      return readShards().compose(page -> readRemainingShards());
    }
    sink.rangeRead(ref -> true);
    return Future.succeededFuture(firstRevision);
  }

  private Future<EntryPage> readShards() {
    return readPage(JobProgressCodec.SHARD, lastShardKey).onSuccess(this::addShards);
  }

  private void addShards(EntryPage page) {
    List<VersionedEntry> entries = new ArrayList<>(shardsAhead);
    entries.addAll(page.entries());
    shardsAhead = entries;
    allShardsRead = page.last();
    if (!page.entries().isEmpty()) {
      lastShardKey = page.lastKey();
    }
  }

  private Future<EntryPage> readPage(String prefix, String after) {
    return cancelled.getAsBoolean()
        ? Future.failedFuture(
            new StoreException(StoreException.Kind.REFUSED, "the scan was cancelled"))
        : store.readPage(prefix, after, priority, lostPages);
  }
}
