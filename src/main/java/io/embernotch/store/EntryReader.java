package io.embernotch.store;

import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;

/** Reads single entries, and whole prefixes page by page. */
final class EntryReader {
  private static final int PAGE_SIZE = 1000;
  private static final int TRIES_PER_PAGE = 3;

  /** A page may take so many times as long as any other request. */
  private static final int PAGE_TIMEOUT_FACTOR = 2;

  /** The revision of a listing before its first page was read. */
  private static final long NO_REVISION = -1;

  private final StoreTransport transport;
  private final IncarnationValidator validator;
  private final double timeoutS;

  EntryReader(StoreTransport transport, IncarnationValidator validator, double timeoutS) {
    this.transport = transport;
    this.validator = validator;
    this.timeoutS = timeoutS;
  }

  Future<VersionedEntry> get(String key) {
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
                });
  }

  /** All entries under a prefix, with the revision of the first page. */
  Future<WatchEvents> list(String prefix) {
    return listAfter(prefix, null, new ArrayList<>(), NO_REVISION);
  }

  /**
   * Reads the pages after the key {@code after}, or all if it is null, and adds them to {@code
   * entries}.
   */
  private Future<WatchEvents> listAfter(
      String prefix, String after, List<VersionedEntry> entries, long firstRevision) {
    return page(StoreProtocol.listPath(prefix, after, PAGE_SIZE), TRIES_PER_PAGE)
        .compose(
            reply ->
                reply.status() == StatusCodes.OK
                    ? validator.read(reply, page -> page, StoreProtocol::readRevision)
                    : reply.unexpected())
        .compose(
            page -> {
              entries.addAll(StoreProtocol.readPage(page));
              long revision = firstRevision >= 0 ? firstRevision : StoreProtocol.readRevision(page);
              if (StoreProtocol.isTruncated(page) && !entries.isEmpty()) {
                String last = entries.get(entries.size() - 1).key();
                return listAfter(prefix, last, entries, revision);
              }
              return Future.succeededFuture(new WatchEvents(revision, entries));
            });
  }

  /** A page that fails is asked for again, so that the pages before it are not read anew. */
  private Future<StoreReply> page(String path, int triesLeft) {
    return transport
        .send(StoreRequest.get(path, RequestPriority.HIGH), timeoutS * PAGE_TIMEOUT_FACTOR)
        .recover(
            failure -> triesLeft > 1 ? page(path, triesLeft - 1) : Future.failedFuture(failure));
  }
}
