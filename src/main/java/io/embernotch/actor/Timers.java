package io.embernotch.actor;

/** One-shot timers on the process's loop; injected, so that tests can fire them by hand. */
public interface Timers {
  /** Runs {@code task} after {@code seconds}, on the loop. The returned action cancels it. */
  Runnable after(double seconds, Runnable task);
}
