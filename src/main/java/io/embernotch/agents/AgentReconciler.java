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
    void taskRunning(Attempt a, Machine m);

    /** The attempt has exited on its machine; it is still open. */
    void taskExited(Attempt a, Machine m, ExitCause cause, boolean saved);

    /** The attempt is proven gone without an exit. */
    void attemptGone(Attempt a, Machine m, String why);

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
  /** A worker drops an answer that comes later than this after its report ("Workers"), whatever its clock's drift. */
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
   * Takes a report that a worker sent, and returns the body of the 200; null if it must not get one.
   *
   * @param via the life of the controller that it was sent to; see {@link ReachabilityTracker}
   */
  public byte[] processHeartbeat(Heartbeat r, boolean trusted, long via) {
    if (wasDeleted(r.machine())) {
      return null;
    }
    Machine m = state.machine(r.machine(), tokenBase);
    boolean unsure = r.token() < m.incarnationToken;
    boolean newer = !unsure && r.newerThan(m.agentEpoch, m.heartbeatSeq) && r.token() >= m.highestReportedToken;
    if (m.deleting && !newer) {
      return null;
    }
    double now = context.clock().now();
    if (!newer && !unsure && now - m.lastHeartbeatAt > ANSWERABLE_S) {
      // A copy, or another life that counts anew. Nobody takes an answer to it: its worker has given up on it
      // before what we have heard since was made. So it renews nothing; taken for news, copies of what a dead
      // machine had said kept its lease assumed, and its services down, for as long as they came.
      prober.probeAtMostOncePerInterval(m);
      return WorkerCodec.stay();
    }
    if (newer) {
      reachability.heartbeatReceived(m, r, via, now);
    }
    if (!reconcileCurrentIncarnation(r, m)) {
      return null;
    }
    m.leaseRenewedAt = now;
    List<AgentCommand> orders = responder.commandsFor(m, r, trusted);
    reachability.answering(m);
    return WorkerCodec.response(m.token, orders);
  }

  /** Learns from a report that was answered without a token; false if it tells us nothing. */
  public boolean processForwarded(Heartbeat r) {
    return !wasDeleted(r.machine()) && reconcileCurrentIncarnation(r, state.machine(r.machine(), tokenBase));
  }

  /**
   * Takes what a report tells. Of a machine that has begun another life, only what shows that it is of this one: a
   * copy of the former life's with a later session once would have proven gone what had just been started.
   */
  private boolean reconcileCurrentIncarnation(Heartbeat r, Machine m) {
    return r.token() < m.incarnationToken || reconcile(r, m);
  }

  /** Learns from a report, whichever way it came. False if it shows us to be outranked. */
  public boolean reconcile(Heartbeat r, Machine m) {
    if (r.token() > m.token) {
      if (FencingTokens.epochOf(r.token()) > FencingTokens.epochOf(tokenBase)) {
        listener.superseded(r.token());
        return false;
      }
      m.token = r.token();
    }
    boolean newer = r.newerThan(m.agentEpoch, m.heartbeatSeq);
    if (!newer || r.token() < m.highestReportedToken) {
      // Tokens that a worker has seen only rise, so where they and the order of messages contradict each other
      // it is of another life, before or after.
      if (newer || r.token() != m.highestReportedToken) {
        // Late, or of another life of the machine, which counts anew: an answer made from now on tells.
        prober.probeAtMostOncePerInterval(m);
      }
      return true;
    }
    double now = context.clock().now();
    boolean first = !m.up();
    if (first) {
      m.upAt = now;
      m.idleSince = now;
      m.rentedAt = m.rentedAt == 0 ? now : m.rentedAt;
      LOG.debug("machine {} is up after {} s", m.name, Math.round(now - m.rentedAt));
    }
    m.type = state.types.getOrDefault(r.type(), m.type);
    m.zone = r.zone();
    m.spot = r.spot();
    m.address = r.address();
    boolean newSession = r.agentEpoch() > m.agentEpoch;
    if (newSession && m.agentEpoch > 0) {
      m.images.clear();
    }
    m.lastHeartbeatAt = now;
    m.highestReportedToken = r.token();
    if (r.token() >= tokenBase && m.confirmedAliveAt < 0) {
      // Made after this term began: no copy from before it.
      m.confirmedAliveAt = now;
    }
    if (r.reclaimInS() != null && m.reclaimAt < 0) {
      LOG.info("machine {} is taken back in {} s", m.name, r.reclaimInS());
      m.reclaimAt = now + r.reclaimInS();
      listener.clusterChanged();
    }
    long oldSession = m.agentEpoch;
    m.agentEpoch = r.agentEpoch();
    m.heartbeatSeq = r.seq();
    Set<String> listed = new HashSet<>();
    for (TaskStatus t : r.tasks()) {
      String key = Machine.taskKey(t.ref(), t.task());
      Attempt a = m.openAttempts.get(key);
      if (a != null && a.number == t.attempt()) {
        listed.add(key);
        reconcilePresent(a, m, t, now);
      }
    }
    for (Attempt a : List.copyOf(m.openAttempts.values())) {
      if (!listed.contains(Machine.taskKey(a.job.spec.ref(), a.task))) {
        reconcileAbsent(a, m, r, newSession && oldSession > 0);
      }
    }
    if (first || newSession) {
      listener.clusterChanged();
    }
    return true;
  }

  private void reconcilePresent(Attempt a, Machine m, TaskStatus t, double now) {
    a.launchState = LaunchState.CONFIRMED;
    TaskState before = a.state;
    if (t.state() == TaskState.EXITED) {
      boolean hadImage = before != null && before != TaskState.FETCHING;
      if (hadImage || t.cause() == ExitCause.DONE) {
        rememberImage(m, a.job.spec);
      }
      listener.taskExited(a, m, t.cause(), t.saved());
      return;
    }
    if (before != t.state()) {
      a.state = t.state();
      m.attemptsChanged();
      if (t.state() != TaskState.FETCHING) {
        rememberImage(m, a.job.spec);
      }
    }
    if (t.state() == TaskState.RUNNING && a.runningAt < 0) {
      a.runningAt = now;
      listener.taskRunning(a, m);
    }
  }

  /** Remembers the image, and forgets the least recently used ones that no longer fit. */
  private void rememberImage(Machine m, JobSpec spec) {
    m.images.remove(spec.image());
    m.images.add(spec.image());
    state.imageGb.put(spec.image(), spec.imageGb());
    double held = m.images.stream().mapToDouble(i -> state.imageGb.getOrDefault(i, 0.0)).sum();
    while (m.images.size() > 1 && (m.images.size() > MOST_IMAGES || (m.type != null && m.type.cacheGb() > 0 && held > m.type.cacheGb()))) {
      String oldest = m.images.iterator().next();
      m.images.remove(oldest);
      held -= state.imageGb.getOrDefault(oldest, 0.0);
    }
  }

  private void reconcileAbsent(Attempt a, Machine m, Heartbeat r, boolean newSession) {
    switch (a.launchState) {
      case CONFIRMED -> {
        if (newSession || r.token() > a.startToken) {
          listener.attemptGone(a, m, newSession ? "new session" : "no longer reported");
        } else {
          // A machine that is back without its tasks would carry out a copy of the start that comes only now.
          a.launchState = LaunchState.UNCONFIRMED;
          fenceOff(m, a.startToken);
        }
      }
      // A response is executed before the next report or dropped, so this start never happened.
      case IN_HEARTBEAT_RESPONSE -> launchNeverSent(a, m);
      case UNCONFIRMED -> {
        // The late command carries at most startToken: a worker past it refuses the command. In a
        // later session than the one it named it is refused as well.
        if (r.token() > a.startToken || (newSession && a.startToken >= tokenBase)) {
          listener.attemptGone(a, m, "never started");
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
  private void launchNeverSent(Attempt a, Machine m) {
    a.launchState = LaunchState.READY;
    if (a.stopping) {
      listener.attemptGone(a, m, "never started");
    }
  }

  /** Sends what is due straight to the machine, unless something is already on the way. */
  public void sendDueCommands(Machine m) {
    double now = context.clock().now();
    if (m.commandInFlight || m.address == null || m.agentEpoch == 0 || now - m.commandFailedAt < callS) {
      return;
    }
    List<AgentCommand> orders = new ArrayList<>();
    List<Attempt> starting = new ArrayList<>();
    List<Attempt> stopping = new ArrayList<>();
    // A command may have waited for its turn, or for the answer to another, while leadership was lost.
    boolean mayStart = listener.isLeading();
    for (Attempt a : m.openAttempts.values()) {
      if (a.launchState == LaunchState.READY && !a.stopping && mayStart) {
        orders.add(HeartbeatResponder.start(a));
        starting.add(a);
      } else if (HeartbeatResponder.stopDue(a) && now - a.stopSentAt > context.settings().workers().heartbeatIntervalS()) {
        orders.add(HeartbeatResponder.stop(a));
        stopping.add(a);
      }
    }
    if (orders.isEmpty() || !callLimiter.tryEnter(m, need(m, starting, now), () -> sendDueCommands(m))) {
      return;
    }
    for (Attempt a : starting) {
      a.launchState = LaunchState.SENDING;
      a.startToken = m.token;
      m.highestSentToken = m.token;
    }
    stopping.forEach(a -> a.stopSentAt = now);
    sendCommand(m, orders, starting);
  }

  private CallConcurrencyLimiter.CallClass need(Machine m, List<Attempt> starting, double now) {
    if (now - m.lastHeartbeatAt > 2 * context.settings().workers().heartbeatIntervalS()) {
      return CallConcurrencyLimiter.CallClass.UNRESPONSIVE;
    }
    boolean live = starting.stream().anyMatch(a -> a.job.spec.priority() == Priority.PRODUCTION);
    return live ? CallConcurrencyLimiter.CallClass.LIVE : CallConcurrencyLimiter.CallClass.NORMAL;
  }

  private void sendCommand(Machine m, List<AgentCommand> orders, List<Attempt> starting) {
    HostPort to;
    try {
      to = HostPort.parse(m.address);
    } catch (IllegalArgumentException e) {
      LOG.info("machine {} has no usable address: {}", m.name, m.address);
      m.commandFailedAt = context.clock().now();
      starting.forEach(a -> launchNeverSent(a, m));
      callLimiter.leave();
      return;
    }
    long token = m.token;
    m.commandInFlight = true;
    context.workers()
        .call("POST", to, "/do", WorkerCodec.direct(token, m.agentEpoch, orders), callS)
        .onComplete(r -> context.profile().run("command", () -> {
          if (r.succeeded()) {
            commandAnswered(m, token, starting, r.result());
          } else {
            commandFailed(m, token, starting, r.cause());
          }
          callLimiter.leave();
        }));
  }

  private void commandAnswered(Machine m, long token, List<Attempt> starting, HttpReply reply) {
    m.commandInFlight = false;
    if (state.machines.get(m.name) != m) {
      return;
    }
    reachability.callAnswered(m, context.clock().now());
    boolean done = reply.status() == 200;
    Heartbeat r;
    try {
      r = WorkerCodec.read(reply.body());
    } catch (MalformedInputException e) {
      LOG.info("unreadable answer {} of {}: {}", reply.status(), m.name, e.getMessage());
      commandFailed(m, token, starting, new CallFailedException(done, e.getMessage()));
      return;
    }
    for (Attempt a : starting) {
      if (a.launchState == LaunchState.SENDING) {
        // Executed: it is listed, or was and has ended since. Refused: nothing of it is left.
        if (done) {
          a.launchState = LaunchState.CONFIRMED;
        } else {
          launchNeverSent(a, m);
        }
      }
    }
    if (!done) {
      m.commandFailedAt = context.clock().now();
    }
    if (done && !r.newerThan(m.agentEpoch, m.heartbeatSeq) && r.agentEpoch() == m.agentEpoch) {
      // A newer report overtook this answer, and spoke before we knew of the starts in it.
      return;
    }
    if (reconcile(r, m) && done) {
      sendDueCommands(m);
    }
  }

  /** A command under this token may yet arrive, even minutes late. Under a higher one the worker will refuse it. */
  private static void fenceOff(Machine m, long token) {
    m.unconfirmedToken = Math.max(m.unconfirmedToken, token);
    m.token = Math.max(m.token, token + 1);
  }

  private void commandFailed(Machine m, long token, List<Attempt> starting, Throwable e) {
    m.commandInFlight = false;
    m.commandFailedAt = context.clock().now();
    boolean sent = !(e instanceof CallFailedException f) || f.sent;
    LOG.info("direct command to {} failed, sent {}: {}", m.name, sent, e.getMessage());
    if (sent) {
      fenceOff(m, token);
    }
    if (sent || !(e instanceof CallFailedException f) || f.tried) {
      reachability.callUnanswered(m, context.clock().now());
    }
    for (Attempt a : starting) {
      if (a.launchState == LaunchState.SENDING) {
        if (sent) {
          a.launchState = LaunchState.UNCONFIRMED;
        } else {
          launchNeverSent(a, m);
        }
      }
    }
  }

  /** See {@link WorkerLeases#expired}. */
  public boolean leaseExpired(Machine m) {
    return workerLeases.expired(m);
  }

  /** See {@link WorkerLeases#goneBy}. */
  public double leaseExpiresBy(Machine m) {
    return workerLeases.leaseExpiresBy(m);
  }

  /** See {@link StatusProber#probe}. */
  public void probe(Machine m) {
    prober.probe(m);
  }

  /** See {@link StatusProber#find}. */
  public void find(Machine m) {
    prober.find(m);
  }
}
