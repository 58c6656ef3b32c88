package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A token bucket with priorities. Tokens accumulate at a given rate, up to the burst: the tokens of
 * a given time. Waiting requests are served by priority, then in order of arrival.
 *
 * <p>Not thread-safe: confined to the event loop of its timers.
 */
public final class RateLimiter {
  /** How urgent a request is, the most urgent first. */
  public enum RequestPriority {
    /** Requests for leadership and leases; granted at once, even without tokens. */
    URGENT,
    /** Requests that a live service, or a user who cancels a job, waits for. */
    HIGH,
    /** Other requests that something waits for. */
    NORMAL,
    /** Granted only when at least half of the burst is available, so as not to delay others. */
    BACKGROUND
  }

  /** The value of {@code armedFor} while no timer is armed. */
  private static final double NOT_ARMED = Double.MAX_VALUE;

  /** Shortest timer delay. */
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
  private double refilledAt;
  private long nextSequence;
  private double armedFor = NOT_ARMED;

  /**
   * Starts with a full burst.
   *
   * @param rate tokens per second
   * @param burstS seconds whose tokens make up the burst, which is at least one token
   */
  public RateLimiter(Clock clock, Timers timers, double rate, double burstS) {
    this.clock = clock;
    this.timers = timers;
    this.burstS = burstS;
    this.refilledAt = clock.now();
    setRate(rate);
    this.tokens = burst;
  }

  /** Changes the rate, in tokens per second, and the burst with it. */
  public final void setRate(double tokensPerS) {
    refill();
    rate = tokensPerS;
    burst = Math.max(1, rate * burstS);
    tokens = Math.min(tokens, burst);
  }

  /** Runs {@code action} as soon as {@code cost} tokens are available, and takes them. */
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
    armTimer();
  }

  /** Returns {@code cost} unused tokens to the bucket; takes more tokens if negative. */
  public void refund(double cost) {
    tokens += cost;
  }

  /** Returns the seconds that a request of normal priority and cost 1 would wait if made now. */
  public double waitS() {
    refill();
    double needed = 1;
    for (WaitingRequest waiting : queue) {
      needed += waiting.priority == RequestPriority.BACKGROUND ? 0 : waiting.cost;
    }
    return Math.max(0, (needed - tokens) / rate);
  }

  /** Returns the available tokens; negative after urgent requests without tokens. */
  public double available() {
    refill();
    return tokens;
  }

  private boolean isNextInLine(RequestPriority priority) {
    return queue.isEmpty() || queue.peek().priority.compareTo(priority) > 0;
  }

  /** Returns the tokens that must be available for a request to be granted. */
  private double required(double cost, RequestPriority priority) {
    return Math.min(
        priority == RequestPriority.BACKGROUND ? Math.max(cost, burst / 2) : cost, burst);
  }

  private boolean isAffordable(double cost, RequestPriority priority) {
    return tokens >= required(cost, priority);
  }

  private void refill() {
    double now = clock.now();
    tokens = Math.min(burst, tokens + (now - refilledAt) * rate);
    refilledAt = now;
  }

  private void armTimer() {
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
      // An earlier timer was armed after this one and replaces it.
      return;
    }
    armedFor = NOT_ARMED;
    refill();
    while (!queue.isEmpty() && isAffordable(queue.peek().cost, queue.peek().priority)) {
      WaitingRequest waiting = queue.poll();
      tokens -= waiting.cost;
      waiting.action.run();
    }
    armTimer();
  }
}
