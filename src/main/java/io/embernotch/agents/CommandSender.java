package io.embernotch.agents;

import io.embernotch.agents.CallConcurrencyLimiter.CallClass;
import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpReply;
import io.embernotch.model.AgentCommand;
import io.embernotch.model.Attempt;
import io.embernotch.model.Attempt.LaunchState;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import io.embernotch.model.Priority;
import io.embernotch.settings.Settings;
import io.embernotch.state.ClusterState;
import io.vertx.core.AsyncResult;
import java.util.List;
import java.util.function.BiPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends stop commands directly to agents, and requests a heartbeat from an agent while a start is
 * due, with at most one call in flight to each machine.
 *
 * <p>Starts are never sent directly. An agent executes any direct command whose token and epoch
 * match, however late it arrives and even if it was executed before, and an agent that has lost its
 * state accepts every token in its first epoch. The response to a heartbeat is executed at most
 * once, and only while the agent waits for it ({@link HeartbeatResponder}).
 */
final class CommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);

  private static final int HTTP_OK = 200;

  /** Intervals without a heartbeat after which a machine counts as unresponsive. */
  private static final int UNRESPONSIVE_INTERVALS = 2;

  /** An agent sends a heartbeat because of a higher token at most once in this share of a lease. */
  private static final double TOKEN_REPORT_LEASE_SHARE = 0.5 * (1 + 2 * Settings.DRIFT);

  /** The agent's path for direct commands. */
  private static final String COMMAND_PATH = "/do";

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler.Listener listener;
  private final CallConcurrencyLimiter callLimiter;
  private final ReachabilityTracker reachability;
  private final BiPredicate<Heartbeat, Machine> reconcile;
  private final double callTimeoutS;
  private final double heartbeatIntervalS;

  /**
   * Creates a sender with nothing in flight.
   *
   * @param reconcile processes the heartbeat in a response; returns false if it proves that this
   *     leader is superseded
   * @param callTimeoutS seconds to wait for a response
   */
  CommandSender(
      ControllerContext context,
      ClusterState state,
      AgentReconciler.Listener listener,
      CallConcurrencyLimiter callLimiter,
      ReachabilityTracker reachability,
      BiPredicate<Heartbeat, Machine> reconcile,
      double callTimeoutS) {
    this.context = context;
    this.state = state;
    this.listener = listener;
    this.callLimiter = callLimiter;
    this.reachability = reachability;
    this.reconcile = reconcile;
    this.callTimeoutS = callTimeoutS;
    this.heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
  }

  /**
   * Sends due stops to the machine, or a command without effect if a start is due, unless a call to
   * it is in flight or has just failed. If the call limit is reached, retries once there is
   * capacity.
   */
  void sendDue(Machine machine) {
    double now = context.clock().now();
    if (machine.commandInFlight
        || machine.address == null
        || machine.agentEpoch == 0
        || now - machine.commandFailedAt < callTimeoutS) {
      return;
    }
    List<Attempt> stopping = dueStops(machine, now);
    List<Attempt> starting = startsToRequestHeartbeatFor(machine, now);
    if ((stopping.isEmpty() && starting.isEmpty())
        || !callLimiter.tryAcquire(
            machine, callClass(machine, starting, now), () -> sendDue(machine))) {
      return;
    }
    stopping.forEach(attempt -> attempt.stopSentAt = now);
    if (!starting.isEmpty()) {
      machine.heartbeatRequestedAt = now;
      raiseTokenIfReported(machine, now);
    }
    send(machine, stopping.stream().map(AttemptCommands::stopCommand).toList());
  }

  private List<Attempt> dueStops(Machine machine, double now) {
    return machine.openAttempts.values().stream()
        .filter(AttemptCommands::isStopDue)
        .filter(attempt -> now - attempt.stopSentAt > heartbeatIntervalS)
        .toList();
  }

  /** Returns the attempts whose start is due; none if a heartbeat was requested recently. */
  private List<Attempt> startsToRequestHeartbeatFor(Machine machine, double now) {
    // Leadership may have been lost while this call was queued or waited for a previous response.
    if (now - machine.heartbeatRequestedAt <= heartbeatIntervalS || !listener.isLeading()) {
      return List.of();
    }
    return machine.openAttempts.values().stream().filter(AttemptCommands::isStartDue).toList();
  }

  /**
   * Raises the machine's token if its agent reports the higher token at once. Not while a response
   * with starts may be in flight, which the agent would drop because of its lower token.
   */
  private void raiseTokenIfReported(Machine machine, double now) {
    boolean startInFlight =
        machine.openAttempts.values().stream()
            .anyMatch(attempt -> attempt.launchState == LaunchState.IN_HEARTBEAT_RESPONSE);
    double reportIntervalS = TOKEN_REPORT_LEASE_SHARE * context.settings().workers().leaseS();
    if (!startInFlight && now - machine.tokenRaisedAt > reportIntervalS) {
      machine.token = Math.max(machine.token, machine.highestReportedToken + 1);
    }
  }

  private CallClass callClass(Machine machine, List<Attempt> starting, double now) {
    if (now - machine.lastHeartbeatAt > UNRESPONSIVE_INTERVALS * heartbeatIntervalS) {
      return CallClass.UNRESPONSIVE;
    }
    boolean production =
        starting.stream().anyMatch(attempt -> attempt.job.spec.priority() == Priority.PRODUCTION);
    return production ? CallClass.PRODUCTION : CallClass.NORMAL;
  }

  private void send(Machine machine, List<AgentCommand> commands) {
    machine.commandInFlight = true;
    machine.highestIssuedToken = Math.max(machine.highestIssuedToken, machine.token);
    byte[] body = WorkerCodec.directCommand(machine.token, machine.agentEpoch, commands);
    WorkerCalls.call(context, machine, "POST", COMMAND_PATH, body, callTimeoutS)
        .onComplete(
            result -> context.profile().run("command", () -> commandEnded(machine, result)));
  }

  private void commandEnded(Machine machine, AsyncResult<HttpReply> result) {
    try {
      if (result.succeeded()) {
        commandAnswered(machine, result.result());
      } else {
        commandFailed(machine, result.cause());
      }
    } finally {
      callLimiter.release();
    }
  }

  private void commandAnswered(Machine machine, HttpReply reply) {
    machine.commandInFlight = false;
    if (state.machines.get(machine.name) != machine) {
      return;
    }
    reachability.callAnswered(machine, context.clock().now());
    boolean executed = reply.status() == HTTP_OK;
    Heartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.read(reply.body());
    } catch (MalformedInputException e) {
      LOG.info(
          "invalid command response (status {}) from machine {}: {}",
          reply.status(),
          machine.name,
          e.getMessage());
      commandFailed(machine, new CallFailedException(executed, e.getMessage()));
      return;
    }
    if (!executed) {
      machine.commandFailedAt = context.clock().now();
    }
    if (executed
        && !heartbeat.isNewerThan(machine.agentEpoch, machine.heartbeatSeq)
        && heartbeat.agentEpoch() == machine.agentEpoch) {
      // A newer heartbeat overtook this response.
      return;
    }
    if (reconcile.test(heartbeat, machine) && executed) {
      sendDue(machine);
    }
  }

  private void commandFailed(Machine machine, Throwable cause) {
    machine.commandInFlight = false;
    machine.commandFailedAt = context.clock().now();
    boolean sent = !(cause instanceof CallFailedException failure) || failure.sent();
    LOG.info(
        "command to machine {} failed (possibly sent: {}): {}",
        machine.name,
        sent,
        cause.getMessage());
    if (sent || !(cause instanceof CallFailedException failure) || failure.tried()) {
      reachability.callUnanswered(machine, context.clock().now());
    }
  }
}
