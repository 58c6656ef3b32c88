package io.embernotch.testkit;

import io.embernotch.http.HttpReply;
import io.embernotch.settings.HostPort;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Requests of controllers to workers, with the faults that may hit them. */
final class WorkerConnection {
  private static final String COMMANDS = "/do";
  private static final String STATUS = "/status";

  private final FakeTime time;
  private final NetworkFaults faults;
  private final MessageBuffer buffer;
  private final Map<String, FakeWorker> workers;
  private int commandCount;

  /**
   * Creates the connection.
   *
   * @param workers the machines that are up, by name
   */
  WorkerConnection(
      FakeTime time, NetworkFaults faults, MessageBuffer buffer, Map<String, FakeWorker> workers) {
    this.time = time;
    this.faults = faults;
    this.buffer = buffer;
    this.workers = workers;
  }

  /** Requests with commands that reached a worker or were delayed on their way there. */
  int commandCount() {
    return commandCount;
  }

  /** How many starts are among the commands of a request or response. */
  static int countStarts(byte[] commands) {
    return new String(commands, StandardCharsets.UTF_8).split("\"verb\":\"run\"", -1).length - 1;
  }

  /**
   * Whether a request gets a connection: a probe of a partitioned machine does not even get that.
   */
  boolean connects(ControllerNode from, HostPort to, String path) {
    FakeWorker worker = at(to);
    boolean reached =
        worker == null
            || !(worker.partitioned
                || worker.inboundPartitioned
                || from.isPartitionedFromWorkers(faults, worker.zone));
    return reached || !path.equals(STATUS);
  }

  /** The response to a request; it never completes if there is none. */
  Future<HttpReply> send(ControllerNode from, HostPort to, String path, byte[] body) {
    FakeWorker worker = at(to);
    if (worker == null || worker.partitioned) {
      return HttpNetwork.noReply();
    }
    boolean isCommand = path.equals(COMMANDS);
    if (worker.inboundPartitioned) {
      worker.lostStartCount += isCommand ? countStarts(body) : 0;
      return HttpNetwork.noReply();
    }
    if (worker.hung
        && isCommand
        && faults.commandDelivery == Delivery.DELIVERED
        && !from.workersUnreachable) {
      worker.queueCommands(body);
      return HttpNetwork.noReply();
    }
    if (worker.hung
        || from.isPartitionedFromWorkers(faults, worker.zone)
        || faults.commandDelivery == Delivery.LOST) {
      return HttpNetwork.noReply();
    }
    return isCommand
        ? deliverCommands(worker, body)
        : Future.succeededFuture(new HttpReply(200, worker.heartbeat()));
  }

  private Future<HttpReply> deliverCommands(FakeWorker worker, byte[] body) {
    commandCount++;
    if (faults.hits(faults.delayedCommandShare)) {
      time.after(faults.drawCommandDelayS(), () -> arriveLate(worker, body));
      return HttpNetwork.noReply();
    }
    if (faults.commandDelivery == Delivery.RESPONSE_LOST) {
      worker.executeCommands(body);
      return HttpNetwork.noReply();
    }
    if (faults.commandDelivery == Delivery.DELAYED) {
      buffer.delay(() -> worker.executeCommands(body));
      return HttpNetwork.noReply();
    }
    buffer.keepCopy(() -> worker.executeCommands(body));
    return Future.succeededFuture(worker.executeCommands(body));
  }

  /** Commands that were delayed; a machine that hangs by then carries them out once it resumes. */
  private void arriveLate(FakeWorker worker, byte[] body) {
    if (worker.hung) {
      worker.queueCommands(body);
    } else if (workers.get(worker.name) == worker) {
      worker.executeCommands(body);
    }
  }

  private FakeWorker at(HostPort address) {
    return workers.values().stream()
        .filter(worker -> worker.address.equals(address.toString()))
        .findFirst()
        .orElse(null);
  }
}
