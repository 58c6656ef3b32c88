package io.embernotch.testkit;

import io.embernotch.http.HttpResponse;
import io.embernotch.http.RequestHandler;
import io.embernotch.model.Heartbeat;
import io.vertx.core.Future;

/** Answers every request with 200 and no body. */
public final class AnsweringHandler implements RequestHandler {
  private static HttpResponse ok() {
    return HttpResponse.of(200, new byte[0]);
  }

  @Override
  public Future<HttpResponse> submit(byte[] body) {
    return Future.succeededFuture(ok());
  }

  @Override
  public Future<HttpResponse> poll(String ref) {
    return Future.succeededFuture(ok());
  }

  @Override
  public Future<HttpResponse> abort(String ref) {
    return Future.succeededFuture(ok());
  }

  @Override
  public Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat) {
    return Future.succeededFuture(ok());
  }

  @Override
  public HttpResponse ready() {
    return ok();
  }

  @Override
  public Future<HttpResponse> overview() {
    return Future.succeededFuture(ok());
  }
}
