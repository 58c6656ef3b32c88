package io.embernotch.agents;

import io.embernotch.actor.Clock;
import io.embernotch.model.Machine;
import io.embernotch.settings.Settings;

/**
 * Computes until when an agent may go on running its tasks: for one lease from the latest time at
 * which any controller can have renewed it. All times are seconds of the leader's steady clock.
 */
public final class WorkerLeases {
  /** Added to a lease for the time that an agent needs to kill its tasks. */
  private static final double KILL_MARGIN_S = 0.5;

  private final Settings settings;
  private final Clock clock;
  private final RenewalDelegations delegations;
  private final long tokenBase;
  private final double acquiredAt;

  /** Creates the leases of a term that begins now. */
  WorkerLeases(Settings settings, Clock clock, RenewalDelegations delegations, long tokenBase) {
    this.settings = settings;
    this.clock = clock;
    this.delegations = delegations;
    this.tokenBase = tokenBase;
    this.acquiredAt = clock.now();
  }

  /**
   * Seconds after the last renewal of its lease by which an agent has killed all its tasks, clock
   * drift included.
   */
  private static double leaseTtlS(Settings settings) {
    return settings.workers().leaseS() * (1 + 2 * Settings.DRIFT) + KILL_MARGIN_S;
  }

  /**
   * Seconds from the beginning of a term after which no task runs any more under a lease that only
   * a former leader, or a controller under its delegation, has renewed.
   */
  public static double longestLeaseS(Settings settings) {
    return RenewalDelegations.longestGracePeriodS(settings) + leaseTtlS(settings);
  }

  /**
   * Returns the time until which a former leader may have renewed the lease; {@link Clock#NEVER}
   * once the agent has reported a token of this term.
   */
  private double formerLeaderRenewalsUntil(Machine machine) {
    return machine.highestReportedToken >= tokenBase
        ? Clock.NEVER
        : acquiredAt + RenewalDelegations.longestGracePeriodS(settings);
  }

  /**
   * Returns whether the machine's agent must have killed all its tasks: for longer than a lease
   * lasts, no controller can have renewed it. This includes former leaders, and controllers that
   * are partitioned together with the machine's zone.
   */
  boolean isExpired(Machine machine) {
    double now = clock.now();
    // While the machine's zone is unknown, any controller may have renewed the lease.
    double delegatedUntil =
        machine.zone == null ? now : delegations.latestPossibleRenewalAt(machine.zone, now);
    return now > latestPossibleRenewalAt(machine, delegatedUntil) + leaseTtlS(settings);
  }

  /**
   * Returns the time by which all tasks on the machine have ended if this leader never reaches it
   * again, even if other controllers renew its lease for as long as they may; {@link
   * Double#MAX_VALUE} if the machine's zone is unknown.
   */
  double leaseExpiresBy(Machine machine) {
    if (machine.zone == null) {
      return Double.MAX_VALUE;
    }
    return latestPossibleRenewalAt(machine, delegations.renewalsEndBy(machine.zone))
        + leaseTtlS(settings);
  }

  /** Returns the latest time at which any controller can have renewed the machine's lease. */
  private double latestPossibleRenewalAt(Machine machine, double delegatedUntil) {
    return Math.max(
        machine.leaseRenewedAt, Math.max(formerLeaderRenewalsUntil(machine), delegatedUntil));
  }
}
