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
 * A controller's side of delegated lease renewal. The controller may renew the leases of agents in
 * its own zone while it and these agents are partitioned from the leader. Otherwise all tasks in a
 * partitioned zone would end with their leases, although their machines are healthy.
 *
 * <p>The leader grants the delegation with a {@link Frame.DelegateHeartbeatAck}. Its period counts
 * from the sending of the acknowledged heartbeat, and the controller uses it only once the leader
 * has not answered for {@link Settings#contactTimeoutS} seconds. On the leader's side, {@link
 * io.embernotch.agents.RenewalDelegations} computes until when such renewals may have been made.
 *
 * <p>Confined to the controller's event loop.
 */
public final class DelegatedRenewal {
  /** Most heartbeats to the leader whose send times are kept. */
  private static final int MAX_HEARTBEATS = 64;

  /**
   * Value of {@link #renewedAt}, and of the age sent in {@link Frame.DelegateHeartbeat}, before the
   * first renewal.
   */
  private static final double NOT_RENEWED = -1;

  private final ControllerContext context;
  private final Settings settings;

  /** When each heartbeat was sent to the leader, by sequence number. */
  private final Map<Long, Double> sentAt = new LeastRecentlyUsed<>(MAX_HEARTBEATS);

  private long lastSeq;
  private long highestAcknowledgedSeq;

  /** When the latest heartbeat that a leader has answered was sent. */
  private double contactAt;

  /** When the latest heartbeat whose answer granted the delegation was sent. */
  private double grantedAt = Clock.NEVER;

  /** When this controller last renewed a lease by delegation. */
  private double renewedAt = NOT_RENEWED;

  /**
   * When each machine's agent was last redirected, by machine name. For an agent that has not been
   * redirected in this partition, it is set so that its second heartbeat is redirected.
   */
  private final Map<String, Double> redirectedAt;

  /** Creates a controller's side with nothing delegated; the contact timeout counts from now. */
  public DelegatedRenewal(ControllerContext context) {
    this.context = context;
    this.settings = context.settings();
    this.contactAt = context.clock().now();
    this.redirectedAt = new LeastRecentlyUsed<>(settings.quota().maxConnections());
    this.lastSeq = ProcessIncarnation.begin(context.nameGenerator());
  }

  /** Returns this controller's next heartbeat; the caller must send it to the leader at once. */
  public Frame.DelegateHeartbeat nextHeartbeat() {
    double now = context.clock().now();
    sentAt.put(++lastSeq, now);
    return new Frame.DelegateHeartbeat(
        settings.node(),
        lastSeq,
        highestAcknowledgedSeq,
        renewedAt < 0 ? NOT_RENEWED : now - renewedAt);
  }

  /**
   * Processes the leader's answer to one of this controller's heartbeats. An answer to a heartbeat
   * whose send time is no longer kept is ignored.
   */
  public void acknowledged(Frame.DelegateHeartbeatAck acknowledgement) {
    Double heartbeatSentAt = sentAt.get(acknowledgement.seq());
    if (heartbeatSentAt == null) {
      return;
    }
    highestAcknowledgedSeq = Math.max(highestAcknowledgedSeq, acknowledgement.seq());
    if (context.clock().now() - contactAt > settings.contactTimeoutS()) {
      // A partition has ended. In the next one, an agent that is redirected before its lease has
      // been renewed once could lose the lease.
      redirectedAt.clear();
    }
    contactAt = Math.max(contactAt, heartbeatSentAt);
    if (acknowledgement.granted()) {
      grantedAt = Math.max(grantedAt, heartbeatSentAt);
    }
  }

  /**
   * Answers a heartbeat under the delegation. The response renews the agent's lease with the
   * fencing token that the agent already has. Every half lease an agent is redirected instead, so
   * that it looks for the leader itself: if only this controller is partitioned, the agent gets no
   * commands through it.
   *
   * @param leader the node to which an agent is redirected; null if none is known
   * @return the response; empty if this controller may not renew the lease
   */
  public Optional<HttpResponse> renew(Heartbeat heartbeat, String leader) {
    double now = context.clock().now();
    if (!mayRenew(heartbeat, now)) {
      return Optional.empty();
    }
    if (recordRedirectIfDue(heartbeat, now)) {
      return Optional.of(HeartbeatResponses.misdirected(leader));
    }
    renewedAt = now;
    return Optional.of(HeartbeatResponses.renewal(heartbeat));
  }

  /**
   * Returns whether the delegation covers the agent that sent the heartbeat. An agent without a
   * token has no lease to renew.
   */
  private boolean mayRenew(Heartbeat heartbeat, double now) {
    boolean outOfContact = now - contactAt > settings.contactTimeoutS() * (1 + Settings.DRIFT);
    boolean granted = now - grantedAt < settings.gracePeriodS() * (1 - Settings.DRIFT);
    return outOfContact
        && granted
        && heartbeat.token() != 0
        && settings.location().equals(heartbeat.zone());
  }

  /**
   * Returns whether to redirect an agent, every half lease, and records the redirect. An agent's
   * first heartbeat in a partition is always answered with a renewal. The next one is redirected if
   * it arrives more than a quarter of a heartbeat interval later.
   */
  private boolean recordRedirectIfDue(Heartbeat heartbeat, double now) {
    double halfLeaseS = settings.workers().leaseS() / 2;
    double initialRedirectAt = now - halfLeaseS + settings.workers().heartbeatIntervalS() / 4;
    Double lastRedirectAt = redirectedAt.putIfAbsent(heartbeat.machine(), initialRedirectAt);
    boolean due = lastRedirectAt != null && now - lastRedirectAt > halfLeaseS;
    if (due) {
      redirectedAt.put(heartbeat.machine(), now);
    }
    return due;
  }
}
