package io.embernotch.agents;

import io.embernotch.context.LeastRecentlyUsed;
import io.embernotch.context.ProcessIncarnation;
import io.embernotch.forwarding.DelegatedRenewal;
import io.embernotch.peer.Frame;
import io.embernotch.settings.Settings;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What the leader knows of the controllers that may renew workers of their zone when they are
 * partitioned ({@link DelegatedRenewal}): until when each may have done so.
 *
 * <p>A controller renews nothing before {@code contactS} after the sending of a message that we
 * have answered. Say its message n acknowledges our answer to k, and k acknowledged our answer to
 * j. Then k was sent after we answered j, so up to {@code contactS} after that answer it renewed
 * nothing by itself but what n owns up to. All times are ours; held and late messages only make
 * them earlier.
 *
 * <p>Numbers are never those of another incarnation ({@link ProcessIncarnation}), so a late message
 * of a former one proves the same: the life that followed had not begun when k was sent, and renews
 * nothing for {@code contactS} from its beginning.
 */
public final class RenewalDelegations {
  private static final int REMEMBERED = 64;

  private static final class Delegation {
    final Map<Long, Double> answeredAt = new LeastRecentlyUsed<>(REMEMBERED);
    final Map<Long, Long> acks = new LeastRecentlyUsed<>(REMEMBERED);
    double renewedAt = -1e9;
    double safeUntil = -1e9;
    double grantEnds;

    /** The life of the process that wrote last; see {@link ProcessIncarnation}. */
    long life = -1;
  }

  private final Settings settings;
  private final double acquiredAt;
  private final Map<String, Delegation> delegations = new HashMap<>();
  private final Set<String> waiting;

  /**
   * @param waiting controllers that are known to wait with cancellations, whoever leads; those that
   *     write are added. A controller is only ever replaced by one of its version or a later one
   */
  public RenewalDelegations(Settings settings, double acquiredAt, Set<String> waiting) {
    this.settings = settings;
    this.acquiredAt = acquiredAt;
    this.waiting = waiting;
  }

  private double longestGracePeriodS() {
    return settings.gracePeriodS() * (1 + Settings.DRIFT);
  }

  /**
   * Every other controller is known to be of a version that waits with cancellations. While one may
   * not be, nobody renews for longer than the former version counts on. A leader that was
   * partitioned alone writes to no successor; what it had answered as a leader tells its version as
   * well. When only those that wrote counted, a state outage after such a cut ended all that ran.
   */
  public boolean allDelayCancellations() {
    return settings.members().stream().allMatch(member -> waiting.contains(member.node()));
  }

  /** How long this leader renews workers without a proven lease. */
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
   * The message is of another incarnation of its process than the one before, or the first at all.
   */
  public boolean isNewProcess(Frame.DelegateHeartbeat h) {
    Delegation delegation = delegations.get(h.node());
    return delegation == null || delegation.life != ProcessIncarnation.of(h.seq());
  }

  /**
   * A controller has written. {@code may} be given the right if our lease is proven, and no job
   * whose cancellation was told has tasks left in its zone. Returns the answer to send at once.
   */
  public Frame.DelegateHeartbeatAck heartbeatReceived(
      Frame.DelegateHeartbeat h, long epoch, boolean may, double now) {
    waiting.add(h.node());
    Delegation delegation = delegations.computeIfAbsent(h.node(), n -> new Delegation());
    delegation.life = ProcessIncarnation.of(h.seq());
    if (h.ack() == 0 || delegation.answeredAt.isEmpty()) {
      // What its former process, or it under an earlier leader, has renewed, nobody owns up to.
      delegation.renewedAt =
          Math.max(
              delegation.renewedAt,
              Math.min(now, Math.max(acquiredAt + longestGracePeriodS(), delegation.grantEnds)));
    }
    if (h.renewedAgoS() >= 0) {
      delegation.renewedAt = Math.max(delegation.renewedAt, now - h.renewedAgoS());
    }
    Long before = delegation.acks.get(h.ack());
    Double answered = before == null ? null : delegation.answeredAt.get(before);
    if (answered != null) {
      delegation.safeUntil = Math.max(delegation.safeUntil, answered + settings.contactTimeoutS());
    }
    delegation.acks.put(h.seq(), h.ack());
    delegation.answeredAt.put(h.seq(), now);
    boolean granted = may && allDelayCancellations();
    if (granted) {
      delegation.grantEnds = now + longestGracePeriodS();
    }
    return new Frame.DelegateHeartbeatAck(epoch, h.seq(), granted);
  }

  /**
   * No controller has renewed a worker of this zone by itself later than at this time, counted at
   * {@code now}.
   */
  public double renewedUntil(String zone, double now) {
    double latest = -1e9;
    for (Settings.Member member : settings.members()) {
      if (member.location().equals(zone)) {
        latest = Math.max(latest, renewedUntil(delegations.get(member.node()), now));
      }
    }
    return latest;
  }

  private double renewedUntil(Delegation delegation, double now) {
    double others = acquiredAt + longestGracePeriodS();
    if (delegation == null) {
      return Math.min(now, others);
    }
    return now <= delegation.safeUntil
        ? delegation.renewedAt
        : Math.max(delegation.renewedAt, Math.min(now, Math.max(others, delegation.grantEnds)));
  }

  /** Renewals of this zone's workers that nobody else can stop end by this time. */
  public double renewalsEndBy(String zone) {
    double latest = -1e9;
    for (Settings.Member member : settings.members()) {
      if (member.location().equals(zone)) {
        Delegation delegation = delegations.get(member.node());
        latest =
            Math.max(
                latest,
                Math.max(
                    acquiredAt + longestGracePeriodS(),
                    delegation == null ? 0 : delegation.grantEnds));
      }
    }
    return latest;
  }
}
