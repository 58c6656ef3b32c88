package io.embernotch.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.JobProgressCodec;
import io.embernotch.store.RateLimiter.RequestPriority;
import io.embernotch.store.StoreClient;
import io.embernotch.store.Transaction;
import io.embernotch.store.TransactionResult;
import io.vertx.core.Future;

/** Creates submissions in the store, each in a write slot of its own. */
final class SubmissionWriter {
  private final StoreClient store;

  SubmissionWriter(StoreClient store) {
    this.store = store;
  }

  /** Calls {@code go} as soon as one change may be written; it is to create or to release. */
  void requestSlot(Runnable go) {
    store.requestWriteSlot(1, RequestPriority.NORMAL, go);
  }

  /** Gives the slot back unused. */
  void releaseSlot() {
    store.releaseWriteSlot(1, 0);
  }

  /** Within a slot: writes {@code job/REF} if it is absent; not applied if it is there. */
  Future<TransactionResult> create(String ref, ObjectNode value) {
    String key = JobProgressCodec.JOB_PREFIX + ref;
    return store.commitInWriteSlot(
        new Transaction().when(key, 0).write(key, value), RequestPriority.NORMAL);
  }
}
