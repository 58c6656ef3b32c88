package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter.RequestPriority;

/** This controller's share of the requests and changes that the store takes. */
final class StoreRateLimits {
  /**
   * Shares of the requests that the service takes. They add up to less than all, since leases go
   * beyond them: at 0.7 for each controller, polls that three controllers read from the store while
   * there was no leader had 1,500 requests refused on one simulated day.
   */
  private static final double LEADER_REQUEST_SHARE = 0.5;

  private static final double FOLLOWER_REQUEST_SHARE = 0.2;
  private static final double REQUEST_BURST_S = 0.5;

  /**
   * The leader writes most; the others only the submissions that they take. The shares of three
   * controllers add up to the limit: beyond it the service refuses everything, leases included, and
   * trying again is what keeps it there.
   */
  private static final double LEADER_WRITE_SHARE = 0.7;

  private static final double FOLLOWER_WRITE_SHARE = 0.15;

  /**
   * The service allows bursts of a second's worth. The bursts of all controllers together stay
   * below that, with something for the leases, which go at once.
   */
  private static final double WRITE_BURST_S = 0.9;

  private final Settings settings;
  private final RateLimiter requests;
  private final RateLimiter writes;

  StoreRateLimits(Clock clock, Timers timers, Settings settings) {
    this.settings = settings;
    this.requests =
        new RateLimiter(
            clock,
            timers,
            settings.minStoreLimits().rps() * FOLLOWER_REQUEST_SHARE,
            REQUEST_BURST_S);
    this.writes =
        new RateLimiter(
            clock,
            timers,
            settings.minStoreLimits().writeRps() * FOLLOWER_WRITE_SHARE,
            WRITE_BURST_S);
  }

  /** Goes over to the shares of a leader, or back to those of a follower. */
  void setLeading(boolean leading) {
    writes.setRate(
        settings.minStoreLimits().writeRps()
            * (leading ? LEADER_WRITE_SHARE : FOLLOWER_WRITE_SHARE));
    requests.setRate(
        settings.minStoreLimits().rps()
            * (leading ? LEADER_REQUEST_SHARE : FOLLOWER_REQUEST_SHARE));
  }

  /** Runs {@code send} when one request with so many changes may be sent. */
  void acquire(int changes, RequestPriority priority, Runnable send) {
    requests.acquire(1, priority, () -> writes.acquire(changes, priority, send));
  }

  /** Runs {@code send} when one request may be sent whose changes are accounted for already. */
  void acquireRequest(RequestPriority priority, Runnable send) {
    requests.acquire(1, priority, send);
  }

  /** Runs {@code write} when so many changes may be made. */
  void acquireWrites(int changes, RequestPriority priority, Runnable write) {
    writes.acquire(changes, priority, write);
  }

  /** Returns changes that were acquired and not made; below 0: so many more were made. */
  void refundWrites(int changes) {
    writes.refund(changes);
  }

  double writeCredit() {
    return writes.available();
  }

  /** Whether half a burst of changes or more may be made at once. */
  boolean hasSpareWrites() {
    return writes.available()
        >= settings.minStoreLimits().writeRps() * LEADER_WRITE_SHARE * WRITE_BURST_S / 2;
  }

  /** Seconds that a change of normal priority would wait. */
  double writeWaitS() {
    return writes.waitS();
  }

  /** Seconds that a read of normal priority would wait. */
  double readWaitS() {
    return requests.waitS();
  }
}
