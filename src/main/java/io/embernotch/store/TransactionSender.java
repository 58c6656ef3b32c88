package io.embernotch.store;

import io.embernotch.store.RateLimiter.RequestPriority;
import io.vertx.core.Future;

/** Adds the incarnation's fence to transactions, sends them and decodes their results. */
final class TransactionSender {
  private final StoreTransport transport;
  private final IncarnationGuard guard;
  private final IncarnationValidator validator;
  private final double timeoutS;
  private StoreClient.CommitListener commitListener =
      (transaction, revision) -> Future.succeededFuture();

  TransactionSender(
      StoreTransport transport,
      IncarnationGuard guard,
      IncarnationValidator validator,
      double timeoutS) {
    this.transport = transport;
    this.guard = guard;
    this.validator = validator;
    this.timeoutS = timeoutS;
  }

  void setCommitListener(StoreClient.CommitListener listener) {
    commitListener = listener;
  }

  Future<TransactionResult> commit(Transaction transaction, RequestPriority priority) {
    guard.addFence(transaction);
    StoreRequest request = StoreRequest.commit(transaction, priority);
    return result(transaction, transport.send(request, timeoutS));
  }

  /** Commits a transaction whose changes are already counted by a write slot. */
  Future<TransactionResult> commitInWriteSlot(Transaction transaction, RequestPriority priority) {
    guard.addFence(transaction);
    StoreRequest request = StoreRequest.commit(transaction, priority);
    return result(transaction, transport.sendInWriteSlot(request, timeoutS));
  }

  private Future<TransactionResult> result(Transaction transaction, Future<StoreReply> sent) {
    return sent.compose(
        reply ->
            switch (reply.status()) {
              case StatusCodes.OK ->
                  validator
                      .read(reply, StoreProtocol::readApplied, TransactionResult::revision)
                      .compose(applied -> validator.recordWrite(reply, transaction, applied))
                      .compose(
                          applied ->
                              commitListener
                                  .committed(transaction, applied.revision())
                                  .map(applied));
              case StatusCodes.CONFLICT ->
                  validator
                      .read(reply, StoreProtocol::readConflict, TransactionResult::revision)
                      .compose(validator::checkFence);
              case StatusCodes.BAD_REQUEST ->
                  Future.failedFuture(StoreProtocol.readRejection(reply.http().body()));
              default -> reply.unexpected();
            });
  }
}
