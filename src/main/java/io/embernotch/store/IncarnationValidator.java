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
 * Decodes the store's answers and checks that each comes from the incarnation that its request was
 * sent to. Proof of a loss is reported to the listener before the answer's future fails.
 */
final class IncarnationValidator {
  /** Logs under the name of {@link StoreClient}, of which this class is a part. */
  private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);

  private final IncarnationGuard guard;

  /** Receives proofs of a loss; null until it is set. */
  private StoreClient.LossListener lossListener;

  IncarnationValidator(IncarnationGuard guard) {
    this.guard = guard;
  }

  void setLossListener(StoreClient.LossListener listener) {
    lossListener = listener;
  }

  /**
   * Decodes an answer that contains the store's present revision.
   *
   * @param reader decodes the body
   * @param revisionOf returns the revision of the decoded answer
   */
  <T> Future<T> read(
      StoreReply reply, Function<ObjectNode, T> reader, ToLongFunction<T> revisionOf) {
    T value;
    try {
      value = reader.apply(reply.json());
    } catch (MalformedInputException e) {
      return unreadable(e);
    }
    if (!guard.isCurrent(reply.baseline())) {
      return lostFailure();
    }
    long revision = revisionOf.applyAsLong(value);
    return guard.observe(reply.baseline(), revision)
        ? Future.succeededFuture(value)
        : revisionFell(reply.baseline().minRevision(), revision);
  }

  /**
   * Decodes a page of a listing, which contains the present revision. If a loss was detected after
   * the page was requested, passes the lost contents' entries to {@code sink} and fails.
   */
  Future<ObjectNode> readPage(StoreReply reply, PageSink sink) {
    Future<ObjectNode> page = read(reply, json -> json, StoreProtocol::readRevision);
    if (!guard.isCurrent(reply.baseline())) {
      forwardLostPage(reply, sink);
    }
    return page;
  }

  /** A page with a revision below the baseline's minimum is of the contents after the loss. */
  private static void forwardLostPage(StoreReply reply, PageSink sink) {
    try {
      ObjectNode page = reply.json();
      if (StoreProtocol.readRevision(page) >= reply.baseline().minRevision()) {
        sink.pageRequestedBeforeLoss(StoreProtocol.readPage(page));
      }
    } catch (MalformedInputException e) {
      LOG.info("cannot read a page requested before the loss of data: {}", e.getMessage());
    }
  }

  /**
   * Decodes an entry. Its modification revision is only a lower bound of the present revision, so a
   * low one does not prove a loss.
   */
  Future<VersionedEntry> readEntry(StoreReply reply) {
    VersionedEntry entry;
    try {
      entry = StoreProtocol.readEntry(reply.json());
    } catch (MalformedInputException e) {
      return unreadable(e);
    }
    if (!guard.isCurrent(reply.baseline())) {
      return lostFailure();
    }
    guard.observe(IncarnationGuard.Baseline.NONE, entry.modRevision());
    return Future.succeededFuture(entry);
  }

  /** Records an applied transaction; fails if it wrote but the revision did not increase. */
  Future<TransactionResult> recordWrite(
      StoreReply reply, Transaction transaction, TransactionResult result) {
    return transaction.lastWrittenKey() == null
            || guard.recordWrite(reply.baseline(), transaction.lastWrittenKey(), result.revision())
        ? Future.succeededFuture(result)
        : revisionFell(reply.baseline().minRevision(), result.revision());
  }

  /** Fails if the conflicts of a transaction include the incarnation's fence. */
  Future<TransactionResult> checkFence(TransactionResult conflict) {
    if (conflict.conflicts().stream().noneMatch(guard::isFence)) {
      return Future.succeededFuture(conflict);
    }
    if (lossListener != null) {
      lossListener.fenceFailed();
    }
    return lostFailure();
  }

  /** Reports that the modification revision of a key fell from at least {@code seen}. */
  <T> Future<T> reportLostEntry(String key, long seen, long now) {
    LOG.warn(
        "{} was written at revision {} or later, now its modification revision is {}",
        key,
        seen,
        now);
    return revisionFell(seen, now);
  }

  /** Reports to the listener that a revision fell from {@code seen} to {@code now}, and fails. */
  <T> Future<T> revisionFell(long seen, long now) {
    if (lossListener != null) {
      lossListener.revisionFell(seen, now);
    }
    return lostFailure();
  }

  private static <T> Future<T> unreadable(MalformedInputException failure) {
    return Future.failedFuture(
        new StoreException(Kind.UNKNOWN, "unreadable answer: " + failure.getMessage()));
  }

  private static <T> Future<T> lostFailure() {
    return Future.failedFuture(
        new StoreException(Kind.LOST, "another store incarnation, or data was lost"));
  }
}
