package io.embernotch.actor;

/** One-shot timers on one event loop; injected, so that tests can fire them. */
public interface Timers {
  /**
   * Runs a task once, on the loop.
   *
   * @param seconds delay until then
   * @return cancels the timer; without effect once the task has run
   */
  Runnable after(double seconds, Runnable task);
}
