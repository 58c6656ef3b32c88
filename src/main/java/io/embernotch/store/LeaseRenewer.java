package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.http.HttpCaller;
import io.embernotch.settings.HostPort;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;

/**
 * Renews one lease of the store, on an event loop and a connection of its own. Right after a change
 * of leader, scheduling in code that is not compiled yet and a thousand heartbeats occupy the core
 * event loop for seconds at a sixth of a CPU core. If renewals were queued behind them, the new
 * leader would lose its lease.
 *
 * <p>The core event loop reports regularly that it is alive ({@link #reportCoreAlive}). If it has
 * not done so for too long, the renewer lets the lease expire.
 */
public final class LeaseRenewer {
  /** Interval and timeout of renewals are the time to live divided by this. */
  private static final double RENEWALS_PER_TTL = 3;

  /** A failed renewal is retried after the time to live divided by this. */
  private static final double RETRIES_PER_TTL = 15;

  /** The result of {@link #leaseValidUntil} while no lease is kept. */
  private static final double NO_LEASE = -1;

  /** The lease cannot end before {@code until}, in seconds of the monotonic clock. */
  private record ExpiryBound(long leaseId, double until) {}

  private final HttpCaller caller;
  private final HostPort storeAddress;
  private final Clock clock;
  private final Timers timers;
  private final Executor loop;
  private final Executor coreLoop;
  private final double leaseTtlS;
  private final double safeTtlS;
  private final double coreTimeoutS;

  /** Contains null while no lease is kept. */
  private final AtomicReference<ExpiryBound> expiryBound = new AtomicReference<>();

  private volatile double coreAliveAt;

  /** The id of the lease to renew, 0 if none; confined to {@code loop}. */
  private long leaseId;

  /**
   * Creates a renewer that keeps no lease.
   *
   * @param loop event loop of this renewer, {@code caller} and {@code timers}
   * @param coreLoop event loop that runs the callbacks of ended leases
   * @param leaseTtlS time to live of the lease in seconds, counted from the sending of a renewal
   * @param drift fraction of the time to live by which the clocks of this node and of the store may
   *     differ
   * @param coreTimeoutS seconds without {@link #reportCoreAlive} after which renewals are suspended
   */
  public LeaseRenewer(
      HttpCaller caller,
      HostPort storeAddress,
      Clock clock,
      Timers timers,
      Executor loop,
      Executor coreLoop,
      double leaseTtlS,
      double drift,
      double coreTimeoutS) {
    this.caller = caller;
    this.storeAddress = storeAddress;
    this.clock = clock;
    this.timers = timers;
    this.loop = loop;
    this.coreLoop = coreLoop;
    this.leaseTtlS = leaseTtlS;
    this.safeTtlS = leaseTtlS * (1 - drift);
    this.coreTimeoutS = coreTimeoutS;
  }

  /** Time to live of the lease in seconds. */
  public double leaseTtlS() {
    return leaseTtlS;
  }

  /**
   * Returns the time before which the lease cannot end, in seconds of the monotonic clock; negative
   * if no lease is kept. May be called on any thread.
   */
  public double leaseValidUntil() {
    ExpiryBound bound = expiryBound.get();
    return bound == null ? NO_LEASE : bound.until;
  }

  /** Reports that the core event loop is alive. May be called on any thread. */
  public void reportCoreAlive() {
    coreAliveAt = clock.now();
  }

  /**
   * Keeps renewing a lease. May be called on any thread.
   *
   * @param granted id of the lease
   * @param sentAt when the request that granted the lease was sent, in seconds of the monotonic
   *     clock
   * @param onEnded runs on the core event loop, with the id, once the store no longer has the lease
   */
  public void keep(long granted, double sentAt, LongConsumer onEnded) {
    reportCoreAlive();
    expiryBound.set(new ExpiryBound(granted, sentAt + safeTtlS));
    loop.execute(
        () -> {
          leaseId = granted;
          renew(granted, onEnded);
        });
  }

  /** Stops renewing, without revoking the lease. May be called on any thread. */
  public void release() {
    expiryBound.set(null);
    loop.execute(() -> leaseId = 0);
  }

  private void renew(long renewedId, LongConsumer onEnded) {
    if (leaseId != renewedId) {
      return;
    }
    double sentAt = clock.now();
    if (sentAt - coreAliveAt > coreTimeoutS) {
      timers.after(leaseTtlS / RENEWALS_PER_TTL, () -> renew(renewedId, onEnded));
      return;
    }
    caller
        .call(
            "POST",
            storeAddress,
            StoreProtocol.leaseRenewalPath(renewedId),
            null,
            leaseTtlS / RENEWALS_PER_TTL)
        .onSuccess(reply -> handleRenewalReply(renewedId, sentAt, reply.status(), onEnded))
        .onFailure(failure -> retry(renewedId, onEnded));
  }

  private void handleRenewalReply(long renewedId, double sentAt, int status, LongConsumer onEnded) {
    if (leaseId != renewedId) {
      return;
    }
    switch (status) {
      case StatusCodes.NOT_FOUND -> {
        leaseId = 0;
        coreLoop.execute(() -> onEnded.accept(renewedId));
      }
      case StatusCodes.OK -> {
        extendBound(renewedId, sentAt + safeTtlS);
        double nextAt = sentAt + leaseTtlS / RENEWALS_PER_TTL;
        timers.after(Math.max(0, nextAt - clock.now()), () -> renew(renewedId, onEnded));
      }
      default -> retry(renewedId, onEnded);
    }
  }

  /** Extends the bound unless that lease was released meanwhile and another one is kept. */
  private void extendBound(long renewedId, double until) {
    expiryBound.updateAndGet(
        bound ->
            bound != null && bound.leaseId == renewedId
                ? new ExpiryBound(renewedId, Math.max(bound.until, until))
                : bound);
  }

  private void retry(long renewedId, LongConsumer onEnded) {
    timers.after(leaseTtlS / RETRIES_PER_TTL, () -> renew(renewedId, onEnded));
  }
}
