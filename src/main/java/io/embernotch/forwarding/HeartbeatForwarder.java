package io.embernotch.forwarding;

import io.embernotch.agents.FencingTokens;
import io.embernotch.context.ControllerContext;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.vertx.core.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongFunction;

/**
 * Handles the heartbeats that agents send to a controller which does not lead: it forwards them to
 * the leader, and the answers back. So agents stay where they are when the leader changes. If they
 * sent their heartbeats to the leader itself, a thousand would connect to its successor at once,
 * which keeps a fifth of a core busy for up to 30 s.
 *
 * <p>While no leader is known, agents are told to stay. The next leader is handed their most recent
 * heartbeats, so that it knows its machines before they send the next ones.
 *
 * <p>Confined to the controller's event loop.
 */
public final class HeartbeatForwarder {
  /** Seconds to wait for an answer to a heartbeat: its agent gives up after four. */
  public static final double RESPONSE_TIMEOUT_S = 3;

  private static final int SERVICE_UNAVAILABLE = 503;

  /** Heartbeats handed to a new leader at once: more would not fit the connection's queue. */
  private static final int HANDOVER_BATCH = 48;

  /** Batches that are handed over in a heartbeat interval at most. */
  private static final int HANDOVER_BATCHES_PER_INTERVAL = 200;

  /** What the forwarder needs of its controller. */
  public interface Host {
    /**
     * Sends a request to another controller.
     *
     * @param node the controller's name
     * @param question makes the frame that carries the given request number
     * @return its answer; 503 if none comes within {@code withinS} seconds
     */
    Future<HttpResponse> ask(String node, LongFunction<Frame> question, double withinS);

    /** Sends a frame to another controller, without an answer. */
    void send(String node, Frame frame);

    /** True if the store answers another controller, and not this one. */
    boolean isPartitionedFromStore();
  }

  private final ControllerContext context;
  private final Host host;

  /** Seconds without a leader, or without its answers, after which agents are sent away. */
  private final double contactTimeoutS;

  private final RecentHeartbeats recentHeartbeats;
  private final ParkedHeartbeats parkedHeartbeats;
  private final LeaderResponsiveness leaderResponsiveness;
  private final DelegatedRenewal delegatedRenewal;
  private final Set<String> controllersDelayingCancellations = new HashSet<>();

  /** The leader's node; null while none is known. */
  private String leader;

  private long epoch;

  /** The latest epoch that was ever known here. */
  private long newestEpoch;

  private boolean leaderAcceptsForwarded;
  private double leaderChangedAt;

  /** Creates the forwarder of a controller that knows of no leader yet. */
  public HeartbeatForwarder(ControllerContext context, Host host) {
    this.context = context;
    this.host = host;
    this.contactTimeoutS = context.settings().contactTimeoutS();
    this.recentHeartbeats =
        new RecentHeartbeats(
            context.settings().workers().heartbeatIntervalS(),
            context.settings().quota().maxConnections());
    this.parkedHeartbeats = new ParkedHeartbeats(context.timers(), RESPONSE_TIMEOUT_S);
    this.leaderResponsiveness = new LeaderResponsiveness(contactTimeoutS);
    this.leaderChangedAt = context.clock().now();
    this.delegatedRenewal = new DelegatedRenewal(context);
  }

  /**
   * The known leader may have changed.
   *
   * @param node its node, which may be this one; null if none is known
   * @param newEpoch the epoch of its term; 0 if none is known
   * @param acceptsForwarded whether the leader is of a version that accepts forwarded heartbeats
   */
  public void leaderChanged(String node, long newEpoch, boolean acceptsForwarded) {
    boolean sameLeader = Objects.equals(node, leader) && newEpoch == epoch;
    if (sameLeader && acceptsForwarded == leaderAcceptsForwarded) {
      return;
    }
    if (!sameLeader) {
      leaderChangedAt = context.clock().now();
      leaderResponsiveness.reset();
    }
    leader = node;
    epoch = newEpoch;
    newestEpoch = Math.max(newestEpoch, newEpoch);
    leaderAcceptsForwarded = acceptsForwarded;
    if (anotherLeads()) {
      if (acceptsForwarded) {
        handOverRecentHeartbeats();
      }
      releaseParked(this::handleHeartbeat);
    }
  }

  private boolean anotherLeads() {
    return leader != null && !leader.equals(context.settings().node());
  }

