package io.embernotch.actor;

/** The machine's own clocks. Any thread. */
public final class SystemClock implements Clock {
  private static final double NANOS_PER_S = 1e9;

  @Override
  public double now() {
    return System.nanoTime() / NANOS_PER_S;
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }
}
