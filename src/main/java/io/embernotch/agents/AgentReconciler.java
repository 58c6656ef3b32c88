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
 * and which are proven gone. What follows from that for jobs is the {@link Outcome}'s business.
 */
public final class AgentReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(AgentReconciler.class);

  /** What is told of attempts. */
  public interface Outcome {
    void running(Attempt a, Machine m);

    /** The attempt has exited on its machine; it is still open. */
    void exited(Attempt a, Machine m, ExitCause cause, boolean saved);

    /** The attempt is proven gone without an exit. */
    void gone(Attempt a, Machine m, String why);

    /** A worker has seen a token newer than ours. */
    void outranked(long token);

    /** Something changed that a plan may use. */
    void changed();

    /** True while the lease is proven: only then is anything started. */
    boolean leads();

    /** True once everything that an exited attempt's end means is in the store. */
    boolean settled(String ref, int task);
  }

  private final ControllerContext env;
  private final ClusterState ledger;
  private final Outcome outcome;
  private final long epochBase;
  private final double callS;
  /** A worker drops an answer that comes later than this after its report ("Workers"), whatever its clock's drift. */
  private static final double ANSWERABLE_S = 4 * (1 + 2 * Settings.DRIFT);

  /** Images of a machine that are remembered, whatever their size. */
  private static final int MOST_IMAGES = 32;

  private final Set<String> deleted = new HashSet<>();
  private final WorkerLeases leases;
  private final CallConcurrencyLimiter lanes;
  private final HeartbeatResponder inResponse;
  private final ReachabilityTracker hearing;
  private final StatusProber asking;

  public AgentReconciler(ControllerContext env, ClusterState ledger, long epoch, RenewalDelegations delegations, Outcome outcome) {
    this.env = env;
    this.ledger = ledger;
    this.outcome = outcome;
    this.epochBase = FencingTokens.base(epoch);
    this.leases = new WorkerLeases(env.settings(), env.clock(), delegations, epochBase);
    this.callS = env.settings().workers().reportS() * 2 / 3;
    this.lanes = new CallConcurrencyLimiter(env.settings().quota().directCalls());
    this.inResponse = new HeartbeatResponder(env, lanes, epochBase, outcome);
    this.hearing = new ReachabilityTracker(epochBase, env.settings().workers().reportS());
    this.asking = new StatusProber(env, lanes, hearing, callS, this::absorb);
  }

  public long base() {
    return epochBase;
  }

  /** True for machines that were deleted: lists lag, and packets may be late. */
  public boolean wasDeleted(String name) {
    return deleted.contains(name);
  }

  public void deleted(String name) {
    deleted.add(name);
  }

  /**
   * Takes a report that a worker sent, and returns the body of the 200; null if it must not get one.
   *
   * @param via the life of the controller that it was sent to; see {@link ReachabilityTracker}
   */
  public byte[] report(Heartbeat r, boolean trusted, long via) {
    if (wasDeleted(r.machine())) {
      return null;
    }
    Machine m = ledger.machine(r.machine(), epochBase);
    boolean unsure = r.token() < m.lifeToken;
    boolean newer = !unsure && r.newerThan(m.session, m.seq) && r.token() >= m.seenToken;
    if (m.deleting && !newer) {
      return null;
    }
    double now = env.clock().now();
    if (!newer && !unsure && now - m.heardAt > ANSWERABLE_S) {
      // A copy, or another life that counts anew. Nobody takes an answer to it: its worker has given up on it
      // before what we have heard since was made. So it renews nothing; taken for news, copies of what a dead
      // machine had said kept its lease assumed, and its services down, for as long as they came.
      asking.once(m);
      return WorkerCodec.stay();
    }
    if (newer) {
      hearing.reported(m, r, via, now);
    }
    if (!tell(r, m)) {
      return null;
    }
    m.renewedAt = now;
    List<AgentCommand> orders = inResponse.of(m, r, trusted);
    hearing.answering(m);
    return WorkerCodec.response(m.token, orders);
  }

  /** Learns from a report that was answered without a token; false if it tells us nothing. */
  public boolean learn(Heartbeat r) {
    return !wasDeleted(r.machine()) && tell(r, ledger.machine(r.machine(), epochBase));
  }

  /**
   * Takes what a report tells. Of a machine that has begun another life, only what shows that it is of this one: a
   * copy of the former life's with a later session once would have proven gone what had just been started.
   */
  private boolean tell(Heartbeat r, Machine m) {
    return r.token() < m.lifeToken || absorb(r, m);
  }

  /** Learns from a report, whichever way it came. False if it shows us to be outranked. */
  public boolean absorb(Heartbeat r, Machine m) {
    if (r.token() > m.token) {
      if (FencingTokens.epochOf(r.token()) > FencingTokens.epochOf(epochBase)) {
        outcome.outranked(r.token());
        return false;
      }
      m.token = r.token();
    }
    boolean newer = r.newerThan(m.session, m.seq);
    if (!newer || r.token() < m.seenToken) {
      // Tokens that a worker has seen only rise, so where they and the order of messages contradict each other
      // it is of another life, before or after.
      if (newer || r.token() != m.seenToken) {
        // Late, or of another life of the machine, which counts anew: an answer made from now on tells.
        asking.once(m);
      }
      return true;
    }
    double now = env.clock().now();
    boolean first = !m.up();
    if (first) {
      m.upAt = now;
      m.idleSince = now;
      m.bornAt = m.bornAt == 0 ? now : m.bornAt;
      LOG.debug("machine {} is up after {} s", m.name, Math.round(now - m.bornAt));
    }
    m.type = ledger.types.getOrDefault(r.type(), m.type);
    m.zone = r.zone();
    m.spot = r.spot();
    m.address = r.address();
    boolean newSession = r.session() > m.session;
    if (newSession && m.session > 0) {
      m.images.clear();
    }
    m.heardAt = now;
    m.seenToken = r.token();
    if (r.token() >= epochBase && m.provenAt < 0) {
      // Made after this term began: no copy from before it.
      m.provenAt = now;
    }
    if (r.recallS() != null && m.recallAt < 0) {
      LOG.info("machine {} is taken back in {} s", m.name, r.recallS());
      m.recallAt = now + r.recallS();
      outcome.changed();
    }
    long oldSession = m.session;
    m.session = r.session();
    m.seq = r.seq();
    Set<String> listed = new HashSet<>();
    for (TaskStatus t : r.tasks()) {
      String key = Machine.taskKey(t.ref(), t.task());
      Attempt a = m.open.get(key);
      if (a != null && a.number == t.attempt()) {
        listed.add(key);
        present(a, m, t, now);
      }
    }
    for (Attempt a : List.copyOf(m.open.values())) {
      if (!listed.contains(Machine.taskKey(a.job.spec.ref(), a.task))) {
        absent(a, m, r, newSession && oldSession > 0);
      }
    }
    if (first || newSession) {
      outcome.changed();
    }
    return true;
  }

  private void present(Attempt a, Machine m, TaskStatus t, double now) {
    a.start = LaunchState.HELD;
    TaskState before = a.state;
    if (t.state() == TaskState.EXITED) {
      boolean hadImage = before != null && before != TaskState.FETCHING;
      if (hadImage || t.cause() == ExitCause.DONE) {
        cache(m, a.job.spec);
      }
      outcome.exited(a, m, t.cause(), t.saved());
      return;
    }
    if (before != t.state()) {
      a.state = t.state();
      m.touched();
      if (t.state() != TaskState.FETCHING) {
        cache(m, a.job.spec);
      }
    }
    if (t.state() == TaskState.RUNNING && a.runningAt < 0) {
      a.runningAt = now;
      outcome.running(a, m);
    }
  }

  /** Remembers the image, and forgets the least recently used ones that no longer fit. */
  private void cache(Machine m, JobSpec spec) {
    m.images.remove(spec.image());
    m.images.add(spec.image());
    ledger.imageGb.put(spec.image(), spec.imageGb());
    double held = m.images.stream().mapToDouble(i -> ledger.imageGb.getOrDefault(i, 0.0)).sum();
    while (m.images.size() > 1 && (m.images.size() > MOST_IMAGES || (m.type != null && m.type.cacheGb() > 0 && held > m.type.cacheGb()))) {
      String oldest = m.images.iterator().next();
      m.images.remove(oldest);
      held -= ledger.imageGb.getOrDefault(oldest, 0.0);
    }
  }

  private void absent(Attempt a, Machine m, Heartbeat r, boolean newSession) {
    switch (a.start) {
      case HELD -> {
        if (newSession || r.token() > a.startToken) {
          outcome.gone(a, m, newSession ? "new session" : "no longer reported");
        } else {
          // A machine that is back without its tasks would carry out a copy of the start that comes only now.
          a.start = LaunchState.UNSURE;
          refuseUpTo(m, a.startToken);
        }
      }
      // A response is executed before the next report or dropped, so this start never happened.
      case IN_RESPONSE -> neverLeft(a, m);
      case UNSURE -> {
        // The late command carries at most startToken: a worker past it refuses the command. In a
        // later session than the one it named it is refused as well.
        if (r.token() > a.startToken || (newSession && a.startToken >= epochBase)) {
          outcome.gone(a, m, "never started");
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
  private void neverLeft(Attempt a, Machine m) {
    a.start = LaunchState.READY;
    if (a.stopping) {
      outcome.gone(a, m, "never started");
    }
  }

  /** Sends what is due straight to the machine, unless something is already on the way. */
  public void flush(Machine m) {
    double now = env.clock().now();
    if (m.doInFlight || m.address == null || m.session == 0 || now - m.doFailedAt < callS) {
      return;
    }
    List<AgentCommand> orders = new ArrayList<>();
    List<Attempt> starting = new ArrayList<>();
    List<Attempt> stopping = new ArrayList<>();
    // A command may have waited for its turn, or for the answer to another, while leadership was lost.
    boolean mayStart = outcome.leads();
    for (Attempt a : m.open.values()) {
      if (a.start == LaunchState.READY && !a.stopping && mayStart) {
        orders.add(HeartbeatResponder.start(a));
        starting.add(a);
      } else if (HeartbeatResponder.stopDue(a) && now - a.stopSentAt > env.settings().workers().reportS()) {
        orders.add(HeartbeatResponder.stop(a));
        stopping.add(a);
      }
    }
    if (orders.isEmpty() || !lanes.enter(m, need(m, starting, now), () -> flush(m))) {
      return;
    }
    for (Attempt a : starting) {
      a.start = LaunchState.SENDING;
      a.startToken = m.token;
      m.sentToken = m.token;
    }
    stopping.forEach(a -> a.stopSentAt = now);
    direct(m, orders, starting);
  }

  private CallConcurrencyLimiter.Need need(Machine m, List<Attempt> starting, double now) {
    if (now - m.heardAt > 2 * env.settings().workers().reportS()) {
      return CallConcurrencyLimiter.Need.SILENT;
    }
    boolean live = starting.stream().anyMatch(a -> a.job.spec.priority() == Priority.PRODUCTION);
    return live ? CallConcurrencyLimiter.Need.LIVE : CallConcurrencyLimiter.Need.USUAL;
  }

  private void direct(Machine m, List<AgentCommand> orders, List<Attempt> starting) {
    HostPort to;
    try {
      to = HostPort.parse(m.address);
    } catch (IllegalArgumentException e) {
      LOG.info("machine {} has no usable address: {}", m.name, m.address);
      m.doFailedAt = env.clock().now();
      starting.forEach(a -> neverLeft(a, m));
      lanes.leave();
      return;
    }
    long token = m.token;
    m.doInFlight = true;
    env.workers()
        .call("POST", to, "/do", WorkerCodec.direct(token, m.session, orders), callS)
        .onComplete(r -> env.work().run("command", () -> {
          if (r.succeeded()) {
            directAnswered(m, token, starting, r.result());
          } else {
            directFailed(m, token, starting, r.cause());
          }
          lanes.leave();
        }));
  }

  private void directAnswered(Machine m, long token, List<Attempt> starting, HttpReply reply) {
    m.doInFlight = false;
    if (ledger.machines.get(m.name) != m) {
      return;
    }
    hearing.answered(m, env.clock().now());
    boolean done = reply.status() == 200;
    Heartbeat r;
    try {
      r = WorkerCodec.read(reply.body());
    } catch (MalformedInputException e) {
      LOG.info("unreadable answer {} of {}: {}", reply.status(), m.name, e.getMessage());
      directFailed(m, token, starting, new CallFailedException(done, e.getMessage()));
      return;
    }
    for (Attempt a : starting) {
      if (a.start == LaunchState.SENDING) {
        // Executed: it is listed, or was and has ended since. Refused: nothing of it is left.
        if (done) {
          a.start = LaunchState.HELD;
        } else {
          neverLeft(a, m);
        }
      }
    }
    if (!done) {
      m.doFailedAt = env.clock().now();
    }
    if (done && !r.newerThan(m.session, m.seq) && r.session() == m.session) {
      // A newer report overtook this answer, and spoke before we knew of the starts in it.
      return;
    }
    if (absorb(r, m) && done) {
      flush(m);
    }
  }

  /** A command under this token may yet arrive, even minutes late. Under a higher one the worker will refuse it. */
  private static void refuseUpTo(Machine m, long token) {
    m.unsureToken = Math.max(m.unsureToken, token);
    m.token = Math.max(m.token, token + 1);
  }

  private void directFailed(Machine m, long token, List<Attempt> starting, Throwable e) {
    m.doInFlight = false;
    m.doFailedAt = env.clock().now();
    boolean sent = !(e instanceof CallFailedException f) || f.sent;
    LOG.info("direct command to {} failed, sent {}: {}", m.name, sent, e.getMessage());
    if (sent) {
      refuseUpTo(m, token);
    }
    if (sent || !(e instanceof CallFailedException f) || f.tried) {
      hearing.unanswered(m, env.clock().now());
    }
    for (Attempt a : starting) {
      if (a.start == LaunchState.SENDING) {
        if (sent) {
          a.start = LaunchState.UNSURE;
        } else {
          neverLeft(a, m);
        }
      }
    }
  }

  /** See {@link WorkerLeases#over}. */
  public boolean leaseOver(Machine m) {
    return leases.over(m);
  }

  /** See {@link WorkerLeases#goneBy}. */
  public double goneBy(Machine m) {
    return leases.goneBy(m);
  }

  /** See {@link StatusProber#probe}. */
  public void probe(Machine m) {
    asking.probe(m);
  }

  /** See {@link StatusProber#find}. */
  public void find(Machine m) {
    asking.find(m);
  }
}
