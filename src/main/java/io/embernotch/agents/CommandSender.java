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
import io.embernotch.state.ClusterState;
import io.vertx.core.AsyncResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends start and stop commands directly to agents, with at most one call in flight to each
 * machine. Derives the launch state of each start from the response, or from its absence.
 */
final class CommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);

  private static final int HTTP_OK = 200;

  /** Intervals without a heartbeat after which a machine counts as unresponsive. */
  private static final int UNRESPONSIVE_INTERVALS = 2;

  /** The agent's path for direct commands. */
  private static final String COMMAND_PATH = "/do";

  /** The commands of one call, and the attempts that they start and stop. */
  private static final class Batch {
    final List<AgentCommand> commands = new ArrayList<>();
    final List<Attempt> starting = new ArrayList<>();
    final List<Attempt> stopping = new ArrayList<>();
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final AgentReconciler.Listener listener;
  private final CallConcurrencyLimiter callLimiter;
  private final ReachabilityTracker reachability;
  private final AttemptReconciler attempts;
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
      AttemptReconciler attempts,
      BiPredicate<Heartbeat, Machine> reconcile,
      double callTimeoutS) {
    this.context = context;
    this.state = state;
    this.listener = listener;
    this.callLimiter = callLimiter;
    this.reachability = reachability;
    this.attempts = attempts;
    this.reconcile = reconcile;
    this.callTimeoutS = callTimeoutS;
    this.heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
  }

  /**
   * Sends due commands to the machine, unless a call to it is in flight or has just failed. If the
   * call limit is reached, retries once there is capacity.
   */
  void sendDue(Machine machine) {
    double now = context.clock().now();
    if (machine.commandInFlight
        || machine.address == null
        || machine.agentEpoch == 0
        || now - machine.commandFailedAt < callTimeoutS) {
      return;
    }
    Batch batch = dueCommands(machine, now);
    if (batch.commands.isEmpty()
        || !callLimiter.tryAcquire(
            machine, callClass(machine, batch.starting, now), () -> sendDue(machine))) {
      return;
    }
    for (Attempt attempt : batch.starting) {
      attempt.launchState = LaunchState.SENDING;
      attempt.startToken = machine.token;
      machine.highestStartToken = machine.token;
    }
    batch.stopping.forEach(attempt -> attempt.stopSentAt = now);
    send(machine, batch);
  }

  private Batch dueCommands(Machine machine, double now) {
    Batch batch = new Batch();
    // Leadership may have been lost while this call was queued or waited for a previous response.
    boolean mayStart = listener.isLeading();
    for (Attempt attempt : machine.openAttempts.values()) {
      if (AttemptCommands.isStartDue(attempt) && mayStart) {
        batch.commands.add(AttemptCommands.startCommand(attempt));
        batch.starting.add(attempt);
      } else if (AttemptCommands.isStopDue(attempt)
          && now - attempt.stopSentAt > heartbeatIntervalS) {
        batch.commands.add(AttemptCommands.stopCommand(attempt));
        batch.stopping.add(attempt);
      }
    }
    return batch;
  }

  private CallClass callClass(Machine machine, List<Attempt> starting, double now) {
    if (now - machine.lastHeartbeatAt > UNRESPONSIVE_INTERVALS * heartbeatIntervalS) {
      return CallClass.UNRESPONSIVE;
    }
    boolean production =
        starting.stream().anyMatch(attempt -> attempt.job.spec.priority() == Priority.PRODUCTION);
    return production ? CallClass.PRODUCTION : CallClass.NORMAL;
  }

  private void send(Machine machine, Batch batch) {
    long token = machine.token;
    machine.commandInFlight = true;
    machine.highestIssuedToken = Math.max(machine.highestIssuedToken, token);
    byte[] body = WorkerCodec.directCommand(token, machine.agentEpoch, batch.commands);
    WorkerCalls.call(context, machine, "POST", COMMAND_PATH, body, callTimeoutS)
        .onComplete(
            result ->
                context
                    .profile()
                    .run("command", () -> commandEnded(machine, token, batch.starting, result)));
  }

  private void commandEnded(
      Machine machine, long token, List<Attempt> starting, AsyncResult<HttpReply> result) {
    try {
      if (result.succeeded()) {
        commandAnswered(machine, token, starting, result.result());
      } else {
        commandFailed(machine, token, starting, result.cause());
      }
    } finally {
      callLimiter.release();
    }
  }

  private void commandAnswered(
      Machine machine, long token, List<Attempt> starting, HttpReply reply) {
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
      commandFailed(machine, token, starting, new CallFailedException(executed, e.getMessage()));
      return;
    }
    updateLaunchStates(machine, starting, executed);
    if (!executed) {
      machine.commandFailedAt = context.clock().now();
    }
    if (executed
        && !heartbeat.isNewerThan(machine.agentEpoch, machine.heartbeatSeq)
        && heartbeat.agentEpoch() == machine.agentEpoch) {
      // A newer heartbeat overtook this response. It was reconciled while these starts still
      // counted as in flight.
      return;
    }
    if (reconcile.test(heartbeat, machine) && executed) {
      sendDue(machine);
    }
  }

  private void updateLaunchStates(Machine machine, List<Attempt> starting, boolean executed) {
    for (Attempt attempt : starting) {
      if (attempt.launchState == LaunchState.SENDING) {
        // If the agent executed the call, it has started the task, which may have ended since. If
        // it refused the call, no copy of the start command is left.
        if (executed) {
          attempt.launchState = LaunchState.CONFIRMED;
        } else {
          attempts.startNotExecuted(attempt, machine);
        }
      }
    }
  }

  private void commandFailed(Machine machine, long token, List<Attempt> starting, Throwable cause) {
    machine.commandInFlight = false;
    machine.commandFailedAt = context.clock().now();
    boolean sent = !(cause instanceof CallFailedException failure) || failure.sent();
    LOG.info(
        "command to machine {} failed (possibly sent: {}): {}",
        machine.name,
        sent,
        cause.getMessage());
    if (sent) {
      AttemptReconciler.fenceOff(machine, token);
    }
    if (sent || !(cause instanceof CallFailedException failure) || failure.tried()) {
      reachability.callUnanswered(machine, context.clock().now());
    }
    for (Attempt attempt : starting) {
      if (attempt.launchState == LaunchState.SENDING) {
        if (sent) {
          attempt.launchState = LaunchState.UNCONFIRMED;
        } else {
          attempts.startNotExecuted(attempt, machine);
        }
      }
    }
  }
}
