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
 * The leader's side of delegated lease renewal. The leader may delegate to a controller the renewal
 * of the leases of agents in that controller's zone, for the time in which it and these agents are
 * partitioned from the leader. This class computes until when each controller may have renewed
 * leases.
 *
 * <p>A controller renews no lease until {@link Settings#contactTimeoutS} seconds have passed since
 * it sent the latest message that the leader has answered. Let its message n acknowledge the answer
 * to message k, and k acknowledge the answer to message j. Then the controller sent k after the
 * leader answered j. Until the contact timeout after the answer to j, it has therefore made no
 * renewals but those that n reports. All times are of this leader's steady clock; delayed messages
 * only make this bound earlier.
 *
 * <p>Two incarnations of a process never use the same sequence number ({@link ProcessIncarnation}),
 * so a late message of a former incarnation proves the same. The next incarnation had not begun
 * when k was sent, and renews no lease until the contact timeout after its beginning.
 *
 * <p>Confined to the leader's event loop.
 */
public final class RenewalDelegations {
  /** Most messages of each controller whose acknowledgements and answer times are kept. */
  private static final int MAX_MESSAGES = 64;

  /** The state of the delegation to one controller. */
  private static final class Delegation {
    /** When this leader answered each message, by the message's sequence number. */
    final Map<Long, Double> answeredAt = new LeastRecentlyUsed<>(MAX_MESSAGES);

    /** The sequence number that each message acknowledged, by its own sequence number. */
    final Map<Long, Long> acknowledgements = new LeastRecentlyUsed<>(MAX_MESSAGES);

    /**
     * The latest renewal that the controller has reported, or that a former process of it may have
     * made.
     */
    double renewedAt = Clock.NEVER;

    /** The time until which the controller has reported all renewals that it has made. */
    double noUnreportedRenewalUntil = Clock.NEVER;

    /** When the last granted delegation ends; 0 if none was granted. */
    double grantEndsAt;

    /** The process incarnation that sent the latest message; below 0 before the first. */
    long processIncarnation = -1;
  }

  private final Settings settings;
  private final double acquiredAt;
  private final Map<String, Delegation> delegations = new HashMap<>();
  private final Set<String> controllersDelayingCancellations;

  /**
   * Creates the delegations of a term, none of them granted.
   *
   * @param acquiredAt when the term began, in seconds of the steady clock
   * @param controllersDelayingCancellations names of the controllers whose version is known to
   *     confirm a cancellation only once all tasks must end in time; this class adds each
   *     controller that sends a message. The set outlives the term, since a controller is never
   *     downgraded
   */
  public RenewalDelegations(
      Settings settings, double acquiredAt, Set<String> controllersDelayingCancellations) {
    this.settings = settings;
    this.acquiredAt = acquiredAt;
    this.controllersDelayingCancellations = controllersDelayingCancellations;
  }

  /**
   * Returns the seconds of this leader's clock for which any controller may go on renewing agents'
   * leases without a proven leader lease, clock drift included.
   */
  static double longestGracePeriodS(Settings settings) {
    return settings.gracePeriodS() * (1 + Settings.DRIFT);
  }

  /** Returns the time by which all renewals that began before this term end. */
  private double formerRenewalsEndAt() {
    return acquiredAt + longestGracePeriodS(settings);
  }

  /**
   * Returns whether the version of every other controller is known to delay the confirmation of
   * cancellations. Otherwise no controller renews leases for longer than the former version
   * assumes.
   *
   * <p>A controller proves its version by a message to this leader, or by an answer that it gave as
   * a leader. A former leader that is partitioned sends no messages to its successor. If its
   * answers did not count, a store outage after such a partition would end all tasks.
   */
  private boolean allDelayCancellations() {
    return settings.members().stream()
        .allMatch(member -> controllersDelayingCancellations.contains(member.node()));
  }

  /** Seconds for which this leader renews agents' leases while its own lease is not proven. */
  public double ownGracePeriodS() {
    return allDelayCancellations() ? settings.gracePeriodS() : settings.legacyGracePeriodS();
  }

  /** The zone of another controller; null if the settings do not list it. */
  public String zoneOf(String node) {
    return settings.members().stream()
        .filter(member -> member.node().equals(node))
        .map(Settings.Member::location)
        .findFirst()
        .orElse(null);
  }

  /**
   * Returns whether the message is the controller's first in this term, or comes from another
   * incarnation of its process than the previous message.
   */
  public boolean isNewProcess(Frame.DelegateHeartbeat message) {
    Delegation delegation = delegations.get(message.node());
    return delegation == null
        || delegation.processIncarnation != ProcessIncarnation.of(message.seq());
  }

  /**
   * Processes a controller's heartbeat.
   *
   * @param mayGrant whether the delegation may be granted: the leader's lease is proven, and no job
   *     whose cancellation was confirmed to a user has tasks left in the controller's zone
   * @param now seconds of the steady clock
   * @return the answer, which the caller must send at once
   */
  public Frame.DelegateHeartbeatAck heartbeatReceived(
      Frame.DelegateHeartbeat message, long epoch, boolean mayGrant, double now) {
    controllersDelayingCancellations.add(message.node());
    Delegation delegation = delegations.computeIfAbsent(message.node(), node -> new Delegation());
    delegation.processIncarnation = ProcessIncarnation.of(message.seq());
    recordRenewals(delegation, message, now);
    updateUnreportedRenewalBound(delegation, message);
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
      // Renewals by a former process of the controller, or under a former leader, are not
      // reported, so the latest possible one is assumed.
      delegation.renewedAt =
          Math.max(
              delegation.renewedAt,
              Math.min(now, Math.max(formerRenewalsEndAt(), delegation.grantEndsAt)));
    }
    if (message.renewedAgoS() >= 0) {
      delegation.renewedAt = Math.max(delegation.renewedAt, now - message.renewedAgoS());
    }
  }

  /**
   * Derives {@link Delegation#noUnreportedRenewalUntil} as the class comment explains; {@code
   * message} is n there.
   */
  private void updateUnreportedRenewalBound(
      Delegation delegation, Frame.DelegateHeartbeat message) {
    Long previouslyAcknowledged = delegation.acknowledgements.get(message.ack());
    Double answeredAt =
        previouslyAcknowledged == null ? null : delegation.answeredAt.get(previouslyAcknowledged);
    if (answeredAt != null) {
      delegation.noUnreportedRenewalUntil =
          Math.max(delegation.noUnreportedRenewalUntil, answeredAt + settings.contactTimeoutS());
    }
  }

  /**
   * Returns the latest time at which another controller may have renewed the lease of an agent in
   * this zone, as known at {@code now}; {@link Clock#NEVER} if no other controller is in the zone.
   */
  public double latestPossibleRenewalAt(String zone, double now) {
    return latestInZone(zone, delegation -> latestPossibleRenewalAt(delegation, now));
  }

  /**
   * Returns the time by which other controllers' renewals in this zone end if no further delegation
   * is granted; {@link Clock#NEVER} if no other controller is in the zone.
   */
  public double renewalsEndBy(String zone) {
    return latestInZone(
        zone,
        delegation ->
            Math.max(formerRenewalsEndAt(), delegation == null ? 0 : delegation.grantEndsAt));
  }

  /**
   * Returns the latest of the bounds for the controllers in a zone. {@code bound} is passed null
   * for a controller that has sent nothing in this term.
   */
  private double latestInZone(String zone, ToDoubleFunction<Delegation> bound) {
    double latest = Clock.NEVER;
    for (Settings.Member member : settings.members()) {
      if (member.location().equals(zone)) {
        latest = Math.max(latest, bound.applyAsDouble(delegations.get(member.node())));
      }
    }
    return latest;
  }

  private double latestPossibleRenewalAt(Delegation delegation, double now) {
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
