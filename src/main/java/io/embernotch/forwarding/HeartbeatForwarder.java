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
 * Handles the heartbeats that agents send to a controller that is not the leader. It forwards them
 * to the leader and returns the leader's responses, so agents keep their controller when the leader
 * changes. If agents sent heartbeats to the leader directly, a thousand of them would connect to
 * its successor at once, which keeps a fifth of a core busy for up to 30 s.
 *
 * <p>While no leader is known, heartbeats are parked. A parked heartbeat that times out is answered
 * without a renewal, and its agent keeps this controller. The next leader is sent the most recent
 * heartbeats, so that it knows its machines before they send the next ones.
 *
 * <p>Confined to the controller's event loop.
 */
public final class HeartbeatForwarder {
  /** Seconds to wait for a response to a heartbeat. The agent gives up after 4 s. */
  public static final double RESPONSE_TIMEOUT_S = 3;

  private static final int SERVICE_UNAVAILABLE = 503;

  /** Recent heartbeats sent to a new leader at once; more exceed the connection's queue. */
  private static final int RECENT_BATCH_SIZE = 48;

  /** Most batches of recent heartbeats that are sent in one heartbeat interval. */
  private static final int RECENT_BATCHES_PER_INTERVAL = 200;

  /** What the forwarder requires of its controller. */
  public interface Host {
    /**
     * Sends a request to another controller.
     *
     * @param node the controller's name
     * @param request makes the frame that carries the given request number
     * @return the response; 503 if none arrives within {@code withinS} seconds
     */
    Future<HttpResponse> sendRequest(String node, LongFunction<Frame> request, double withinS);

    /** Sends a frame to another controller, without waiting for a response. */
    void send(String node, Frame frame);

    /**
     * Returns whether the store fails to answer this controller, while it answers another one or no
     * other controller is live.
     */
    boolean isPartitionedFromStore();
  }

  private final ControllerContext context;
  private final Host host;

  /** Seconds without a leader, or without its responses, after which agents are redirected. */
  private final double contactTimeoutS;

  private final RecentHeartbeats recentHeartbeats;
  private final ParkedHeartbeats parkedHeartbeats;
  private final LeaderResponsiveness leaderResponsiveness;
  private final DelegatedRenewal delegatedRenewal;
  private final Set<String> controllersDelayingCancellations = new HashSet<>();

  /** The leader's node; null while none is known. */
  private String leader;

  /** The epoch of the known leader's term; 0 while none is known. */
  private long epoch;

  /** The highest epoch that this controller has known. */
  private long highestEpoch;

  private boolean leaderAcceptsForwardedHeartbeats;
  private double leaderChangedAt;

  /** Creates the forwarder of a controller that knows no leader yet. */
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
   * Updates the known leader. Does nothing if it has not changed.
   *
   * @param node its node, which may be this one; null if none is known
   * @param newEpoch the epoch of its term; 0 if none is known
   * @param acceptsForwardedHeartbeats whether the leader is of a version that accepts forwarded
   *     heartbeats
   */
  public void leaderChanged(String node, long newEpoch, boolean acceptsForwardedHeartbeats) {
    boolean sameLeader = Objects.equals(node, leader) && newEpoch == epoch;
    if (sameLeader && acceptsForwardedHeartbeats == leaderAcceptsForwardedHeartbeats) {
      return;
    }
    if (!sameLeader) {
      leaderChangedAt = context.clock().now();
      leaderResponsiveness.reset();
    }
    leader = node;
    epoch = newEpoch;
    highestEpoch = Math.max(highestEpoch, newEpoch);
    leaderAcceptsForwardedHeartbeats = acceptsForwardedHeartbeats;
    if (isRemoteLeaderKnown()) {
      if (acceptsForwardedHeartbeats) {
        sendRecentHeartbeats();
      }
      releaseParked(this::handleHeartbeat);
    }
  }

  private boolean isRemoteLeaderKnown() {
    return leader != null && !leader.equals(context.settings().node());
  }

  /**
   * Sends this controller's own heartbeat to the leader, unless this controller leads or the leader
   * does not accept it. Called a few times in a heartbeat interval.
   */
  public void sendDelegateHeartbeat() {
    if (leaderAcceptsForwardedHeartbeats && isRemoteLeaderKnown()) {
      host.send(leader, delegatedRenewal.nextHeartbeat());
    }
  }

