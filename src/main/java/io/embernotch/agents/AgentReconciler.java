package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;

/**
 * Reconciles the leader's open attempts with the tasks that agents report. It processes heartbeats,
 * sends commands, and determines which attempts exist and which have provably ended. The {@link
 * Listener} applies the consequences to jobs.
 *
 * <p>This class is the entry point of the package and creates its components. An instance belongs
 * to one leadership term and is confined to the leader's event loop.
 */
public final class AgentReconciler {

  /** Receives the conclusions drawn from agents' messages. Called on the leader's event loop. */
  public interface Listener {
    /** Called when the machine's agent first reports the task of this attempt as running. */
    void taskRunning(Attempt attempt, Machine machine);

    /**
     * Called when the machine's agent reports that the attempt has exited. It is still open.
     *
     * @param saved whether the task saved a checkpoint before it exited
     */
    void taskExited(Attempt attempt, Machine machine, ExitCause cause, boolean saved);

    /**
     * Called when an attempt whose exit was not reported has provably ended, or can no longer
     * start.
     *
     * @param reason the proof, for the log
     */
    void attemptLost(Attempt attempt, Machine machine, String reason);

    /** Called when an agent reports a fencing token of a later term. */
    void superseded(long token);

    /**
     * Called when an agent reports a fencing token of this term's epoch that this term has not
     * issued to it: another term has had the same epoch, so the store was rolled back in between.
     */
    void unissuedTokenSeen(Machine machine, long token);

    /**
     * Called when a machine reports a task, exited or not, for which no attempt is open on it.
     *
     * @param ref id of the task's job
     */
    void unexpectedTaskReported(Machine machine, String ref);

    /** Called when a machine has become available or is about to be reclaimed. */
    void clusterChanged();

    /** Returns whether the leader's lease is proven. Only then may a task be started. */
    boolean isLeading();

    /** Returns whether all consequences of the task's exited attempts are in the store. */
    boolean isOutcomePersisted(String ref, int task);
  }

  private final long tokenBase;
  private final WorkerLeases workerLeases;
  private final StatusProber prober;
  private final HeartbeatProcessor heartbeats;
  private final CommandSender commands;

  /**
   * Creates the reconciler of a term that begins now.
   *
   * @param state the cluster state of this term, which this class updates
   * @param epoch the epoch of this term
   * @param delegations the lease renewals that other controllers may have made
   */
  public AgentReconciler(
      ControllerContext context,
      ClusterState state,
      long epoch,
      RenewalDelegations delegations,
      Listener listener) {
    this.tokenBase = FencingTokens.base(epoch);
    double heartbeatIntervalS = context.settings().workers().heartbeatIntervalS();
    // A call times out before the next heartbeat is due.
    double callTimeoutS = heartbeatIntervalS * 2 / 3;
    this.workerLeases =
        new WorkerLeases(context.settings(), context.clock(), delegations, tokenBase);
    CallConcurrencyLimiter callLimiter =
        new CallConcurrencyLimiter(context.settings().quota().directCalls());
    ReachabilityTracker reachability = new ReachabilityTracker(tokenBase, heartbeatIntervalS);
    this.prober =
        new StatusProber(
            context, callLimiter, reachability, callTimeoutS, this::reconcileCallResponse);
    AttemptReconciler attempts = new AttemptReconciler(tokenBase, listener, new ImageCache(state));
    this.heartbeats =
        new HeartbeatProcessor(
            context,
            state,
            tokenBase,
            listener,
            attempts,
            new HeartbeatResponder(context, tokenBase, listener),
            reachability,
            prober);
    this.commands =
        new CommandSender(
            context,
            state,
            listener,
            callLimiter,
            reachability,
            this::reconcileCallResponse,
            callTimeoutS);
  }

  private boolean reconcileCallResponse(Heartbeat heartbeat, Machine machine) {
    return heartbeats.reconcile(heartbeat, HeartbeatOrigin.CALL_RESPONSE, machine);
  }

  /** The lowest fencing token of this term. */
  public long tokenBase() {
    return tokenBase;
  }

  /**
   * Returns whether the machine was deleted in this term. The cloud may still list it, since its
   * lists lag behind, and delayed heartbeats of it may still arrive.
   */
  public boolean wasDeleted(String name) {
    return heartbeats.wasDeleted(name);
  }

  /** Records that a machine was deleted. Its heartbeats are ignored from now on. */
  public void markDeleted(String name) {
    heartbeats.markDeleted(name);
  }

  /**
   * Processes a heartbeat whose agent waits for the response.
   *
   * @param leaseProven whether the leader's lease is proven; otherwise the response carries no
   *     commands but stops
   * @param forwarder the process incarnation of the controller that forwarded the heartbeat; 0 if
   *     the agent sent it to this controller
   * @return the body of the response with status 200; null if this leader must not answer the agent
   */
  public byte[] processHeartbeat(Heartbeat heartbeat, boolean leaseProven, long forwarder) {
    return heartbeats.process(heartbeat, leaseProven, forwarder);
  }

  /**
   * Processes a heartbeat whose agent does not wait, or no longer waits, for a response. Other
   * controllers forward such heartbeats to a new leader.
   *
   * @return false if the machine was deleted in this term, or if the heartbeat proves that this
   *     leader is superseded
   */
  public boolean processWithoutReply(Heartbeat heartbeat) {
    return heartbeats.processWithoutResponse(heartbeat);
  }

  /**
   * Sends due stops directly to the machine, and requests a heartbeat from it if a start is due,
   * unless a command to it is in flight or has just failed.
   */
  public void sendDueCommands(Machine machine) {
    commands.sendDue(machine);
  }

  /**
   * Returns whether the lease of the machine's agent must have expired, whichever controller
   * renewed it last.
   */
  public boolean leaseExpired(Machine machine) {
    return workerLeases.isExpired(machine);
  }

  /**
   * Returns the time by which all tasks on the machine have ended if this leader never reaches it
   * again, even if other controllers renew its lease for as long as they may.
   *
   * @return seconds of the steady clock; {@link Double#MAX_VALUE} if the machine's zone is unknown
   */
  public double leaseExpiresBy(Machine machine) {
    return workerLeases.leaseExpiresBy(machine);
  }

  /** Requests the status of an unresponsive machine, unless a request to it is in flight. */
  public void probe(Machine machine) {
    prober.probe(machine);
  }

  /** Requests the status of a machine that has sent no heartbeat yet; otherwise does nothing. */
  public void discover(Machine machine) {
    prober.discover(machine);
  }
}
