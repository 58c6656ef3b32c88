package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpReply;
import io.embernotch.model.Machine;
import io.embernotch.settings.HostPort;
import io.vertx.core.Future;

/**
 * Calls to machines. What keeps one from being made, such as an address that can't be read, fails
 * its future like anything else that happens to it, so that whoever holds a slot or a mark for the
 * call has one place to give it back.
 */
final class WorkerCalls {
  private WorkerCalls() {}

  /** Makes a call; {@code body} may be null. It never throws. */
  static Future<HttpReply> call(
      ControllerContext context,
      Machine machine,
      String method,
      String path,
      byte[] body,
      double timeoutS) {
    try {
      HostPort address = HostPort.parse(machine.address);
      return context.workers().call(method, address, path, body, timeoutS);
    } catch (RuntimeException e) {
      return Future.failedFuture(CallFailedException.untried(e.getMessage()));
    }
  }
}
