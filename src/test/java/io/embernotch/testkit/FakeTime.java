package io.embernotch.testkit;

import io.embernotch.actor.Clock;
import io.embernotch.actor.Timers;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;

/** A clock that is turned by hand, with the timers and the loop that go by it. */
public final class FakeTime implements Clock, Timers, Executor {
  private record Due(double at, long order, Runnable task) implements Comparable<Due> {
    @Override
    public int compareTo(Due o) {
      int c = Double.compare(at, o.at);
      return c != 0 ? c : Long.compare(order, o.order);
    }
  }

  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private double now = 1000;
  private long order;

  @Override
  public double now() {
    return now;
  }

  @Override
  public long wallMs() {
    return (long) (now * 1000);
  }

  @Override
  public Runnable after(double seconds, Runnable task) {
    boolean[] cancelled = new boolean[1];
    queue.add(
        new Due(
            now + seconds,
            order++,
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

  /** Lets so much time pass, carrying out what falls due. */
  public void advance(double seconds) {
    double until = now + seconds;
    while (!queue.isEmpty() && queue.peek().at <= until) {
      Due d = queue.poll();
      now = Math.max(now, d.at);
      d.task.run();
    }
    now = until;
  }
}
