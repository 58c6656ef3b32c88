package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Lets work through at a given rate, with bursts of what collects in a given time at most. What
 * waits goes by rank, then in the order it came.
 */
public final class RateLimiter {
  /** How urgent something is. */
  public enum RequestPriority {
    /** Goes at once, and may overdraw: what keeps leadership and proofs alive. */
    URGENT,
    /** What a live service or a user who cancelled waits for. */
    HIGH,
    NORMAL,
    /** Only once half of the burst is there, so that it never stands in the way of the rest. */
    BACKGROUND
  }

  private record Waiting(RequestPriority priority, long order, double cost, Runnable go) {}

  private final Clock clock;
  private final Timers timers;
  private final double burstS;
  private double setRate;
  private double burst;
  private final PriorityQueue<Waiting> queue =
      new PriorityQueue<>(
          Comparator.comparing(Waiting::priority).thenComparingLong(Waiting::order));
  private double tokens;
  private double filledAt;
  private long order;
  private double armedFor = Double.MAX_VALUE;

  public RateLimiter(Clock clock, Timers timers, double rate, double burstS) {
    this.clock = clock;
    this.timers = timers;
    this.burstS = burstS;
    this.filledAt = clock.now();
    setRate(rate);
    this.tokens = burst;
  }

  /** Goes on at another rate. */
  public final void setRate(double perS) {
    fill();
    setRate = perS;
    burst = Math.max(1, setRate * burstS);
    tokens = Math.min(tokens, burst);
  }

  /** Runs {@code go} as soon as {@code cost} may be spent, and spends it. */
  public void acquire(double cost, RequestPriority priority, Runnable go) {
    fill();
    if (cost <= 0
        || priority == RequestPriority.URGENT
        || (mayGo(cost, priority) && nobodyBefore(priority))) {
      tokens -= Math.max(0, cost);
      go.run();
      return;
    }
    queue.add(new Waiting(priority, order++, cost, go));
    arm();
  }

  /** Seconds until something of usual rank that came now would pass. */
  public double waitS() {
    fill();
    double before = 1;
    for (Waiting w : queue) {
      before += w.priority == RequestPriority.BACKGROUND ? 0 : w.cost;
    }
    return Math.max(0, (before - tokens) / setRate);
  }

  /** What could be spent now. */
  public double available() {
    fill();
    return tokens;
  }

  private boolean nobodyBefore(RequestPriority priority) {
    return queue.isEmpty() || queue.peek().priority.compareTo(priority) > 0;
  }

  private double needed(double cost, RequestPriority priority) {
    return Math.min(
        priority == RequestPriority.BACKGROUND ? Math.max(cost, burst / 2) : cost, burst);
  }

  private boolean mayGo(double cost, RequestPriority priority) {
    return tokens >= needed(cost, priority);
  }

  private void fill() {
    double now = clock.now();
    tokens = Math.min(burst, tokens + (now - filledAt) * setRate);
    filledAt = now;
  }

  /** Takes back what was spent on a turn that is not used. */
  public void refund(double cost) {
    tokens += cost;
  }

  private void arm() {
    if (queue.isEmpty()) {
      return;
    }
    double missing = needed(queue.peek().cost, queue.peek().priority) - tokens;
    double wait = Math.max(0.001, missing / setRate);
    double at = clock.now() + wait;
    if (at < armedFor) {
      armedFor = at;
      timers.after(wait, () -> release(at));
    }
  }

  private void release(double at) {
    if (at != armedFor) {
      return;
    }
    armedFor = Double.MAX_VALUE;
    fill();
    while (!queue.isEmpty() && mayGo(queue.peek().cost, queue.peek().priority)) {
      Waiting w = queue.poll();
      tokens -= w.cost;
      w.go.run();
    }
    arm();
  }
}
