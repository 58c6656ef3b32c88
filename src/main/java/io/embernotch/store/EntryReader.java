package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads single entries, and all entries under a prefix page by page. */
final class EntryReader {
  /** Logs under the name of {@link StoreClient}, of which this class is a part. */
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);

  private static final int PAGE_SIZE = 1000;
  private static final int MAX_PAGE_ATTEMPTS = 3;

  /** The timeout of a page is that of other requests multiplied by this. */
  private static final int PAGE_TIMEOUT_FACTOR = 2;

  /** Placeholder for the revision of a listing before its first page is read. */
  private static final long NO_REVISION = -1;

  private static final long MS_PER_S = 1000;

  private final StoreTransport transport;
  private final IncarnationValidator validator;
  private final IncarnationGuard guard;
  private final Clock clock;
  private final double timeoutS;

  EntryReader(
      StoreTransport transport,
      IncarnationValidator validator,
      IncarnationGuard guard,
      Clock clock,
      double timeoutS) {
    this.transport = transport;
    this.validator = validator;
    this.guard = guard;
    this.clock = clock;
    this.timeoutS = timeoutS;
  }

  Future<VersionedEntry> get(String key) {
    double sentAt = clock.now();
    return transport
        .send(StoreRequest.get(StoreProtocol.entryPath(key), RequestPriority.NORMAL), timeoutS)
        .compose(
            reply ->
                switch (reply.status()) {
                  case StatusCodes.OK -> validator.readEntry(reply);
                  case StatusCodes.NOT_FOUND ->
                      validator
                          .read(reply, StoreProtocol::readRevision, revision -> revision)
                          .map(revision -> VersionedEntry.absent(key));
                  default -> reply.unexpected();
                })
        .onSuccess(entry -> log(entry, sentAt));
  }

  private void log(VersionedEntry entry, double sentAt) {
    LOG.debug(
        "read {}: {}; modification revision {}, highest revision {}, incarnation {}, answered in {} ms",
        entry.key(),
        entry.present() ? "present" : "absent",
        entry.modRevision(),
        guard.highestRevision(),
        guard.fence(),
        Math.round((clock.now() - sentAt) * MS_PER_S));
  }

  /** Reads all entries under a prefix; the result has the revision of the first page. */
  Future<WatchEvents> list(String prefix) {
    List<VersionedEntry> entries = new ArrayList<>();
    return forEachPage(prefix, RequestPriority.HIGH, entries::addAll)
        .map(revision -> new WatchEvents(revision, entries));
  }

  /**
   * Passes all entries under a prefix to {@code sink}, page by page.
   *
   * @return the revision of the first page
   */
  Future<Long> forEachPage(String prefix, RequestPriority priority, PageSink sink) {
    return readPagesAfter(prefix, null, priority, sink, NO_REVISION);
  }

  /** Reads the pages after the key {@code after}, or all pages if it is null. */
  private Future<Long> readPagesAfter(
      String prefix, String after, RequestPriority priority, PageSink sink, long firstRevision) {
    return readPage(prefix, after, priority, sink)
        .compose(
            page -> {
              sink.page(page.entries());
              long revision = firstRevision >= 0 ? firstRevision : page.revision();
              return page.last()
                  ? Future.succeededFuture(revision)
                  : readPagesAfter(prefix, page.lastKey(), priority, sink, revision);
            });
  }

  /**
   * Reads the page after the key {@code after}, or the first page if it is null.
   *
   * @param sink receives the entries only if they were requested before a loss of data
   */
  Future<EntryPage> readPage(String prefix, String after, RequestPriority priority, PageSink sink) {
    return sendPageRequest(
            StoreProtocol.listPath(prefix, after, PAGE_SIZE), priority, MAX_PAGE_ATTEMPTS)
        .compose(
            reply ->
                reply.status() == StatusCodes.OK
                    ? validator.readPage(reply, sink)
                    : reply.unexpected())
        .map(StoreProtocol::readEntryPage);
  }

  /** Reads one page and retries it on failure, so that the listing need not start again. */
  private Future<StoreReply> sendPageRequest(
      String path, RequestPriority priority, int attemptsLeft) {
    return transport
        .send(StoreRequest.get(path, priority), timeoutS * PAGE_TIMEOUT_FACTOR)
        .recover(
            failure ->
                attemptsLeft > 1
                    ? sendPageRequest(path, priority, attemptsLeft - 1)
                    : Future.failedFuture(failure));
  }
}
