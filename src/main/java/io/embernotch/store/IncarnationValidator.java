package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.store.StoreException.Kind;
import io.vertx.core.Future;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the store's answers and checks for each that it comes from the incarnation that its request
 * was meant for. What proves a loss is reported to the listener before the answer's future fails.
 */
final class IncarnationValidator {
  /** The client's, of which this class is a part. */
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);

  private final IncarnationGuard guard;

  /** Null until it is set. */
  private StoreClient.LossListener lossListener;

  IncarnationValidator(IncarnationGuard guard) {
    this.guard = guard;
  }

  void setLossListener(StoreClient.LossListener listener) {
    lossListener = listener;
  }

  /**
   * Reads an answer that shows the present revision.
   *
   * @param revisionOf that revision
   */
  <T> Future<T> read(
      StoreReply reply, Function<ObjectNode, T> reader, ToLongFunction<T> revisionOf) {
    T value;
    try {
      value = reader.apply(reply.json());
    } catch (MalformedInputException e) {
      return unreadable(e);
    }
    if (!guard.isOf(reply.baseline())) {
      return lost();
    }
    long revision = revisionOf.applyAsLong(value);
    return guard.observe(reply.baseline(), revision)
        ? Future.succeededFuture(value)
        : revisionFell(reply.baseline().minRevision(), revision);
  }

  /**
   * Reads a page of a listing, which shows the present revision. One of contents that were found to
   * be lost while it was on its way is passed on, and fails.
   */
  Future<ObjectNode> readPage(StoreReply reply, PageSink sink) {
    Future<ObjectNode> page = read(reply, json -> json, StoreProtocol::readRevision);
    if (!guard.isOf(reply.baseline())) {
      passOnIfOfLostContents(reply, sink);
    }
    return page;
  }

  /** What shows a lower revision than was known of the lost contents is of those after them. */
  private static void passOnIfOfLostContents(StoreReply reply, PageSink sink) {
    try {
      ObjectNode page = reply.json();
      if (StoreProtocol.readRevision(page) >= reply.baseline().minRevision()) {
        sink.pageAskedForBeforeLoss(StoreProtocol.readPage(page));
      }
    } catch (MalformedInputException e) {
      LOG.info("unreadable page of lost contents: {}", e.getMessage());
    }
  }

  /**
   * Reads an entry. Its modification revision is a lower bound of the present revision, so a low
   * one proves nothing.
   */
  Future<VersionedEntry> readEntry(StoreReply reply) {
    VersionedEntry entry;
    try {
      entry = StoreProtocol.readEntry(reply.json());
    } catch (MalformedInputException e) {
      return unreadable(e);
    }
    if (!guard.isOf(reply.baseline())) {
      return lost();
    }
    guard.observe(IncarnationGuard.Baseline.NONE, entry.modRevision());
    return Future.succeededFuture(entry);
  }

  /** Takes note of an applied transaction: if it wrote, the revision must have risen. */
  Future<TransactionResult> recordWrite(
      StoreReply reply, Transaction transaction, TransactionResult result) {
    return transaction.lastKey() == null
            || guard.recordWrite(reply.baseline(), transaction.lastKey(), result.revision())
        ? Future.succeededFuture(result)
        : revisionFell(reply.baseline().minRevision(), result.revision());
  }

  /** Fails if the conflicts of a transaction include the fence of our incarnation. */
  Future<TransactionResult> checkFence(TransactionResult conflict) {
    if (conflict.conflicts().stream().noneMatch(guard::isFence)) {
      return Future.succeededFuture(conflict);
    }
    if (lossListener != null) {
      lossListener.fenceFailed();
    }
    return lost();
  }

  /** Reports that a key is not there at the modification revision that was seen, or a later one. */
  <T> Future<T> entryLost(String key, long seen, long now) {
    LOG.warn("{} was written at revision {} or later, and is at {}", key, seen, now);
    return revisionFell(seen, now);
  }

  /** Reports that a revision fell from {@code seen} to {@code now}. */
  <T> Future<T> revisionFell(long seen, long now) {
    if (lossListener != null) {
      lossListener.revisionFell(seen, now);
    }
    return lost();
  }

  private static <T> Future<T> unreadable(MalformedInputException failure) {
    return Future.failedFuture(
        new StoreException(Kind.UNKNOWN, "unreadable answer: " + failure.getMessage()));
  }

  private static <T> Future<T> lost() {
    return Future.failedFuture(
        new StoreException(Kind.LOST, "another store incarnation, or data was lost"));
  }
}
