package io.embernotch.http;

import io.embernotch.settings.HostPort;
import io.vertx.core.Future;

/** Calls HTTP servers. A future fails with {@link CallFailedException} only. */
public interface HttpCaller {
  Future<HttpReply> call(String method, HostPort to, String path, byte[] body, double timeoutS);
}