  /**
   * Processes the leader's answer to this controller's own heartbeat. An answer from another term
   * is ignored.
   */
  public void delegateHeartbeatAcknowledged(Frame.DelegateHeartbeatAck acknowledgement) {
    if (acknowledgement.epoch() == epoch && leader != null) {
      controllersDelayingCancellations.add(leader);
      delegatedRenewal.acknowledged(acknowledgement);
    }
  }

  /**
   * Names of the controllers whose version is known to delay the confirmation of cancellations. The
   * set is not a copy: the leader of this process adds to it. See {@link
   * io.embernotch.agents.RenewalDelegations}.
   */
  public Set<String> controllersDelayingCancellations() {
    return controllersDelayingCancellations;
  }

  /**
   * The newest heartbeat of each machine that this controller received within about one heartbeat
   * interval.
   */
  public List<Heartbeat> recentHeartbeats() {
    return recentHeartbeats.recent(context.clock().now());
  }

  /**
   * Sends the recent heartbeats to a new leader. Parked ones are left out: they are forwarded so
   * that the leader answers them.
   */
  private void sendRecentHeartbeats() {
    Set<String> parkedMachines = parkedHeartbeats.machines();
    List<Heartbeat> heartbeats =
        recentHeartbeats().stream()
            .filter(heartbeat -> !parkedMachines.contains(heartbeat.machine()))
            .toList();
    sendInBatches(heartbeats, 0, epoch);
  }

  private void sendInBatches(List<Heartbeat> heartbeats, int from, long toEpoch) {
    if (epoch != toEpoch) {
      return;
    }
    int end = Math.min(heartbeats.size(), from + RECENT_BATCH_SIZE);
    for (Heartbeat heartbeat : heartbeats.subList(from, end)) {
      host.send(leader, new Frame.ForwardedHeartbeat(0, heartbeat));
    }
    if (end < heartbeats.size()) {
      double delayS =
          context.settings().workers().heartbeatIntervalS() / RECENT_BATCHES_PER_INTERVAL;
      context.timers().after(delayS, () -> sendInBatches(heartbeats, end, toEpoch));
    }
  }

  /** Handles a heartbeat that arrives at this controller while another one, or none, leads. */
  public Future<HttpResponse> handleHeartbeat(Heartbeat heartbeat) {
    double now = context.clock().now();
    recentHeartbeats.record(heartbeat, now);
    if (FencingTokens.epochOf(heartbeat.token()) > highestEpoch && host.isPartitionedFromStore()) {
      // A later leader, unknown to this controller, serves this agent through another controller.
      return Future.succeededFuture(misdirected(null));
    }
    Optional<HttpResponse> renewal = delegatedRenewal.renew(heartbeat, leader);
    if (renewal.isPresent()) {
      return Future.succeededFuture(renewal.get());
    }
    return leader == null ? parkOrRedirect(heartbeat, now) : forwardOrRedirect(heartbeat, now);
  }

  /**
   * Parks a heartbeat while no leader is known. After the contact timeout a controller that is
   * partitioned from the store redirects its agents instead, since others may know a leader.
   */
  private Future<HttpResponse> parkOrRedirect(Heartbeat heartbeat, double now) {
    boolean redirect = now - leaderChangedAt > contactTimeoutS && host.isPartitionedFromStore();
    return redirect ? Future.succeededFuture(misdirected(null)) : parkedHeartbeats.park(heartbeat);
  }

  private Future<HttpResponse> forwardOrRedirect(Heartbeat heartbeat, double now) {
    if (!leaderAcceptsForwardedHeartbeats || !leaderResponsiveness.tryForward(now)) {
      return Future.succeededFuture(misdirected(leader));
    }
    long toEpoch = epoch;
    return host.sendRequest(
            leader, id -> new Frame.ForwardedHeartbeat(id, heartbeat), RESPONSE_TIMEOUT_S)
        .map(
            response -> {
              if (response.status() == SERVICE_UNAVAILABLE) {
                return HeartbeatResponses.withoutRenewal();
              }
              if (toEpoch == epoch) {
                leaderResponsiveness.reset();
              }
              return response;
            });
  }

  /** Answers all parked heartbeats with {@code handler}; called once a leader is known. */
  public void releaseParked(Function<Heartbeat, Future<HttpResponse>> handler) {
    parkedHeartbeats.release(handler);
  }

  /**
   * Returns the response that redirects an agent to another controller.
   *
   * @param leader the leader's node; null if this controller knows none
   */
  public static HttpResponse misdirected(String leader) {
    return HeartbeatResponses.misdirected(leader);
  }
}
