package io.embernotch.forwarding;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.embernotch.agents.FencingTokens;
import io.embernotch.codec.Json;
import io.embernotch.codec.WorkerCodec;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.http.HttpResponse;
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
 * What a controller that is not leader does with the workers that heartbeat to it: it passes their
 * heartbeats on to the leader, and its answers back. So workers stay where they are when the leader
 * changes. When all of them reported to the leader itself, a thousand connected to its successor at
 * once, and a fifth of a core took up to 30 s to get over that.
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

    /** The store answers another controller, and not this one. */
    boolean isPartitionedFromStore();
  }

  /** Compared by identity: a heartbeat can be long. */
  private static final class Parked {
    final Heartbeat heartbeat;
    final Promise<HttpResponse> reply = Promise.promise();

    Parked(Heartbeat heartbeat) {
      this.heartbeat = heartbeat;
    }
  }

  private record Last(Heartbeat heartbeat, double at) {}

  private final ControllerContext context;
  private final Host host;
  private final double withinS;

  /** So long a leader that does not answer is waited for. */
  private final double patienceS;

  private final Map<String, Last> lastHeartbeats;
  private final Set<Parked> parked = new LinkedHashSet<>();
  private String leader;
  private long epoch;

  /** The latest term that was ever known here. */
  private long newestEpoch;

  private boolean leaderAcceptsForwarded;
  private double changedAt;

  /** The first heartbeat passed on since the leader last answered one; below 0 if there is none. */
  private double unansweredSince = -1;

  private double tryAt;
  private final DelegatedRenewal delegatedRenewal;
  private final Set<String> controllersDelayingCancellations = new HashSet<>();

  public HeartbeatForwarder(ControllerContext context, Host host) {
    this.context = context;
    this.host = host;
    this.withinS = PATIENCE_S;
    this.patienceS = context.settings().workers().leaseS() / 4;
    this.lastHeartbeats = new LeastRecentlyUsed<>(context.settings().quota().maxConnections());
    this.changedAt = context.clock().now();
    this.delegatedRenewal = new DelegatedRenewal(context);
  }

  /**
   * Another leader is known, or none. {@code takesReports} tells of a version that is passed
   * heartbeats.
   */
  public void leaderChanged(String node, long newEpoch, boolean takesHeartbeats) {
    boolean same = Objects.equals(node, leader) && newEpoch == epoch;
    if (same && takesHeartbeats == leaderAcceptsForwarded) {
      return;
    }
    if (!same) {
      changedAt = context.clock().now();
      unansweredSince = -1;
    }
    leader = node;
    epoch = newEpoch;
    newestEpoch = Math.max(newestEpoch, newEpoch);
    leaderAcceptsForwarded = takesHeartbeats;
    if (node != null && takesHeartbeats && !node.equals(context.settings().node())) {
      Set<String> waiting =
          parked.stream().map(p -> p.heartbeat.machine()).collect(Collectors.toSet());
      handOver(
          recentHeartbeats().stream()
              .filter(heartbeat -> !waiting.contains(heartbeat.machine()))
              .toList(),
          0,
          newEpoch);
    }
    if (node != null && !node.equals(context.settings().node())) {
      releaseParked(this::handleHeartbeat);
    }
  }

  /** Tells the leader that we are here; called a few times in a heartbeat interval. */
  public void sendDelegateHeartbeat() {
    if (leader != null && leaderAcceptsForwarded && !leader.equals(context.settings().node())) {
      host.send(leader, delegatedRenewal.nextHeartbeat());
    }
  }

  public void delegateHeartbeatAcknowledged(Frame.DelegateHeartbeatAck n) {
    if (n.epoch() == epoch && leader != null) {
      controllersDelayingCancellations.add(leader);
      delegatedRenewal.acknowledged(n);
    }
  }

  /**
   * Controllers that are known to be of a version that waits with cancellations; see {@code
   * Delegations}.
   */
  public Set<String> controllersDelayingCancellations() {
    return controllersDelayingCancellations;
  }

  /** What workers said within a heartbeat interval or so. */
  public List<Heartbeat> recentHeartbeats() {
    List<Heartbeat> out = new ArrayList<>();
    double since = context.clock().now() - 1.5 * context.settings().workers().heartbeatIntervalS();
    for (Last l : lastHeartbeats.values()) {
      if (l.at >= since) {
        out.add(l.heartbeat);
      }
    }
    return out;
  }

  private void handOver(List<Heartbeat> heartbeats, int from, long to) {
    if (epoch != to) {
      return;
    }
    int end = Math.min(heartbeats.size(), from + SLICE);
    for (Heartbeat heartbeat : heartbeats.subList(from, end)) {
      host.send(leader, new Frame.ForwardedHeartbeat(0, heartbeat));
    }
    if (end < heartbeats.size()) {
      context
          .timers()
          .after(
              context.settings().workers().heartbeatIntervalS() / 200,
              () -> handOver(heartbeats, end, to));
    }
  }

  /** A worker reports to this controller while another one, or none, is leader. */
  public Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat) {
    double now = context.clock().now();
    Last before = lastHeartbeats.get(heartbeat.machine());
    if (before == null
        || heartbeat.newerThan(before.heartbeat.agentEpoch(), before.heartbeat.seq())) {
      // A copy of an older one is no sign of life, and must not be handed to the next leader as
      // one.
      lastHeartbeats.put(heartbeat.machine(), new Last(heartbeat, now));
    }
    if (FencingTokens.epochOf(heartbeat.token()) > newestEpoch && host.isPartitionedFromStore()) {
      // A leader that we know nothing of has reached this worker, and serves it elsewhere.
      return Future.succeededFuture(misdirected(null));
    }
    HttpResponse renewal = delegatedRenewal.renew(heartbeat, leader);
    if (renewal != null) {
      return Future.succeededFuture(renewal);
    }
    if (leader == null) {
      // Elsewhere a leader may be known: a node that is partitioned must not keep its workers.
      boolean leave = now - changedAt > patienceS && host.isPartitionedFromStore();
      return leave ? Future.succeededFuture(misdirected(null)) : park(heartbeat);
    }
    boolean deaf = unansweredSince >= 0 && now - unansweredSince > patienceS;
    if (!leaderAcceptsForwarded || (deaf && now < tryAt)) {
      return Future.succeededFuture(misdirected(leader));
    }
    if (deaf) {
      // Once in a while one heartbeat tells whether the leader answers again.
      tryAt = now + patienceS / 2;
    }
    unansweredSince = unansweredSince < 0 ? now : unansweredSince;
    long to = epoch;
    return host.ask(leader, id -> new Frame.ForwardedHeartbeat(id, heartbeat), withinS)
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

  /** Waits a moment for a leader, so that the worker's lease counts from this heartbeat. */
  private Future<HttpResponse> park(Heartbeat heartbeat) {
    Parked p = new Parked(heartbeat);
    parked.add(p);
    context
        .timers()
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
  public void releaseParked(Function<Heartbeat, Future<HttpResponse>> by) {
    List<Parked> all = List.copyOf(parked);
    parked.clear();
    all.forEach(p -> by.apply(p.heartbeat).onSuccess(p.reply::complete));
  }

  private static HttpResponse stay() {
    return HttpResponse.of(200, WorkerCodec.emptyResponse());
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
