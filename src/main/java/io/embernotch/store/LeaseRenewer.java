package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.http.HttpCaller;
import io.embernotch.settings.HostPort;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;

/**
 * Renews one lease of the store, on a loop and a connection of its own. Right after a change of
 * leader, scheduling on cold code and a thousand heartbeats take the core loop for seconds at a
 * sixth of a core; if renewals waited behind them, whoever had won leadership would lose it again.
 *
 * <p>The core shows now and then that it is alive; when it has not for too long, the lease is
 * allowed to expire.
 */
public final class LeaseRenewer {
  /** A lease is renewed after its time to live divided by this; a renewal may take as long. */
  private static final double RENEWALS_PER_TTL = 3;

  /** A renewal that failed is tried again after the time to live divided by this. */
  private static final double RETRIES_PER_TTL = 15;

  /** What {@link #provenUntil} returns if no lease is kept. */
  private static final double NO_LEASE = -1;

  /** The lease cannot have ended before {@code until}, a time of the steady clock. */
  private record ExpiryBound(long leaseId, double until) {}

  private final HttpCaller caller;
  private final HostPort storeAddress;
  private final Clock clock;
  private final Timers timers;
  private final Executor loop;
  private final Executor core;
  private final double leaseTtlS;
  private final double safeTtlS;
  private final double stuckS;

  /** Its value is null while no lease is kept. */
  private final AtomicReference<ExpiryBound> expiryBound = new AtomicReference<>();

  private volatile double coreAliveAt;

  /** The lease that is renewed, 0 if none; owned by {@code loop}. */
  private long leaseId;

  /**
   * A renewer that keeps no lease yet.
   *
   * @param loop runs this renewer, {@code caller} and {@code timers}
   * @param core runs what is to be done once a lease has ended
   * @param leaseTtlS time to live of the lease in seconds; a renewal counts from its sending, less
   *     {@code drift}
   * @param drift largest part by which the clocks of this node and of the store may differ
   * @param stuckS seconds without a sign of the core after which nothing is renewed any more
   */
  public LeaseRenewer(
      HttpCaller caller,
      HostPort storeAddress,
      Clock clock,
      Timers timers,
      Executor loop,
      Executor core,
      double leaseTtlS,
      double drift,
      double stuckS) {
    this.caller = caller;
    this.storeAddress = storeAddress;
    this.clock = clock;
    this.timers = timers;
    this.loop = loop;
    this.core = core;
    this.leaseTtlS = leaseTtlS;
    this.safeTtlS = leaseTtlS * (1 - drift);
    this.stuckS = stuckS;
  }

  /** Time to live of the lease in seconds. */
  public double leaseTtlS() {
    return leaseTtlS;
  }

  /**
   * The lease cannot have ended before this time of the steady clock; below 0 if none is kept. Any
   * thread.
   */
  public double provenUntil() {
    ExpiryBound bound = expiryBound.get();
    return bound == null ? NO_LEASE : bound.until;
  }

  /** The core is at work. Any thread. */
  public void coreAlive() {
    coreAliveAt = clock.now();
  }

  /**
   * Keeps a lease that was granted by a request sent at {@code sentAt}; runs {@code ended} on the
   * core once it has ended. Any thread.
   */
  public void keep(long granted, double sentAt, LongConsumer ended) {
    coreAlive();
    expiryBound.set(new ExpiryBound(granted, sentAt + safeTtlS));
    loop.execute(
        () -> {
          leaseId = granted;
          renew(granted, ended);
        });
  }

  /** Keeps no lease any more. Any thread. */
  public void release() {
    expiryBound.set(null);
    loop.execute(() -> leaseId = 0);
  }

  private void renew(long renewed, LongConsumer ended) {
    if (leaseId != renewed) {
      return;
    }
    double sentAt = clock.now();
    if (sentAt - coreAliveAt > stuckS) {
      timers.after(leaseTtlS / RENEWALS_PER_TTL, () -> renew(renewed, ended));
      return;
    }
    caller
        .call(
            "POST",
            storeAddress,
            StoreProtocol.leaseRenewalPath(renewed),
            null,
            leaseTtlS / RENEWALS_PER_TTL)
        .onSuccess(reply -> renewalAnswered(renewed, sentAt, reply.status(), ended))
        .onFailure(failure -> retry(renewed, ended));
  }

  private void renewalAnswered(long renewed, double sentAt, int status, LongConsumer ended) {
    if (leaseId != renewed) {
      return;
    }
    switch (status) {
      case StatusCodes.NOT_FOUND -> {
        leaseId = 0;
        core.execute(() -> ended.accept(renewed));
      }
      case StatusCodes.OK -> {
        extendBound(renewed, sentAt + safeTtlS);
        double nextAt = sentAt + leaseTtlS / RENEWALS_PER_TTL;
        timers.after(Math.max(0, nextAt - clock.now()), () -> renew(renewed, ended));
      }
      default -> retry(renewed, ended);
    }
  }

  /** An answer about a lease that was released meanwhile proves nothing of the next one. */
  private void extendBound(long renewed, double until) {
    expiryBound.updateAndGet(
        bound ->
            bound != null && bound.leaseId == renewed
                ? new ExpiryBound(renewed, Math.max(bound.until, until))
                : bound);
  }

  private void retry(long renewed, LongConsumer ended) {
    timers.after(leaseTtlS / RETRIES_PER_TTL, () -> renew(renewed, ended));
  }
}
