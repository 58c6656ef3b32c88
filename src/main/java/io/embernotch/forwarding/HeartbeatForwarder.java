package io.embernotch.forwarding;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.codec.Json;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.http.HttpResponse;
import io.embernotch.agents.FencingTokens;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/**
 * What a controller that is not leader does with the workers that report to it: it passes their
 * reports on to the leader, and its answers back. So workers stay where they are when the leader
 * changes. When all of them reported to the leader itself, a thousand connected to its successor
 * at once, and a fifth of a core took up to 30 s to get over that.
 *
 * <p>While no leader is known, workers are told to stay. The next one is handed what they last
 * said, so that it knows its machines before their next reports.
 */
public final class HeartbeatForwarder {
  /** Workers give up after four seconds. */
  public static final double PATIENCE_S = 3;

  private static final int MISDIRECTED = 421;

  /** Reports handed to a new leader in one turn: more would not fit the connection's queue. */
  private static final int SLICE = 48;

  /** What is needed of the controller. */
  public interface Host {
    /** Asks another controller; 503 if it does not answer in time. */
    Future<HttpResponse> ask(String node, LongFunction<Frame> question, double withinS);

    void send(String node, Frame frame);

    /** The state service answers another controller, and not this one. */
    boolean badlyPlaced();
  }

  /** Compared by identity: a report can be long. */
  private static final class Parked {
    final Heartbeat report;
    final Promise<HttpResponse> reply = Promise.promise();

    Parked(Heartbeat report) {
      this.report = report;
    }
  }

  private record Last(Heartbeat report, double at) {}

  private final ControllerContext env;
  private final Host host;
  private final double withinS;

  /** So long a leader that does not answer is waited for. */
  private final double patienceS;

  private final Map<String, Last> last;
  private final Set<Parked> parked = new LinkedHashSet<>();
  private String leader;
  private long epoch;

  /** The latest term that was ever known here. */
  private long newest;

  private boolean relays;
  private double changedAt;

  /** The first report passed on since the leader last answered one; below 0 if there is none. */
  private double unansweredSince = -1;

  private double tryAt;
  private final DelegatedRenewal standby;
  private final Set<String> waiting = new HashSet<>();

  public HeartbeatForwarder(ControllerContext env, Host host) {
    this.env = env;
    this.host = host;
    this.withinS = PATIENCE_S;
    this.patienceS = env.settings().workers().leaseS() / 4;
    this.last = new LeastRecentlyUsed<>(env.settings().quota().maxConnections());
    this.changedAt = env.clock().now();
    this.standby = new DelegatedRenewal(env);
  }

  /**
   * Another leader is known, or none. {@code takesReports} tells of a version that is passed
   * reports.
   */
  public void leaderIs(String node, long newEpoch, boolean takesReports) {
    boolean same = Objects.equals(node, leader) && newEpoch == epoch;
    if (same && takesReports == relays) {
      return;
    }
    if (!same) {
      changedAt = env.clock().now();
      unansweredSince = -1;
    }
    leader = node;
    epoch = newEpoch;
    newest = Math.max(newest, newEpoch);
    relays = takesReports;
    if (node != null && takesReports && !node.equals(env.settings().node())) {
      Set<String> waiting =
          parked.stream().map(p -> p.report.machine()).collect(Collectors.toSet());
      handOver(recent().stream().filter(r -> !waiting.contains(r.machine())).toList(), 0, newEpoch);
    }
    if (node != null && !node.equals(env.settings().node())) {
      unpark(this::report);
    }
  }

  /** Tells the leader that we are here; called a few times in a report period. */
  public void beat() {
    if (leader != null && relays && !leader.equals(env.settings().node())) {
      host.send(leader, standby.here());
    }
  }

  public void noted(Frame.DelegateHeartbeatAck n) {
    if (n.epoch() == epoch && leader != null) {
      waiting.add(leader);
      standby.noted(n);
    }
  }

  /**
   * Controllers that are known to be of a version that waits with cancellations; see {@code
   * Delegations}.
   */
  public Set<String> waiting() {
    return waiting;
  }

  /** What workers said within a report period or so. */
  public List<Heartbeat> recent() {
    List<Heartbeat> out = new ArrayList<>();
    double since = env.clock().now() - 1.5 * env.settings().workers().reportS();
    for (Last l : last.values()) {
      if (l.at >= since) {
        out.add(l.report);
      }
    }
    return out;
  }

  private void handOver(List<Heartbeat> reports, int from, long to) {
    if (epoch != to) {
      return;
    }
    int end = Math.min(reports.size(), from + SLICE);
    for (Heartbeat r : reports.subList(from, end)) {
      host.send(leader, new Frame.ForwardedHeartbeat(0, r));
    }
    if (end < reports.size()) {
      env.timers()
          .after(env.settings().workers().reportS() / 200, () -> handOver(reports, end, to));
    }
  }

  /** A worker reports to this controller while another one, or none, is leader. */
  public Future<HttpResponse> report(Heartbeat r) {
    double now = env.clock().now();
    Last before = last.get(r.machine());
    if (before == null || r.newerThan(before.report.session(), before.report.seq())) {
      // A copy of an older one is no sign of life, and must not be handed to the next leader as
      // one.
      last.put(r.machine(), new Last(r, now));
    }
    if (FencingTokens.epochOf(r.token()) > newest && host.badlyPlaced()) {
      // A leader that we know nothing of has reached this worker, and serves it elsewhere.
      return Future.succeededFuture(misdirected(null));
    }
    HttpResponse renewal = standby.renewal(r, leader);
    if (renewal != null) {
      return Future.succeededFuture(renewal);
    }
    if (leader == null) {
      // Elsewhere a leader may be known: a node that is cut off must not keep its workers.
      boolean leave = now - changedAt > patienceS && host.badlyPlaced();
      return leave ? Future.succeededFuture(misdirected(null)) : park(r);
    }
    boolean deaf = unansweredSince >= 0 && now - unansweredSince > patienceS;
    if (!relays || (deaf && now < tryAt)) {
      return Future.succeededFuture(misdirected(leader));
    }
    if (deaf) {
      // Once in a while one report tells whether the leader answers again.
      tryAt = now + patienceS / 2;
    }
    unansweredSince = unansweredSince < 0 ? now : unansweredSince;
    long to = epoch;
    return host.ask(leader, id -> new Frame.ForwardedHeartbeat(id, r), withinS)
        .map(
            a -> {
              if (a.status() == 503) {
                return stay();
              }
              if (to == epoch) {
                unansweredSince = -1;
              }
              return a;
            });
  }

  /** Waits a moment for a leader, so that the worker's lease counts from this report. */
  private Future<HttpResponse> park(Heartbeat r) {
    Parked p = new Parked(r);
    parked.add(p);
    env.timers()
        .after(
            withinS,
            () -> {
              if (parked.remove(p)) {
                p.reply.complete(stay());
              }
            });
    return p.reply.future();
  }

  /** A leader is known, here or elsewhere: those who wait are answered by it. */
  public void unpark(Function<Heartbeat, Future<HttpResponse>> by) {
    List<Parked> all = List.copyOf(parked);
    parked.clear();
    all.forEach(p -> by.apply(p.report).onSuccess(p.reply::complete));
  }

  private static HttpResponse stay() {
    return HttpResponse.of(200, WorkerCodec.stay());
  }

  /** Names the leader to a worker, or nobody. */
  public static HttpResponse misdirected(String leader) {
    ObjectNode o = Json.object();
    if (leader != null) {
      o.put("steward", leader);
    }
    return HttpResponse.of(MISDIRECTED, Json.bytes(o));
  }
}
