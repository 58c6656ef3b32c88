package io.embernotch.http;

import io.embernotch.model.Heartbeat;
import io.vertx.core.Future;

/**
 * Serves the requests that the HTTP server receives. Called on the core loop only; its futures
 * complete there. A future that fails is an internal error.
 */
public interface RequestHandler {
  /**
   * Accepts or refuses a job.
   *
   * @param body body of the request, not checked
   */
  Future<HttpResponse> submit(byte[] body);

  /**
   * A job's status.
   *
   * @param ref id of the job, not checked
   */
  Future<HttpResponse> poll(String ref);

  /**
   * Cancels a job.
   *
   * @param ref id of the job, not checked
   */
  Future<HttpResponse> abort(String ref);

  /** Answers a worker's heartbeat. */
  Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat);

  /** Whether this node is ready to serve users. */
  HttpResponse ready();

  /** A read-only view of leadership, fleet and queue, for operators. */
  Future<HttpResponse> overview();
}
