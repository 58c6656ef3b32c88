package io.embernotch.http;

import io.embernotch.model.Heartbeat;
import io.vertx.core.Future;

/** What stands behind the HTTP server; called on the core loop only. */
public interface RequestHandler {
  Future<HttpResponse> submit(byte[] body);

  Future<HttpResponse> poll(String ref);

  Future<HttpResponse> abort(String ref);

  Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat);

  HttpResponse ready();

  /** A read-only view of leadership, fleet and queue, for operators. */
  Future<HttpResponse> overview();
}
