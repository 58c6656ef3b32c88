package io.embernotch.http;

import io.vertx.core.Future;

/** What stands behind the HTTP server. */
public interface Door {
  Future<Answer> submit(byte[] body);

  Future<Answer> poll(String ref);

  Future<Answer> abort(String ref);

  Future<Answer> report(byte[] body);

  Answer ready();

  /** A read-only view of leadership, fleet and queue, for operators. */
  Future<Answer> overview();
}
