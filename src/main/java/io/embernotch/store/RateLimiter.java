package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A token bucket with priorities: grants tokens at a given rate, in bursts of at most what collects
 * in a given time. Requests that wait are served by priority, then in the order they came.
 *
 * <p>Owned by the loop of its timers.
 */
public final class RateLimiter {
  /** How urgent a request is, the most urgent first. */
  public enum RequestPriority {
    /** Goes at once, and may overdraw: what keeps leadership and leases alive. */
    URGENT,
    /** What a live service or a user who cancelled waits for. */
    HIGH,
    /** Everything else that somebody waits for. */
    NORMAL,
    /** Only once half of the burst is there, so that it never delays the rest. */
    BACKGROUND
  }

  /** The value of {@code armedFor} while no timer is armed. */
  private static final double NOT_ARMED = Double.MAX_VALUE;

  /** Timers are armed for so long at least. */
  private static final double MIN_TIMER_S = 0.001;

  private record WaitingRequest(
      RequestPriority priority, long sequence, double cost, Runnable action) {}

  private final Clock clock;
  private final Timers timers;
  private final double burstS;
  private double rate;
  private double burst;
  private final PriorityQueue<WaitingRequest> queue =
      new PriorityQueue<>(
          Comparator.comparing(WaitingRequest::priority)
              .thenComparingLong(WaitingRequest::sequence));
  private double tokens;
  private double filledAt;
  private long nextSequence;
  private double armedFor = NOT_ARMED;

  /**
   * Starts with a full burst.
   *
   * @param rate tokens per second
   * @param burstS seconds of which a burst holds the tokens; it is one token at least
   */
  public RateLimiter(Clock clock, Timers timers, double rate, double burstS) {
    this.clock = clock;
    this.timers = timers;
    this.burstS = burstS;
    this.filledAt = clock.now();
    setRate(rate);
    this.tokens = burst;
  }

  /** Goes on at another rate, in tokens per second. */
  public final void setRate(double tokensPerS) {
    refill();
    rate = tokensPerS;
    burst = Math.max(1, rate * burstS);
    tokens = Math.min(tokens, burst);
  }

  /** Runs {@code action} as soon as {@code cost} tokens may be spent, and spends them. */
  public void acquire(double cost, RequestPriority priority, Runnable action) {
    refill();
    if (cost <= 0
        || priority == RequestPriority.URGENT
        || (isAffordable(cost, priority) && isNextInLine(priority))) {
      tokens -= Math.max(0, cost);
      action.run();
      return;
    }
    queue.add(new WaitingRequest(priority, nextSequence++, cost, action));
    arm();
  }

  /** Returns tokens that were spent on something that was not done; below 0: spends more. */
  public void refund(double cost) {
    tokens += cost;
  }

  /** Seconds until a request of normal priority and cost 1 that came now would be granted. */
  public double waitS() {
    refill();
    double needed = 1;
    for (WaitingRequest waiting : queue) {
      needed += waiting.priority == RequestPriority.BACKGROUND ? 0 : waiting.cost;
    }
    return Math.max(0, (needed - tokens) / rate);
  }

  /** Tokens that could be spent now; below 0 if urgent requests have overdrawn. */
  public double available() {
    refill();
    return tokens;
  }

  private boolean isNextInLine(RequestPriority priority) {
    return queue.isEmpty() || queue.peek().priority.compareTo(priority) > 0;
  }

  /** Tokens that must be there for a request to be granted. */
  private double required(double cost, RequestPriority priority) {
    return Math.min(
        priority == RequestPriority.BACKGROUND ? Math.max(cost, burst / 2) : cost, burst);
  }

  private boolean isAffordable(double cost, RequestPriority priority) {
    return tokens >= required(cost, priority);
  }

  private void refill() {
    double now = clock.now();
    tokens = Math.min(burst, tokens + (now - filledAt) * rate);
    filledAt = now;
  }

  private void arm() {
    if (queue.isEmpty()) {
      return;
    }
    WaitingRequest first = queue.peek();
    double missing = required(first.cost, first.priority) - tokens;
    double waitS = Math.max(MIN_TIMER_S, missing / rate);
    double fireAt = clock.now() + waitS;
    if (fireAt < armedFor) {
      armedFor = fireAt;
      timers.after(waitS, () -> grantWaiting(fireAt));
    }
  }

  private void grantWaiting(double fireAt) {
    if (fireAt != armedFor) {
      // A timer for an earlier time has been armed since.
      return;
    }
    armedFor = NOT_ARMED;
    refill();
    while (!queue.isEmpty() && isAffordable(queue.peek().cost, queue.peek().priority)) {
      WaitingRequest waiting = queue.poll();
      tokens -= waiting.cost;
      waiting.action.run();
    }
    arm();
  }
}