  /** Sends this controller's own heartbeat to the leader; called a few times in an interval. */
  public void sendDelegateHeartbeat() {
    if (leaderAcceptsForwarded && anotherLeads()) {
      host.send(leader, delegatedRenewal.nextHeartbeat());
    }
  }

  /** The leader has answered this controller's heartbeat; an answer of another term is dropped. */
  public void delegateHeartbeatAcknowledged(Frame.DelegateHeartbeatAck acknowledgement) {
    if (acknowledgement.epoch() == epoch && leader != null) {
      controllersDelayingCancellations.add(leader);
      delegatedRenewal.acknowledged(acknowledgement);
    }
  }

  /**
   * Controllers that are known to be of a version that delays cancellations; a live set, which the
   * leader of this process adds to. See {@link io.embernotch.agents.RenewalDelegations}.
   */
  public Set<String> controllersDelayingCancellations() {
    return controllersDelayingCancellations;
  }

  /** The heartbeats that arrived here within about one heartbeat interval. */
  public List<Heartbeat> recentHeartbeats() {
    return recentHeartbeats.recent(context.clock().now());
  }

  /** Parked heartbeats are left out, since the leader is to answer them. */
  private void handOverRecentHeartbeats() {
    Set<String> parkedMachines = parkedHeartbeats.machines();
    List<Heartbeat> heartbeats =
        recentHeartbeats().stream()
            .filter(heartbeat -> !parkedMachines.contains(heartbeat.machine()))
            .toList();
    handOver(heartbeats, 0, epoch);
  }

  private void handOver(List<Heartbeat> heartbeats, int from, long toEpoch) {
    if (epoch != toEpoch) {
      return;
    }
    int end = Math.min(heartbeats.size(), from + HANDOVER_BATCH);
    for (Heartbeat heartbeat : heartbeats.subList(from, end)) {
      host.send(leader, new Frame.ForwardedHeartbeat(0, heartbeat));
    }
    if (end < heartbeats.size()) {
      double delayS =
          context.settings().workers().heartbeatIntervalS() / HANDOVER_BATCHES_PER_INTERVAL;
      context.timers().after(delayS, () -> handOver(heartbeats, end, toEpoch));
    }
  }

  /** Handles a heartbeat that arrives at this controller while another one, or none, leads. */
  public Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat) {
    double now = context.clock().now();
    recentHeartbeats.record(heartbeat, now);
    if (FencingTokens.epochOf(heartbeat.token()) > newestEpoch && host.isPartitionedFromStore()) {
      // A leader that is not known here has reached this agent, and serves it elsewhere.
      return Future.succeededFuture(misdirected(null));
    }
    Optional<HttpResponse> renewal = delegatedRenewal.renew(heartbeat, leader);
    if (renewal.isPresent()) {
      return Future.succeededFuture(renewal.get());
    }
    return leader == null ? parkOrSendAway(heartbeat, now) : forwardOrSendAway(heartbeat, now);
  }

  /** A leader may be known elsewhere: a node that is partitioned must not keep its agents. */
  private Future<HttpResponse> parkOrSendAway(Heartbeat heartbeat, double now) {
    boolean sendAway = now - leaderChangedAt > contactTimeoutS && host.isPartitionedFromStore();
    return sendAway ? Future.succeededFuture(misdirected(null)) : parkedHeartbeats.park(heartbeat);
  }

  private Future<HttpResponse> forwardOrSendAway(Heartbeat heartbeat, double now) {
    if (!leaderAcceptsForwarded || !leaderResponsiveness.tryForward(now)) {
      return Future.succeededFuture(misdirected(leader));
    }
    long toEpoch = epoch;
    return host.ask(leader, id -> new Frame.ForwardedHeartbeat(id, heartbeat), RESPONSE_TIMEOUT_S)
        .map(
            response -> {
              if (response.status() == SERVICE_UNAVAILABLE) {
                return HeartbeatResponses.stay();
              }
              if (toEpoch == epoch) {
                leaderResponsiveness.reset();
              }
              return response;
            });
  }

  /** A leader is known, here or elsewhere: has it answer the heartbeats that wait for one. */
  public void releaseParked(Function<Heartbeat, Future<HttpResponse>> handler) {
    parkedHeartbeats.release(handler);
  }

  /**
   * The response that sends an agent to another controller.
   *
   * @param leader the node to go to; null if this one knows of no leader
   */
  public static HttpResponse misdirected(String leader) {
    return HeartbeatResponses.misdirected(leader);
  }
}
