package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.http.HttpReply;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;

/**
 * An answer of the store.
 *
 * @param baseline what was known of the store's contents when the request was sent
 */
record StoreReply(HttpReply http, IncarnationGuard.Baseline baseline) {
  int status() {
    return http.status();
  }

  ObjectNode json() {
    return http.json();
  }

  /** Returns a failed future for an answer with an unexpected status. */
  <T> Future<T> unexpected() {
    return Future.failedFuture(
        new StoreException(
            StoreException.Kind.UNKNOWN,
            "answer " + http.status() + " " + new String(http.body(), StandardCharsets.UTF_8)));
  }
}
