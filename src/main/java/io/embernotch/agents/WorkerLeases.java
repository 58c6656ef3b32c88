package io.embernotch.agents;

import io.embernotch.actor.Clock;
import io.embernotch.model.Machine;
import io.embernotch.settings.Settings;

/**
 * Until when a worker may keep what it runs: its lease, counted from the latest moment at which
 * anybody can have renewed it. All times are seconds of our steady clock.
 */
public final class WorkerLeases {
  private final Settings settings;
  private final Clock clock;
  private final RenewalDelegations delegations;
  private final long tokenBase;
  private final double acquiredAt;

  WorkerLeases(Settings settings, Clock clock, RenewalDelegations delegations, long tokenBase) {
    this.settings = settings;
    this.clock = clock;
    this.delegations = delegations;
    this.tokenBase = tokenBase;
    this.acquiredAt = clock.now();
  }

  /**
   * Seconds after its last renewal at which a worker has killed everything, with drift and some to
   * spare.
   */
  private static double leaseTtlS(Settings settings) {
    return settings.workers().leaseS() * (1 + 2 * Settings.DRIFT) + 0.5;
  }

  /**
   * Seconds after which nothing runs any more that somebody before us has renewed, whoever that
   * was.
   */
  public static double longestLeaseS(Settings settings) {
    return settings.gracePeriodS() * (1 + Settings.DRIFT) + leaseTtlS(settings);
  }

  /** An earlier leader may have renewed a worker that has not seen our token until then. */
  private double formerLeaderRenewalsUntil(Machine machine) {
    return machine.highestReportedToken >= tokenBase
        ? -1e9
        : acquiredAt + settings.gracePeriodS() * (1 + Settings.DRIFT);
  }

  /**
   * True once the machine's worker must have killed everything: nobody can have renewed its lease
   * for longer than it lasts, neither an earlier leader nor a controller partitioned with the
   * machine's zone.
   */
  boolean expired(Machine machine) {
    double now = clock.now();
    // Without its zone, any controller may have.
    double delegatedUntil =
        machine.zone == null ? now : delegations.renewedUntil(machine.zone, now);
    return now
        > Math.max(
                machine.leaseRenewedAt,
                Math.max(formerLeaderRenewalsUntil(machine), delegatedUntil))
            + leaseTtlS(settings);
  }

  /**
   * What is on a machine that we never reach again is gone by this time, whoever else renews its
   * worker.
   */
  double leaseExpiresBy(Machine machine) {
    if (machine.zone == null) {
      return Double.MAX_VALUE;
    }
    return Math.max(
            machine.leaseRenewedAt,
            Math.max(formerLeaderRenewalsUntil(machine), delegations.renewalsEndBy(machine.zone)))
        + leaseTtlS(settings);
  }
}
