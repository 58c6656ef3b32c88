package io.embernotch.agents;

import io.embernotch.actor.Clock;
import io.embernotch.model.Machine;
import io.embernotch.settings.Settings;

/**
 * Until when an agent may go on running its tasks: its lease, counted from the latest instant at
 * which anybody can have renewed it. All instants are seconds of the leader's steady clock.
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
   * Seconds after its last renewal at which an agent has killed all its tasks, clock drift
   * included.
   */
  private static double leaseTtlS(Settings settings) {
    return settings.workers().leaseS() * (1 + 2 * Settings.DRIFT) + KILL_MARGIN_S;
  }

  /**
   * Seconds from the beginning of a term after which nothing runs any more whose lease was renewed
   * before the term, whoever renewed it.
   */
  public static double longestLeaseS(Settings settings) {
    return RenewalDelegations.longestGracePeriodS(settings) + leaseTtlS(settings);
  }

  /** A former leader may have renewed until then an agent that has seen no token of this term. */
  private double formerLeaderRenewalsUntil(Machine machine) {
    return machine.highestReportedToken >= tokenBase
        ? Clock.NEVER
        : acquiredAt + RenewalDelegations.longestGracePeriodS(settings);
  }

  /**
   * True once the machine's agent must have killed all its tasks: nobody can have renewed its lease
   * for longer than it lasts, neither a former leader nor a controller that is partitioned together
   * with the machine's zone.
   */
  boolean expired(Machine machine) {
    double now = clock.now();
    // While its zone is unknown, any controller may have renewed it.
    double delegatedUntil =
        machine.zone == null ? now : delegations.renewedUntil(machine.zone, now);
    return now > lastRenewalAt(machine, delegatedUntil) + leaseTtlS(settings);
  }

  /**
   * The instant by which all tasks have ended on a machine that is never reached again, whoever
   * else renews its lease; {@link Double#MAX_VALUE} if its zone is unknown.
   */
  double leaseExpiresBy(Machine machine) {
    if (machine.zone == null) {
      return Double.MAX_VALUE;
    }
    return lastRenewalAt(machine, delegations.renewalsEndBy(machine.zone)) + leaseTtlS(settings);
  }

  /** The latest instant at which anybody can have renewed the machine's lease. */
  private double lastRenewalAt(Machine machine, double delegatedUntil) {
    return Math.max(
        machine.leaseRenewedAt, Math.max(formerLeaderRenewalsUntil(machine), delegatedUntil));
  }
}
