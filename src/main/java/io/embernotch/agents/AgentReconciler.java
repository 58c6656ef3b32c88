package io.embernotch.agents;

import io.embernotch.codec.MalformedInputException;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.CallFailedException;
import io.embernotch.http.HttpReply;
import io.embernotch.state.ClusterState;
import io.embernotch.model.Attempt;
import io.embernotch.model.Attempt.LaunchState;
import io.embernotch.model.ExitCause;
import io.embernotch.model.JobSpec;
import io.embernotch.model.Machine;
import io.embernotch.model.AgentCommand;
import io.embernotch.model.Priority;
import io.embernotch.model.TaskStatus;
import io.embernotch.model.TaskState;
import io.embernotch.model.Heartbeat;
import io.embernotch.settings.HostPort;
import io.embernotch.settings.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Talks to workers: sends orders, reads reports, and works out from them which attempts are there
 * and which are proven gone. What follows from that for jobs is the {@link Listener}'s business.
 */
public final class AgentReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(AgentReconciler.class);

  /** What is told of attempts. */
  public interface Listener {
    void taskRunning(Attempt attempt, Machine machine);

    /** The attempt has exited on its machine; it is still open. */
    void taskExited(Attempt attempt, Machine machine, ExitCause cause, boolean saved);

    /** The attempt is proven gone without an exit. */
    void attemptGone(Attempt attempt, Machine machine, String why);

    /** A worker has seen a token newer than ours. */
    void superseded(long token);

    /** Something changed that a plan may use. */
    void clusterChanged();

    /** True while the lease is proven: only then is anything started. */
    boolean isLeading();

    /** True once everything that an exited attempt's end means is in the store. */
    boolean isOutcomePersisted(String ref, int task);
  }

  private final ControllerContext context;
  private final ClusterState state;
  private final Listener listener;
  private final long tokenBase;
  private final double callS;
  /** A worker drops an answer that comes later than this after its heartbeat ("Workers"), whatever its clock's drift. */
  private static final double ANSWERABLE_S = 4 * (1 + 2 * Settings.DRIFT);

  /** Images of a machine that are remembered, whatever their size. */
  private static final int MOST_IMAGES = 32;

  private final Set<String> markDeleted = new HashSet<>();
  private final WorkerLeases workerLeases;
  private final CallConcurrencyLimiter callLimiter;
  private final HeartbeatResponder responder;
  private final ReachabilityTracker reachability;
  private final StatusProber prober;

  public AgentReconciler(ControllerContext context, ClusterState state, long epoch, RenewalDelegations delegations, Listener listener) {
    this.context = context;
    this.state = state;
    this.listener = listener;
    this.tokenBase = FencingTokens.base(epoch);
    this.workerLeases = new WorkerLeases(context.settings(), context.clock(), delegations, tokenBase);
    this.callS = context.settings().workers().heartbeatIntervalS() * 2 / 3;
    this.callLimiter = new CallConcurrencyLimiter(context.settings().quota().directCalls());
    this.responder = new HeartbeatResponder(context, callLimiter, tokenBase, listener);
    this.reachability = new ReachabilityTracker(tokenBase, context.settings().workers().heartbeatIntervalS());
    this.prober = new StatusProber(context, callLimiter, reachability, callS, this::reconcile);
  }

  public long tokenBase() {
    return tokenBase;
  }

  /** True for machines that were deleted: lists lag, and packets may be late. */
  public boolean wasDeleted(String name) {
    return markDeleted.contains(name);
  }

  public void markDeleted(String name) {
    markDeleted.add(name);
  }

  /**
   * Takes a heartbeat that a worker sent, and returns the body of the 200; null if it must not get one.
   *
   * @param via the life of the controller that it was sent to; see {@link ReachabilityTracker}
   */
  public byte[] processHeartbeat(Heartbeat heartbeat, boolean trusted, long via) {
    if (wasDeleted(heartbeat.machine())) {
      return null;
    }
    Machine machine = state.machine(heartbeat.machine(), tokenBase);
    boolean unsure = heartbeat.token() < machine.incarnationToken;
    boolean newer = !unsure && heartbeat.newerThan(machine.agentEpoch, machine.heartbeatSeq) && heartbeat.token() >= machine.highestReportedToken;
    if (machine.deleting && !newer) {
      return null;
    }
    double now = context.clock().now();
    if (!newer && !unsure && now - machine.lastHeartbeatAt > ANSWERABLE_S) {
      // A copy, or another incarnation that counts anew. Nobody takes an answer to it: its worker has given up on it
      // before what we have heard since was made. So it renews nothing; taken for news, copies of what a dead
      // machine had said kept its lease assumed, and its services down, for as long as they came.
      prober.probeAtMostOncePerInterval(machine);
      return WorkerCodec.emptyResponse();
    }
    if (newer) {
      reachability.heartbeatReceived(machine, heartbeat, via, now);
    }
    if (!reconcileCurrentIncarnation(heartbeat, machine)) {
      return null;
    }
    machine.leaseRenewedAt = now;
    List<AgentCommand> orders = responder.commandsFor(machine, heartbeat, trusted);
    reachability.answering(machine);
    return WorkerCodec.response(machine.token, orders);
  }

  /** Learns from a heartbeat that was answered without a token; false if it tells us nothing. */
  public boolean processForwarded(Heartbeat heartbeat) {
    return !wasDeleted(heartbeat.machine()) && reconcileCurrentIncarnation(heartbeat, state.machine(heartbeat.machine(), tokenBase));
  }

  /**
   * Takes what a heartbeat tells. Of a machine that has begun another incarnation, only what shows that it is of this one: a
   * copy of the former incarnation's with a later session once would have proven gone what had just been started.
   */
  private boolean reconcileCurrentIncarnation(Heartbeat heartbeat, Machine machine) {
    return heartbeat.token() < machine.incarnationToken || reconcile(heartbeat, machine);
  }

  /** Learns from a heartbeat, whichever way it came. False if it shows us to be outranked. */
  public boolean reconcile(Heartbeat heartbeat, Machine machine) {
    if (heartbeat.token() > machine.token) {
      if (FencingTokens.epochOf(heartbeat.token()) > FencingTokens.epochOf(tokenBase)) {
        listener.superseded(heartbeat.token());
        return false;
      }
      machine.token = heartbeat.token();
    }
    boolean newer = heartbeat.newerThan(machine.agentEpoch, machine.heartbeatSeq);
    if (!newer || heartbeat.token() < machine.highestReportedToken) {
      // Tokens that a worker has seen only rise, so where they and the order of messages contradict each other
      // it is of another incarnation, before or after.
      if (newer || heartbeat.token() != machine.highestReportedToken) {
        // Late, or of another incarnation of the machine, which counts anew: an answer made from now on tells.
        prober.probeAtMostOncePerInterval(machine);
      }
      return true;
    }
    double now = context.clock().now();
    boolean first = !machine.up();
    if (first) {
      machine.upAt = now;
      machine.idleSince = now;
      machine.rentedAt = machine.rentedAt == 0 ? now : machine.rentedAt;
      LOG.debug("machine {} is up after {} s", machine.name, Math.round(now - machine.rentedAt));
    }
    machine.type = state.types.getOrDefault(heartbeat.type(), machine.type);
    machine.zone = heartbeat.zone();
    machine.spot = heartbeat.spot();
    machine.address = heartbeat.address();
    boolean newSession = heartbeat.agentEpoch() > machine.agentEpoch;
    if (newSession && machine.agentEpoch > 0) {
      machine.images.clear();
    }
    machine.lastHeartbeatAt = now;
    machine.highestReportedToken = heartbeat.token();
    if (heartbeat.token() >= tokenBase && machine.confirmedAliveAt < 0) {
      // Made after this term began: no copy from before it.
      machine.confirmedAliveAt = now;
    }
    if (heartbeat.reclaimInS() != null && machine.reclaimAt < 0) {
      LOG.info("machine {} reclaimed by the cloud in {} s", machine.name, heartbeat.reclaimInS());
      machine.reclaimAt = now + heartbeat.reclaimInS();
      listener.clusterChanged();
    }
    long oldSession = machine.agentEpoch;
    machine.agentEpoch = heartbeat.agentEpoch();
    machine.heartbeatSeq = heartbeat.seq();
    Set<String> listed = new HashSet<>();
    for (TaskStatus t : heartbeat.tasks()) {
      String key = Machine.taskKey(t.ref(), t.task());
      Attempt attempt = machine.openAttempts.get(key);
      if (attempt != null && attempt.number == t.attempt()) {
        listed.add(key);
        reconcilePresent(attempt, machine, t, now);
      }
    }
    for (Attempt attempt : List.copyOf(machine.openAttempts.values())) {
      if (!listed.contains(Machine.taskKey(attempt.job.spec.ref(), attempt.task))) {
        reconcileAbsent(attempt, machine, heartbeat, newSession && oldSession > 0);
      }
    }
    if (first || newSession) {
      listener.clusterChanged();
    }
    return true;
  }

  private void reconcilePresent(Attempt attempt, Machine machine, TaskStatus t, double now) {
    attempt.launchState = LaunchState.CONFIRMED;
    TaskState before = attempt.state;
    if (t.state() == TaskState.EXITED) {
      boolean hadImage = before != null && before != TaskState.FETCHING;
      if (hadImage || t.cause() == ExitCause.DONE) {
        rememberImage(machine, attempt.job.spec);
      }
      listener.taskExited(attempt, machine, t.cause(), t.saved());
      return;
    }
    if (before != t.state()) {
      attempt.state = t.state();
      machine.attemptsChanged();
      if (t.state() != TaskState.FETCHING) {
        rememberImage(machine, attempt.job.spec);
      }
    }
    if (t.state() == TaskState.RUNNING && attempt.runningAt < 0) {
      attempt.runningAt = now;
      listener.taskRunning(attempt, machine);
    }
  }

  /** Remembers the image, and forgets the least recently used ones that no longer fit. */
  private void rememberImage(Machine machine, JobSpec spec) {
    machine.images.remove(spec.image());
    machine.images.add(spec.image());
    state.imageGb.put(spec.image(), spec.imageGb());
    double held = machine.images.stream().mapToDouble(i -> state.imageGb.getOrDefault(i, 0.0)).sum();
    while (machine.images.size() > 1 && (machine.images.size() > MOST_IMAGES || (machine.type != null && machine.type.cacheGb() > 0 && held > machine.type.cacheGb()))) {
      String oldest = machine.images.iterator().next();
      machine.images.remove(oldest);
      held -= state.imageGb.getOrDefault(oldest, 0.0);
    }
  }

  private void reconcileAbsent(Attempt attempt, Machine machine, Heartbeat heartbeat, boolean newSession) {
    switch (attempt.launchState) {
      case CONFIRMED -> {
        if (newSession || heartbeat.token() > attempt.startToken) {
          listener.attemptGone(attempt, machine, newSession ? "new agent epoch" : "no longer in heartbeats");
        } else {
          // A machine that is back without its tasks would carry out a copy of the start that comes only now.
          attempt.launchState = LaunchState.UNCONFIRMED;
          fenceOff(machine, attempt.startToken);
        }
      }
      // A response is executed before the next heartbeat or dropped, so this start never happened.
      case IN_HEARTBEAT_RESPONSE -> launchNeverSent(attempt, machine);
      case UNCONFIRMED -> {
        // The late command carries at most startToken: a worker past it refuses the command. In a
        // later session than the one it named it is refused as well.
        if (heartbeat.token() > attempt.startToken || (newSession && attempt.startToken >= tokenBase)) {
          listener.attemptGone(attempt, machine, "never started");
        }
      }
      case UNCOMMITTED, READY, SENDING -> {
        // Nothing has left, or the direct command's own answer will tell.
      }
    }
  }

  /**
   * Nothing of the attempt's start is on the way any more. One that is to end has ended with that: it once stayed
   * open for good, and kept its gang from starting again.
   */
  private void launchNeverSent(Attempt attempt, Machine machine) {
    attempt.launchState = LaunchState.READY;
    if (attempt.stopping) {
      listener.attemptGone(attempt, machine, "never started");
    }
  }

  /** Sends what is due straight to the machine, unless something is already on the way. */
  public void sendDueCommands(Machine machine) {
    double now = context.clock().now();
    if (machine.commandInFlight || machine.address == null || machine.agentEpoch == 0 || now - machine.commandFailedAt < callS) {
      return;
    }
    List<AgentCommand> orders = new ArrayList<>();
    List<Attempt> starting = new ArrayList<>();
    List<Attempt> stopping = new ArrayList<>();
    // A command may have waited for its turn, or for the answer to another, while leadership was lost.
    boolean mayStart = listener.isLeading();
    for (Attempt attempt : machine.openAttempts.values()) {
      if (attempt.launchState == LaunchState.READY && !attempt.stopping && mayStart) {
        orders.add(HeartbeatResponder.start(attempt));
        starting.add(attempt);
      } else if (HeartbeatResponder.stopDue(attempt) && now - attempt.stopSentAt > context.settings().workers().heartbeatIntervalS()) {
        orders.add(HeartbeatResponder.stop(attempt));
        stopping.add(attempt);
      }
    }
    if (orders.isEmpty() || !callLimiter.tryEnter(machine, need(machine, starting, now), () -> sendDueCommands(machine))) {
      return;
    }
    for (Attempt attempt : starting) {
      attempt.launchState = LaunchState.SENDING;
      attempt.startToken = machine.token;
      machine.highestSentToken = machine.token;
    }
    stopping.forEach(attempt -> attempt.stopSentAt = now);
    sendCommand(machine, orders, starting);
  }

  private CallConcurrencyLimiter.CallClass need(Machine machine, List<Attempt> starting, double now) {
    if (now - machine.lastHeartbeatAt > 2 * context.settings().workers().heartbeatIntervalS()) {
      return CallConcurrencyLimiter.CallClass.UNRESPONSIVE;
    }
    boolean live = starting.stream().anyMatch(attempt -> attempt.job.spec.priority() == Priority.PRODUCTION);
    return live ? CallConcurrencyLimiter.CallClass.LIVE : CallConcurrencyLimiter.CallClass.NORMAL;
  }

  private void sendCommand(Machine machine, List<AgentCommand> orders, List<Attempt> starting) {
    HostPort to;
    try {
      to = HostPort.parse(machine.address);
    } catch (IllegalArgumentException e) {
      LOG.info("machine {} has no usable address: {}", machine.name, machine.address);
      machine.commandFailedAt = context.clock().now();
      starting.forEach(attempt -> launchNeverSent(attempt, machine));
      callLimiter.leave();
      return;
    }
    long token = machine.token;
    machine.commandInFlight = true;
    context.workers()
        .call("POST", to, "/do", WorkerCodec.directCommand(token, machine.agentEpoch, orders), callS)
        .onComplete(r -> context.profile().run("command", () -> {
          if (r.succeeded()) {
            commandAnswered(machine, token, starting, r.result());
          } else {
            commandFailed(machine, token, starting, r.cause());
          }
          callLimiter.leave();
        }));
  }

  private void commandAnswered(Machine machine, long token, List<Attempt> starting, HttpReply reply) {
    machine.commandInFlight = false;
    if (state.machines.get(machine.name) != machine) {
      return;
    }
    reachability.callAnswered(machine, context.clock().now());
    boolean done = reply.status() == 200;
    Heartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.read(reply.body());
    } catch (MalformedInputException e) {
      LOG.info("unreadable answer {} of {}: {}", reply.status(), machine.name, e.getMessage());
      commandFailed(machine, token, starting, new CallFailedException(done, e.getMessage()));
      return;
    }
    for (Attempt attempt : starting) {
      if (attempt.launchState == LaunchState.SENDING) {
        // Executed: it is listed, or was and has ended since. Refused: nothing of it is left.
        if (done) {
          attempt.launchState = LaunchState.CONFIRMED;
        } else {
          launchNeverSent(attempt, machine);
        }
      }
    }
    if (!done) {
      machine.commandFailedAt = context.clock().now();
    }
    if (done && !heartbeat.newerThan(machine.agentEpoch, machine.heartbeatSeq) && heartbeat.agentEpoch() == machine.agentEpoch) {
      // A newer heartbeat overtook this answer, and spoke before we knew of the starts in it.
      return;
    }
    if (reconcile(heartbeat, machine) && done) {
      sendDueCommands(machine);
    }
  }

  /** A command under this token may yet arrive, even minutes late. Under a higher one the worker will refuse it. */
  private static void fenceOff(Machine machine, long token) {
    machine.unconfirmedToken = Math.max(machine.unconfirmedToken, token);
    machine.token = Math.max(machine.token, token + 1);
  }

  private void commandFailed(Machine machine, long token, List<Attempt> starting, Throwable e) {
    machine.commandInFlight = false;
    machine.commandFailedAt = context.clock().now();
    boolean sent = !(e instanceof CallFailedException f) || f.sent();
    LOG.info("command to {} failed, sent {}: {}", machine.name, sent, e.getMessage());
    if (sent) {
      fenceOff(machine, token);
    }
    if (sent || !(e instanceof CallFailedException f) || f.tried()) {
      reachability.callUnanswered(machine, context.clock().now());
    }
    for (Attempt attempt : starting) {
      if (attempt.launchState == LaunchState.SENDING) {
        if (sent) {
          attempt.launchState = LaunchState.UNCONFIRMED;
        } else {
          launchNeverSent(attempt, machine);
        }
      }
    }
  }

  /** See {@link WorkerLeases#expired}. */
  public boolean leaseExpired(Machine machine) {
    return workerLeases.expired(machine);
  }

  /** See {@link WorkerLeases#goneBy}. */
  public double leaseExpiresBy(Machine machine) {
    return workerLeases.leaseExpiresBy(machine);
  }

  /** See {@link StatusProber#probe}. */
  public void probe(Machine machine) {
    prober.probe(machine);
  }

  /** See {@link StatusProber#find}. */
  public void find(Machine machine) {
    prober.find(machine);
  }
}
