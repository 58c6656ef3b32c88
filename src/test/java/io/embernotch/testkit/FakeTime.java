package io.embernotch.testkit;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import io.vertx.core.Future;
import java.time.Instant;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;

/** A clock that tests advance, with the timers and the event loop that run on it. */
public final class FakeTime implements Clock, Timers, Executor {
  private static final double AWAIT_STEP_S = 0.01;
  private static final int MAX_AWAIT_STEPS = 500;

  private record ScheduledTask(double at, long order, Runnable task)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
  private double now = 1000;

  /** What the time of day is ahead of {@link #now}. */
  private long wallOffsetMs;

  private long nextOrder;

  @Override
  public double now() {
    return now;
  }

  @Override
  public long wallMs() {
    return (long) (now * 1000) + wallOffsetMs;
  }

  /** Sets the time of day; the steady clock goes on as it is. */
  public void setWallClock(Instant instant) {
    wallOffsetMs = instant.toEpochMilli() - (long) (now * 1000);
  }

  @Override
  public Runnable after(double seconds, Runnable task) {
    boolean[] cancelled = new boolean[1];
    queue.add(
        new ScheduledTask(
            now + seconds,
            nextOrder++,
            () -> {
              if (!cancelled[0]) {
                task.run();
              }
            }));
    return () -> cancelled[0] = true;
  }

  @Override
  public void execute(Runnable task) {
    after(0, task);
  }

  /** Lets so much time pass, and runs the tasks that are due by then in their order. */
  public void advance(double seconds) {
    double until = now + seconds;
    while (!queue.isEmpty() && queue.peek().at <= until) {
      ScheduledTask next = queue.poll();
      now = Math.max(now, next.at);
      next.task.run();
    }
    now = until;
  }

  /** Lets time pass until a future completes, 5 s at most; its result, or null. */
  <T> T await(Future<T> future) {
    for (int i = 0; i < MAX_AWAIT_STEPS && !future.isComplete(); i++) {
      advance(AWAIT_STEP_S);
    }
    return future.result();
  }
}
