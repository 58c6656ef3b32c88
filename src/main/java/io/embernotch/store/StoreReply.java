package io.embernotch.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.http.HttpReply;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;

/**
 * An answer of the store.
 *
 * @param baseline what the request could assume of the store's contents as it was sent
 */
record StoreReply(HttpReply http, IncarnationGuard.Baseline baseline) {
  int status() {
    return http.status();
  }

  ObjectNode json() {
    return http.json();
  }

  /** The failure for an answer whose status the request does not provide for. */
  <T> Future<T> unexpected() {
    return Future.failedFuture(
        new StoreException(
            StoreException.Kind.UNKNOWN,
            "answer " + http.status() + " " + new String(http.body(), StandardCharsets.UTF_8)));
  }
}
