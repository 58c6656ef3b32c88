package io.embernotch.http;

import io.embernotch.model.WorkerReport;
import io.vertx.core.Future;

/** What stands behind the HTTP server; called on the core loop only. */
public interface Door {
  Future<Answer> submit(byte[] body);

  Future<Answer> poll(String ref);

  Future<Answer> abort(String ref);

  Future<Answer> report(WorkerReport report);

  Answer ready();

  /** A read-only view of leadership, fleet and queue, for operators. */
  Future<Answer> overview();
}
