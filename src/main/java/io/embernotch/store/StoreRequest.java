package io.embernotch.store;

import io.embernotch.store.RateLimiter.RequestPriority;

/**
 * A request to the store.
 *
 * @param body the body; null if there is none
 * @param changes number of changes that count against the store's write limit
 */
@SuppressWarnings("ArrayRecordComponent") // The bytes are sent and never compared.
record StoreRequest(
    String method, String path, byte[] body, int changes, RequestPriority priority) {

  static StoreRequest get(String path, RequestPriority priority) {
    return new StoreRequest("GET", path, null, 0, priority);
  }

  static StoreRequest post(String path, byte[] body, RequestPriority priority) {
    return new StoreRequest("POST", path, body, 0, priority);
  }

  static StoreRequest delete(String path, RequestPriority priority) {
    return new StoreRequest("DELETE", path, null, 0, priority);
  }

  static StoreRequest commit(Transaction transaction, RequestPriority priority) {
    return new StoreRequest(
        "POST", StoreProtocol.COMMIT_PATH, transaction.bytes(), transaction.changes(), priority);
  }
}
