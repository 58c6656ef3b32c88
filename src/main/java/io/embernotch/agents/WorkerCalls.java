package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpReply;
import io.embernotch.model.Machine;
import io.embernotch.settings.HostPort;
import io.vertx.core.Future;

/**
 * Makes HTTP calls to agents. If a call can't be made, for example because the address is
 * malformed, the returned future fails, as it does for any other failure. Callers therefore release
 * what they hold for a call in one place.
 */
final class WorkerCalls {
  private WorkerCalls() {}

  /**
   * Makes a call. Never throws.
   *
   * @param body the JSON body; null for none
   * @return the response, whatever its status; fails with {@link CallFailedException}
   */
  static Future<HttpReply> call(
      ControllerContext context,
      Machine machine,
      String method,
      String path,
      byte[] body,
      double timeoutS) {
    try {
      HostPort address = HostPort.parse(machine.address);
      return context.agentClient().call(method, address, path, body, timeoutS);
    } catch (RuntimeException e) {
      return Future.failedFuture(CallFailedException.untried(e.getMessage()));
    }
  }
}
