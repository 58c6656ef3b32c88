package io.embernotch.agents;

import io.embernotch.actor.Clock;
import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.context.ProcessIncarnation;
import io.embernotch.peer.Frame;
import io.embernotch.settings.Settings;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The leader's side of delegated lease renewal. A controller to which the leader has delegated it
 * may renew the leases of agents in its own zone while it is partitioned together with them; this
 * class knows until when each controller may have done so.
 *
 * <p>A controller renews nothing before {@link Settings#contactTimeoutS} after the sending of a
 * message that the leader has answered. Say its message n acknowledges the answer to k, and k
 * acknowledged the answer to j. Then k was sent after j was answered, so up to the contact timeout
 * after that answer it renewed nothing by itself but what n reports. All instants are of this
 * leader's steady clock; delayed messages only make them earlier.
 *
 * <p>Sequence numbers are never those of another incarnation of the process ({@link
 * ProcessIncarnation}), so a late message of a former one proves the same: the incarnation that
 * followed had not begun when k was sent, and renews nothing for the contact timeout from its
 * beginning.
 *
 * <p>Confined to the leader's event loop.
 */
public final class RenewalDelegations {
  /** Messages of a controller whose acknowledgements and answers are remembered. */
  private static final int REMEMBERED_MESSAGES = 64;

  /** What is known of one controller. */
  private static final class Delegation {
    final Map<Long, Double> answeredAt = new LeastRecentlyUsed<>(REMEMBERED_MESSAGES);
    final Map<Long, Long> acknowledgements = new LeastRecentlyUsed<>(REMEMBERED_MESSAGES);

    /** The latest renewal that it has reported, or that it cannot know of and may have made. */
    double renewedAt = Clock.NEVER;

    /** Up to then it has renewed nothing that it has not reported. */
    double noUnreportedRenewalUntil = Clock.NEVER;

    /** When the delegation that it was last granted ends; 0 if none was granted. */
    double grantEndsAt;

    /** The process incarnation that sent the latest message; see {@link ProcessIncarnation}. */
    long processIncarnation = -1;
  }

  private final Settings settings;
  private final double acquiredAt;
  private final Map<String, Delegation> delegations = new HashMap<>();
  private final Set<String> controllersDelayingCancellations;

  /**
   * Creates the delegations of a term, none of them granted.
   *
   * @param acquiredAt when the term began, in steady seconds
   * @param controllersDelayingCancellations controllers that are known to delay cancellations,
   *     whoever leads; those that send a message are added. A controller is only ever replaced by
   *     one of its version or a later one
   */
  public RenewalDelegations(
      Settings settings, double acquiredAt, Set<String> controllersDelayingCancellations) {
    this.settings = settings;
    this.acquiredAt = acquiredAt;
    this.controllersDelayingCancellations = controllersDelayingCancellations;
  }

  /**
   * Seconds of this leader's clock for which anybody can go on renewing without a proven lease,
   * whatever the drift of their clock.
   */
  static double longestGracePeriodS(Settings settings) {
    return settings.gracePeriodS() * (1 + Settings.DRIFT);
  }

  /** Renewals that began before this term, by anybody, end by this instant. */
  private double formerRenewalsEndAt() {
    return acquiredAt + longestGracePeriodS(settings);
  }

  /**
   * True if every controller is known to be of a version that delays cancellations. While one may
   * not be, nobody renews for longer than the former version assumes. A leader that was partitioned
   * alone sends nothing to its successor; that it answered as a leader proves its version as well.
   * If only those that send messages counted, a store outage after such a partition would end all
   * tasks.
   */
  private boolean allDelayCancellations() {
    return settings.members().stream()
        .allMatch(member -> controllersDelayingCancellations.contains(member.node()));
  }

  /** How long this leader renews leases of agents without a proven lease of its own, in seconds. */
  public double ownGracePeriodS() {
    return allDelayCancellations() ? settings.gracePeriodS() : settings.legacyGracePeriodS();
  }

  /** The zone of a controller; null if the settings do not know it. */
  public String zoneOf(String node) {
    return settings.members().stream()
        .filter(member -> member.node().equals(node))
        .map(Settings.Member::location)
        .findFirst()
        .orElse(null);
  }

  /**
   * True if the message is of another incarnation of its process than the one before, or the first
   * message of the controller in this term.
   */
  public boolean isNewProcess(Frame.DelegateHeartbeat message) {
    Delegation delegation = delegations.get(message.node());
    return delegation == null
        || delegation.processIncarnation != ProcessIncarnation.of(message.seq());
  }

  /**
   * A controller has sent its heartbeat.
   *
   * @param mayGrant whether the delegation may be granted: the leader's lease is proven, and no job
   *     whose cancellation was confirmed to a user has tasks left in the controller's zone
   * @param now steady seconds
   * @return the answer to send at once
   */
  public Frame.DelegateHeartbeatAck heartbeatReceived(
      Frame.DelegateHeartbeat message, long epoch, boolean mayGrant, double now) {
    controllersDelayingCancellations.add(message.node());
    Delegation delegation = delegations.computeIfAbsent(message.node(), node -> new Delegation());
    delegation.processIncarnation = ProcessIncarnation.of(message.seq());
    recordRenewals(delegation, message, now);
    recordContact(delegation, message);
    delegation.acknowledgements.put(message.seq(), message.ack());
    delegation.answeredAt.put(message.seq(), now);
    boolean granted = mayGrant && allDelayCancellations();
    if (granted) {
      delegation.grantEndsAt = now + longestGracePeriodS(settings);
    }
    return new Frame.DelegateHeartbeatAck(epoch, message.seq(), granted);
  }

  private void recordRenewals(Delegation delegation, Frame.DelegateHeartbeat message, double now) {
    if (message.ack() == 0 || delegation.answeredAt.isEmpty()) {
      // Nobody reports what its former process, or it under a former leader, has renewed.
      delegation.renewedAt =
          Math.max(
              delegation.renewedAt,
              Math.min(now, Math.max(formerRenewalsEndAt(), delegation.grantEndsAt)));
    }
    if (message.renewedAgoS() >= 0) {
      delegation.renewedAt = Math.max(delegation.renewedAt, now - message.renewedAgoS());
    }
  }

  /** Draws the conclusion from n to j that the class comment explains. */
  private void recordContact(Delegation delegation, Frame.DelegateHeartbeat message) {
    Long acknowledgedBefore = delegation.acknowledgements.get(message.ack());
    Double answeredAt =
        acknowledgedBefore == null ? null : delegation.answeredAt.get(acknowledgedBefore);
    if (answeredAt != null) {
      delegation.noUnreportedRenewalUntil =
          Math.max(delegation.noUnreportedRenewalUntil, answeredAt + settings.contactTimeoutS());
    }
  }

  /**
   * No controller has by itself renewed the lease of an agent in this zone later than at this
   * instant, as far as is known at {@code now}; far in the past if no controller is in the zone.
   */
  public double renewedUntil(String zone, double now) {
    return latestOfZone(zone, delegation -> renewedUntil(delegation, now));
  }

  /** Renewals of this zone's agents that nobody else can stop end by this instant. */
  public double renewalsEndBy(String zone) {
    return latestOfZone(
        zone,
        delegation ->
            Math.max(formerRenewalsEndAt(), delegation == null ? 0 : delegation.grantEndsAt));
  }

  /** The bound takes null for a controller that has sent nothing in this term. */
  private double latestOfZone(String zone, ToDoubleFunction<Delegation> bound) {
    double latest = Clock.NEVER;
    for (Settings.Member member : settings.members()) {
      if (member.location().equals(zone)) {
        latest = Math.max(latest, bound.applyAsDouble(delegations.get(member.node())));
      }
    }
    return latest;
  }

  private double renewedUntil(Delegation delegation, double now) {
    if (delegation == null) {
      return Math.min(now, formerRenewalsEndAt());
    }
    return now <= delegation.noUnreportedRenewalUntil
        ? delegation.renewedAt
        : Math.max(
            delegation.renewedAt,
            Math.min(now, Math.max(formerRenewalsEndAt(), delegation.grantEndsAt)));
  }
}
