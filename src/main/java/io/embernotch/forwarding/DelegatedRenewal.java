package io.embernotch.forwarding;

import io.embernotch.actor.Clock;
import io.embernotch.context.ControllerContext;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.context.ProcessIncarnation;
import io.embernotch.http.HttpResponse;
import io.embernotch.model.Heartbeat;
import io.embernotch.peer.Frame;
import io.embernotch.settings.Settings;
import java.util.Map;
import java.util.Optional;

/**
 * A controller's side of delegated lease renewal: it may renew the leases of agents in its own zone
 * while it is partitioned together with them. Otherwise all tasks behind a network partition would
 * end with their leases, though nothing is wrong there.
 *
 * <p>The delegation is granted by a live leader with each {@link Frame.DelegateHeartbeatAck},
 * counts from the sending of the heartbeat that this answers, and is used only once the leader has
 * not answered for {@link Settings#contactTimeoutS}. The leader's side, {@link
 * io.embernotch.agents.RenewalDelegations}, knows until when such renewals may have gone on.
 *
 * <p>Confined to the controller's event loop.
 */
public final class DelegatedRenewal {
  /** Heartbeats of which the instant of sending is remembered. */
  private static final int REMEMBERED_HEARTBEATS = 64;

  /** What {@link Frame.DelegateHeartbeat} carries, and this class starts with, for no renewal. */
  private static final double NOT_RENEWED = -1;

  private final ControllerContext context;
  private final Settings settings;
  private final Map<Long, Double> sentAt = new LeastRecentlyUsed<>(REMEMBERED_HEARTBEATS);
  private long lastSeq;
  private long highestAcknowledged;

  /** When the latest heartbeat was sent that a leader has answered. */
  private double contactAt;

  /** When the latest heartbeat was sent whose answer granted the delegation. */
  private double grantedAt = Clock.NEVER;

  private double renewedAt = NOT_RENEWED;

  /** When each machine's agent was last sent away to find the leader itself. */
  private final Map<String, Double> sentAwayAt;

  /** Creates a controller's side with nothing granted; the contact timeout counts from now. */
  public DelegatedRenewal(ControllerContext context) {
    this.context = context;
    this.settings = context.settings();
    this.contactAt = context.clock().now();
    this.sentAwayAt = new LeastRecentlyUsed<>(settings.quota().maxConnections());
    this.lastSeq = ProcessIncarnation.begin(context.names());
  }

  /** This controller's next heartbeat, which the caller sends to the leader at once. */
  public Frame.DelegateHeartbeat nextHeartbeat() {
    double now = context.clock().now();
    sentAt.put(++lastSeq, now);
    return new Frame.DelegateHeartbeat(
        settings.node(),
        lastSeq,
        highestAcknowledged,
        renewedAt < 0 ? NOT_RENEWED : now - renewedAt);
  }

  /** The leader has answered one of these heartbeats; answers to forgotten ones are dropped. */
  public void acknowledged(Frame.DelegateHeartbeatAck acknowledgement) {
    Double sent = sentAt.get(acknowledgement.seq());
    if (sent == null) {
      return;
    }
    highestAcknowledged = Math.max(highestAcknowledged, acknowledgement.seq());
    if (context.clock().now() - contactAt > settings.contactTimeoutS()) {
      // The next partition is another one: an agent that is sent away in it before its lease has
      // been renewed here may lose the lease.
      sentAwayAt.clear();
    }
    contactAt = Math.max(contactAt, sent);
    if (acknowledgement.granted()) {
      grantedAt = Math.max(grantedAt, sent);
    }
  }

  /**
   * Answers a heartbeat under the delegation. The response renews the agent's lease under the
   * fencing token that it has. Now and then, while its lease is fresh, an agent is sent away to
   * find the leader itself instead: perhaps only this controller is partitioned, and the agent
   * would get no commands here.
   *
   * @param leader the node that an agent is sent to; null if none is known
   * @return empty if this controller may not renew the lease
   */
  public Optional<HttpResponse> renew(Heartbeat heartbeat, String leader) {
    double now = context.clock().now();
    if (!mayRenew(heartbeat, now)) {
      return Optional.empty();
    }
    if (sendAwayIfDue(heartbeat, now)) {
      return Optional.of(HeartbeatResponses.misdirected(leader));
    }
    renewedAt = now;
    return Optional.of(HeartbeatResponses.renewed(heartbeat));
  }

  /** An agent without a token has no lease that could be renewed. */
  private boolean mayRenew(Heartbeat heartbeat, double now) {
    boolean outOfContact = now - contactAt > settings.contactTimeoutS() * (1 + Settings.DRIFT);
    boolean granted = now - grantedAt < settings.gracePeriodS() * (1 - Settings.DRIFT);
    return outOfContact
        && granted
        && heartbeat.token() != 0
        && settings.location().equals(heartbeat.zone());
  }

  /**
   * Records that an agent is sent away, every half lease. The first heartbeat in a partition is
   * always answered with a renewal; one that follows more than a quarter of a heartbeat interval
   * later sends the agent away.
   */
  private boolean sendAwayIfDue(Heartbeat heartbeat, double now) {
    double halfLeaseS = settings.workers().leaseS() / 2;
    double assumedAt = now - halfLeaseS + settings.workers().heartbeatIntervalS() / 4;
    Double sentAway = sentAwayAt.putIfAbsent(heartbeat.machine(), assumedAt);
    boolean due = sentAway != null && now - sentAway > halfLeaseS;
    if (due) {
      sentAwayAt.put(heartbeat.machine(), now);
    }
    return due;
  }
}
