package io.embernotch.agents;

import io.embernotch.context.ControllerContext;
import io.embernotch.model.Attempt;
import io.embernotch.model.ExitCause;
import io.embernotch.model.Heartbeat;
import io.embernotch.model.Machine;
import io.embernotch.state.ClusterState;

/**
 * Keeps the leader's attempts in agreement with what the agents run: processes their heartbeats,
 * sends them commands, and works out which attempts exist and which are proven gone. The
 * consequences for jobs are the {@link Listener}'s business.
 *
 * <p>This class is the entry point of the package and assembles its parts. It belongs to one term
 * of one leader, and is confined to that leader's event loop.
 */
public final class AgentReconciler {

  /** Receives what the agents' messages prove; called on the leader's event loop. */
  public interface Listener {
    /** A task has been seen running for the first time in this attempt. */
    void taskRunning(Attempt attempt, Machine machine);

    /**
     * The attempt has exited on its machine; it is still open.
     *
     * @param saved whether the task saved a checkpoint before it exited
     */
    void taskExited(Attempt attempt, Machine machine, ExitCause cause, boolean saved);

    /**
     * The attempt is proven gone without an exit.
     *
     * @param why the proof, for the log
     */
    void attemptGone(Attempt attempt, Machine machine, String why);

    /** An agent has seen a fencing token of a later term. */
    void superseded(long token);

    /**
     * An agent has seen a fencing token of this term's epoch that this term has not issued to it.
     */
    void unissuedTokenSeen(Machine machine, long token);

    /** The machine reports a task of this job, exited or not, of which no attempt is open there. */
    void unexpectedTaskReported(Machine machine, String ref);

    /** Something changed that the scheduler may use. */
    void clusterChanged();

    /** True while the leader's lease is proven: only then is anything started. */
    boolean isLeading();

    /** True once all consequences of an exited attempt of this task are in the store. */
    boolean isOutcomePersisted(String ref, int task);
  }

  private final long tokenBase;
  private final WorkerLeases workerLeases;
  private final StatusProber prober;
  private final HeartbeatProcessor heartbeats;
  private final CommandSender commands;

  /**
   * Creates the agents' side of a term that begins now.
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
    // A call ends before the next heartbeat is due.
    double callTimeoutS = heartbeatIntervalS * 2 / 3;
    this.workerLeases =
        new WorkerLeases(context.settings(), context.clock(), delegations, tokenBase);
    CallConcurrencyLimiter callLimiter =
        new CallConcurrencyLimiter(context.settings().quota().directCalls());
    ReachabilityTracker reachability = new ReachabilityTracker(tokenBase, heartbeatIntervalS);
    this.prober =
        new StatusProber(context, callLimiter, reachability, callTimeoutS, this::reconcile);
    AttemptReconciler attempts = new AttemptReconciler(tokenBase, listener, new ImageCache(state));
    this.heartbeats =
        new HeartbeatProcessor(
            context,
            state,
            tokenBase,
            listener,
            attempts,
            new HeartbeatResponder(context, callLimiter, tokenBase, listener),
            reachability,
            prober);
    this.commands =
        new CommandSender(
            context,
            state,
            listener,
            callLimiter,
            reachability,
            attempts,
            this::reconcile,
            callTimeoutS);
  }

  private boolean reconcile(Heartbeat heartbeat, Machine machine) {
    return heartbeats.reconcile(heartbeat, machine);
  }

  /** The lowest fencing token of this term. */
  public long tokenBase() {
    return tokenBase;
  }

  /**
   * True for machines that were deleted in this term: the cloud's lists lag behind, and packets may
   * be late.
   */
  public boolean wasDeleted(String name) {
    return heartbeats.wasDeleted(name);
  }

  /** The machine of this name was deleted; nothing that still arrives from it counts. */
  public void markDeleted(String name) {
    heartbeats.markDeleted(name);
  }

  /**
   * Processes a heartbeat whose agent waits for the response.
   *
   * @param leaseProven whether the leader's lease is proven, so that the response may do more than
   *     stop attempts
   * @param forwarder the process incarnation of the controller that it was sent to; 0 for this one
   * @return the body of the 200 response; null if the agent must not get one
   */
  public byte[] processHeartbeat(Heartbeat heartbeat, boolean leaseProven, long forwarder) {
    return heartbeats.process(heartbeat, leaseProven, forwarder);
  }

  /**
   * Learns from a heartbeat that another controller handed over and nobody waits for.
   *
   * @return false if it proves nothing
   */
  public boolean processForwarded(Heartbeat heartbeat) {
    return heartbeats.processForwarded(heartbeat);
  }

  /** Sends due commands directly to the machine, unless one is already in flight. */
  public void sendDueCommands(Machine machine) {
    commands.sendDue(machine);
  }

  /** True once the lease of the machine's agent has expired, whoever renewed it last. */
  public boolean leaseExpired(Machine machine) {
    return workerLeases.expired(machine);
  }

  /**
   * The instant, in steady seconds, by which all tasks have ended on a machine that is never
   * reached again, whoever else renews its lease; {@link Double#MAX_VALUE} if that is not known.
   */
  public double leaseExpiresBy(Machine machine) {
    return workerLeases.leaseExpiresBy(machine);
  }

  /** Requests the status of an unresponsive machine, unless such a request is in flight. */
  public void probe(Machine machine) {
    prober.probe(machine);
  }

  /** Requests the status of a machine that has sent no heartbeat yet; otherwise does nothing. */
  public void find(Machine machine) {
    prober.find(machine);
  }
}
