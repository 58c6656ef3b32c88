package io.embernotch.http;

import io.embernotch.settings.HostPort;
import io.vertx.core.Future;

/** Calls HTTP servers. */
public interface HttpCaller {
  /**
   * Makes one call.
   *
   * @param method HTTP method
   * @param to address of the server
   * @param path path and query
   * @param body JSON body; null: none
   * @param timeoutS seconds within which the whole reply must have come
   * @return the reply, whatever its status; fails with {@link CallFailedException} only
   */
  Future<HttpReply> call(String method, HostPort to, String path, byte[] body, double timeoutS);
}
