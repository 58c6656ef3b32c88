package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.embernotch.http.HttpCaller;
import io.embernotch.settings.HostPort;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;

/**
 * Keeps one lease of the store alive, on a loop and a connection of its own. Right after a change
 * of leader a plan on cold code and a thousand heartbeats take the core loop for seconds at a sixth
 * of a core; while renewals waited behind them, whoever had won leadership lost it again.
 *
 * <p>The core shows now and then that it is alive; when it has not for long, the lease is let go.
 */
public final class LeaseRenewer {
  private static final int GONE = 404;

  /** The lease cannot have ended before {@code until}. */
  private record Proof(long leaseId, double until) {}

  private final HttpCaller caller;
  private final HostPort state;
  private final Clock clock;
  private final Timers timers;
  private final Executor loop;
  private final Executor core;
  private final double leaseTtlS;
  private final double driftless;
  private final double stuckS;
  private final AtomicReference<Proof> proof = new AtomicReference<>();
  private volatile double coreAliveAt;

  /** The lease that is kept, 0 if none; owned by the keeper's loop. */
  private long leaseId;

  /**
   * @param loop runs the keeper, {@code caller} and {@code timers}; {@code core} is told what
   *     becomes of the lease
   * @param lifeS life of the lease in seconds; a renewal counts from its sending, less {@code
   *     drift}
   * @param stuckS seconds without a sign of the core after which nothing is renewed any more
   */
  public LeaseRenewer(
      HttpCaller caller,
      HostPort state,
      Clock clock,
      Timers timers,
      Executor loop,
      Executor core,
      double leaseTtlS,
      double drift,
      double stuckS) {
    this.caller = caller;
    this.state = state;
    this.clock = clock;
    this.timers = timers;
    this.loop = loop;
    this.core = core;
    this.leaseTtlS = leaseTtlS;
    this.driftless = leaseTtlS * (1 - drift);
    this.stuckS = stuckS;
  }

  public double leaseTtlS() {
    return leaseTtlS;
  }

  /**
   * The lease cannot have ended before this time of the steady clock; below 0 if none is held. Any
   * thread.
   */
  public double provenUntil() {
    Proof p = proof.get();
    return p == null ? -1 : p.until;
  }

  /** The core is at work. */
  public void coreAlive() {
    coreAliveAt = clock.now();
  }

  /**
   * Keeps a lease that was granted by a request sent at {@code sentAt}; tells the core once it has
   * ended.
   */
  public void keep(long granted, double sentAt, LongConsumer ended) {
    coreAlive();
    proof.set(new Proof(granted, sentAt + driftless));
    loop.execute(
        () -> {
          leaseId = granted;
          renew(granted, ended);
        });
  }

  /** Keeps no lease any more. */
  public void release() {
    proof.set(null);
    loop.execute(() -> leaseId = 0);
  }

  private void renew(long which, LongConsumer ended) {
    if (leaseId != which) {
      return;
    }
    double sentAt = clock.now();
    if (sentAt - coreAliveAt > stuckS) {
      timers.after(leaseTtlS / 3, () -> renew(which, ended));
      return;
    }
    caller
        .call("POST", state, "/leases/" + which + "/extend", null, leaseTtlS / 3)
        .onSuccess(
            reply -> {
              if (leaseId != which) {
                return;
              }
              if (reply.status() == GONE) {
                leaseId = 0;
                core.execute(() -> ended.accept(which));
              } else if (reply.status() == 200) {
                // An answer about a lease that was let go meanwhile proves nothing of the next one.
                proof.updateAndGet(
                    p ->
                        p != null && p.leaseId == which
                            ? new Proof(which, Math.max(p.until, sentAt + driftless))
                            : p);
                timers.after(
                    Math.max(0, sentAt + leaseTtlS / 3 - clock.now()), () -> renew(which, ended));
              } else {
                timers.after(leaseTtlS / 15, () -> renew(which, ended));
              }
            })
        .onFailure(e -> timers.after(leaseTtlS / 15, () -> renew(which, ended)));
  }
}
