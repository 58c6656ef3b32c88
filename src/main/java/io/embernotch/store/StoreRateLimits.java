package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.settings.Settings;
import io.embernotch.store.RateLimiter.RequestPriority;

/** Limits requests and changes to this controller's share of the store's rate limits. */
final class StoreRateLimits {
  /**
   * A leader's share of the store's request limit. The shares of all controllers add up to less
   * than 1, since requests for leases are not limited. With 0.7 for each of three controllers, the
   * store refused 1,500 requests in one simulated day, because of status polls that the controllers
   * answered from the store while there was no leader.
   */
  private static final double LEADER_REQUEST_SHARE = 0.5;

  private static final double FOLLOWER_REQUEST_SHARE = 0.2;
  private static final double REQUEST_BURST_S = 0.5;

  /**
   * A leader's share of the store's write limit. The leader writes most; followers write only the
   * submissions that they accept. The shares of three controllers add up to 1. Above its limit the
   * store refuses all requests, including those for leases, and retries would keep it overloaded.
   */
  private static final double LEADER_WRITE_SHARE = 0.7;

  private static final double FOLLOWER_WRITE_SHARE = 0.15;

  /**
   * The store allows bursts of one second of its rate. The bursts of all controllers together stay
   * below that and leave some for lease requests, which are sent at once.
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

  /** Sets the shares to those of a leader or of a follower. */
  void setLeading(boolean leading) {
    writes.setRate(
        settings.minStoreLimits().writeRps()
            * (leading ? LEADER_WRITE_SHARE : FOLLOWER_WRITE_SHARE));
    requests.setRate(
        settings.minStoreLimits().rps()
            * (leading ? LEADER_REQUEST_SHARE : FOLLOWER_REQUEST_SHARE));
  }

  /** Runs {@code send} when one request with this number of changes may be sent. */
  void acquire(int changes, RequestPriority priority, Runnable send) {
    requests.acquire(1, priority, () -> writes.acquire(changes, priority, send));
  }

  /** Runs {@code send} when one request may be sent; its changes were acquired before. */
  void acquireRequest(RequestPriority priority, Runnable send) {
    requests.acquire(1, priority, send);
  }

  /** Runs {@code write} when this number of changes may be made. */
  void acquireWrites(int changes, RequestPriority priority, Runnable write) {
    writes.acquire(changes, priority, write);
  }

  /** Returns acquired changes that were not made; negative if more were made than acquired. */
  void refundWrites(int changes) {
    writes.refund(changes);
  }

  double writeCredit() {
    return writes.available();
  }

  /** Whether at least half of a leader's burst of changes is available. */
  boolean hasSpareWrites() {
    return writes.available()
        >= settings.minStoreLimits().writeRps() * LEADER_WRITE_SHARE * WRITE_BURST_S / 2;
  }

  /** Seconds that a change of normal priority would wait if requested now. */
  double writeWaitS() {
    return writes.waitS();
  }

  /** Seconds that a read of normal priority would wait if requested now. */
  double readWaitS() {
    return requests.waitS();
  }
}
