package io.embernotch.actor;

/** The machine's own clocks. */
public final class SystemClock implements Clock {
  @Override
  public double now() {
    return System.nanoTime() / 1e9;
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }
}
