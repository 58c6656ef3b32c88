package io.embernotch.store;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import java.util.ArrayDeque;

/** Lets work through at a given rate, with bursts of what collects in one second at most. */
public final class Pacer {
  private record Waiting(int cost, Runnable go) {}

  private final Clock clock;
  private final Timers timers;
  private final double rate;
  private final double burst;
  private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
  private double tokens;
  private double filledAt;
  private boolean armed;

  public Pacer(Clock clock, Timers timers, double rate, double burstS) {
    this.clock = clock;
    this.timers = timers;
    this.rate = rate;
    this.burst = Math.max(1, rate * burstS);
    this.tokens = burst;
    this.filledAt = clock.now();
  }

  /** Runs {@code go} as soon as {@code cost} may be spent; urgent work goes first and may overdraw. */
  public void pass(int cost, boolean urgent, Runnable go) {
    fill();
    if (cost <= 0 || urgent || (queue.isEmpty() && tokens >= Math.min(cost, burst))) {
      tokens -= cost;
      go.run();
      return;
    }
    queue.add(new Waiting(cost, go));
    arm();
  }

  private void fill() {
    double now = clock.now();
    tokens = Math.min(burst, tokens + (now - filledAt) * rate);
    filledAt = now;
  }

  private void arm() {
    if (armed || queue.isEmpty()) {
      return;
    }
    armed = true;
    double missing = Math.min(queue.peek().cost, burst) - tokens;
    timers.after(Math.max(0.001, missing / rate), this::release);
  }

  private void release() {
    armed = false;
    fill();
    while (!queue.isEmpty() && tokens >= Math.min(queue.peek().cost, burst)) {
      Waiting w = queue.poll();
      tokens -= w.cost;
      w.go.run();
    }
    arm();
  }
}
